package wire

import (
	"strings"
	"time"
)

// MethodOrders is the control leader's method that agents poll.
const MethodOrders = "control.orders"

// MethodDemand is the control leader's method that entries report misses to.
const MethodDemand = "control.demand"

// Artifact is what an engine can hold: a version of a model, or an adapter of
// one.
type Artifact struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Version string `json:"version,omitempty" cbor:"2,keyasint,omitempty"`
	Adapter string `json:"adapter,omitempty" cbor:"3,keyasint,omitempty"`
}

// String returns the form MODEL@VERSION or MODEL@VERSION/ADAPTER.
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

// ParseArtifact reads the form that String returns.
func ParseArtifact(s string) Artifact {
	base, adapter, _ := strings.Cut(s, "/")
	model, version, _ := strings.Cut(base, "@")
	return Artifact{Model: model, Version: version, Adapter: adapter}
}

// JoinArtifacts returns the compact form that a member record carries.
func JoinArtifacts(list []Artifact) string {
	parts := make([]string, len(list))
	for i, a := range list {
		parts[i] = a.String()
	}
	return strings.Join(parts, ",")
}

// HoldsModel reports whether the member's upstream holds any version of the
// model. Upstreams that take no orders report nothing and hold every model.
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

// OrderKind says what an order does.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderSetRole OrderKind = "set-role"
)

// Order tells one engine to change what it holds or which role it plays.
type Order struct {
	Upstream MemberID      `json:"upstream" cbor:"1,keyasint"`
	Token    uint64        `json:"token" cbor:"2,keyasint"` // fencing token, increasing per upstream
	Kind     OrderKind     `json:"kind" cbor:"3,keyasint"`
	Artifact Artifact      `json:"artifact" cbor:"4,keyasint"`
	Role     string        `json:"role,omitempty" cbor:"5,keyasint,omitempty"`
	Bytes    int64         `json:"bytes,omitempty" cbor:"6,keyasint,omitempty"` // that the weight store may be asked for
	Timeout  time.Duration `json:"timeout,omitempty" cbor:"7,keyasint,omitempty"`
}

// OrderState is how far an order has come.
type OrderState string

// States of an order.
const (
	OrderOpen        OrderState = "open"
	OrderDone        OrderState = "done"
	OrderFailed      OrderState = "failed"
	OrderExpired     OrderState = "expired"     // never passed on: it came too late
	OrderInterrupted OrderState = "interrupted" // the agent restarted; the engine's own report decides
)

// OrderReport ends an order. A report for any but the open order of its
// upstream has no effect.
type OrderReport struct {
	Upstream MemberID   `json:"upstream" cbor:"1,keyasint"`
	Token    uint64     `json:"token" cbor:"2,keyasint"`
	State    OrderState `json:"state" cbor:"3,keyasint"`
	Detail   string     `json:"detail,omitempty" cbor:"4,keyasint,omitempty"`
}

// EngineState is what an engine reports of itself.
type EngineState struct {
	TakesOrders bool       `json:"takes_orders"`
	Holds       []Artifact `json:"holds"`
	Cached      []Artifact `json:"cached,omitempty"` // weights at hand: loading them asks nothing of the store
	Role        string     `json:"role,omitempty"`
	Token       uint64     `json:"token,omitempty"` // highest token the engine has accepted, if it keeps one
	Busy        bool       `json:"busy,omitempty"`  // an order is under way at the engine
}

// OrderPoll is an agent's report and its question for orders. Answers to
// synchronization say when there is an order to ask for.
type OrderPoll struct {
	Upstream    MemberID      `json:"upstream"`
	Service     string        `json:"service"`
	Incarnation uint64        `json:"incarnation"`
	Established bool          `json:"established"` // false until the fence was read after a start
	Seen        uint64        `json:"seen"`
	Running     uint64        `json:"running"` // token of the order under way, or zero
	Reports     []OrderReport `json:"reports,omitempty"`
	Engine      EngineState   `json:"engine"`
	Arrived     int64         `json:"arrived"` // attempts since the start of the agent
	Queued      int           `json:"queued"`
	InFlight    int           `json:"in_flight"`
	Limit       int           `json:"limit"`
}

// OrderPollReply is read from the state after a read barrier with a quorum.
type OrderPollReply struct {
	Fence uint64        `json:"fence"` // highest token drawn for the upstream
	Order *Order        `json:"order,omitempty"`
	Age   time.Duration `json:"age"` // time for which the leader has known the order
}

// DemandReport tells the leader of attempts that found no upstream.
type DemandReport struct {
	Entry  MemberID         `json:"entry"`
	Misses map[string]int64 `json:"misses"` // by service
}
