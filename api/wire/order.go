package wire

import (
	"strings"
	"time"
)

// MethodOrders is the control leader's method that agents poll for orders.
const MethodOrders = "control.orders"

// MethodDemand is the control leader's method that entries report demand to.
const MethodDemand = "control.demand"

// Artifact is a model version, or an adapter of one, that an engine can hold.
type Artifact struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Version string `json:"version,omitempty" cbor:"2,keyasint,omitempty"`
	Adapter string `json:"adapter,omitempty" cbor:"3,keyasint,omitempty"`
}

// String returns MODEL@VERSION or MODEL@VERSION/ADAPTER.
func (a Artifact) String() string {
	s := a.Model
	if a.Version != "" {
		s += "@" + a.Version
	}
	if a.Adapter != "" {
		s += "/" + a.Adapter
	}
	return s
}

// ParseArtifact parses the format of String.
func ParseArtifact(s string) Artifact {
	base, adapter, _ := strings.Cut(s, "/")
	model, version, _ := strings.Cut(base, "@")
	return Artifact{Model: model, Version: version, Adapter: adapter}
}

// JoinArtifacts returns the comma-separated list for Member.Holds.
func JoinArtifacts(list []Artifact) string {
	parts := make([]string, len(list))
	for i, a := range list {
		parts[i] = a.String()
	}
	return strings.Join(parts, ",")
}

// HoldsModel reports whether the member's upstream holds any version of the model.
// Upstreams that take no orders report no artifacts and count as holding every model.
func (m Member) HoldsModel(model string) bool {
	if m.Holds == "" {
		return true
	}
	for part := range strings.SplitSeq(m.Holds, ",") {
		if ParseArtifact(part).Model == model {
			return true
		}
	}
	return false
}

// OrderKind is the action of an order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderSetRole OrderKind = "set-role"
)

// Order tells an engine to load or unload an artifact, or to change its role.
type Order struct {
	Upstream MemberID      `json:"upstream" cbor:"1,keyasint"`
	Token    uint64        `json:"token" cbor:"2,keyasint"` // fencing token, increasing per upstream
	Kind     OrderKind     `json:"kind" cbor:"3,keyasint"`
	Artifact Artifact      `json:"artifact" cbor:"4,keyasint"`
	Role     string        `json:"role,omitempty" cbor:"5,keyasint,omitempty"`
	Bytes    int64         `json:"bytes,omitempty" cbor:"6,keyasint,omitempty"` // bytes that the engine may read from the weight store
	Timeout  time.Duration `json:"timeout,omitempty" cbor:"7,keyasint,omitempty"`
}

// OrderState is the progress of an order.
type OrderState string

// States of an order.
const (
	OrderOpen        OrderState = "open"
	OrderDone        OrderState = "done"
	OrderFailed      OrderState = "failed"
	OrderExpired     OrderState = "expired"     // not passed on to the engine, because it came too late
	OrderInterrupted OrderState = "interrupted" // the agent restarted; the engine's own report decides
)

// OrderReport ends an order. It has no effect unless Token is that of the upstream's open
// order.
type OrderReport struct {
	Upstream MemberID   `json:"upstream" cbor:"1,keyasint"`
	Token    uint64     `json:"token" cbor:"2,keyasint"`
	State    OrderState `json:"state" cbor:"3,keyasint"`
	Detail   string     `json:"detail,omitempty" cbor:"4,keyasint,omitempty"`
}

// EngineState is what an engine reports about itself.
type EngineState struct {
	TakesOrders bool       `json:"takes_orders"`
	Holds       []Artifact `json:"holds"`
	Cached      []Artifact `json:"cached,omitempty"` // locally stored weights, which load without reading from the weight store
	Role        string     `json:"role,omitempty"`
	Token       uint64     `json:"token,omitempty"` // highest fencing token that the engine has accepted, if it records one
	Busy        bool       `json:"busy,omitempty"`  // the engine is executing an order
}

// OrderPoll reports an agent's state and asks for orders. Agents poll when a SyncReply
// shows that there is an order.
type OrderPoll struct {
	Upstream    MemberID      `json:"upstream"`
	Service     string        `json:"service"`
	Incarnation uint64        `json:"incarnation"`
	Established bool          `json:"established"` // false until the agent has read the fence after its start
	Seen        uint64        `json:"seen"`
	Running     uint64        `json:"running"` // token of the order being executed, or zero
	Reports     []OrderReport `json:"reports,omitempty"`
	Engine      EngineState   `json:"engine"`
	Arrived     int64         `json:"arrived"` // attempts since the start of the agent
	Queued      int           `json:"queued"`
	InFlight    int           `json:"in_flight"`
	Limit       int           `json:"limit"`
}

// OrderPollReply answers an OrderPoll. The leader reads it after a read barrier, which a
// quorum confirms.
type OrderPollReply struct {
	Fence uint64        `json:"fence"` // highest fencing token issued for the upstream
	Order *Order        `json:"order,omitempty"`
	Age   time.Duration `json:"age"` // how long the leader has known the order
}

// DemandReport tells the leader how many attempts found no upstream.
type DemandReport struct {
	Entry  MemberID         `json:"entry"`
	Misses map[string]int64 `json:"misses"` // by service
}
