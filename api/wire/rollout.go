package wire

import (
	"slices"
	"time"
)

// RolloutState is the state of a rollout.
type RolloutState string

// States of a rollout. The last two are final.
const (
	RolloutRunning    RolloutState = "running"     // some calls go to the target version
	RolloutCompleted  RolloutState = "completed"   // all calls go to the target version
	RolloutRolledBack RolloutState = "rolled_back" // no calls go to the target version
)

// Rollout moves a service's calls from the versions that serve it to a target version.
type Rollout struct {
	Service string        `json:"service"`
	Target  string        `json:"target"`
	Span    time.Duration `json:"span"` // time limit for the rollout
	State   RolloutState  `json:"state"`
	// Share is the part of the service's calls, over all processes, that may go to the target.
	Share float64 `json:"share"`
	// Replaced are the versions that served when the rollout started or was completed.
	Replaced []string `json:"replaced,omitempty"`
	// Revision grows with each order and each decision for the service.
	Revision uint64 `json:"revision"`
	// Order is the revision at which the rollout started. It identifies the rollout among those of its service.
	Order   uint64 `json:"order"`
	Started int64  `json:"started"` // leader's clock, milliseconds since the Unix epoch
	Ended   int64  `json:"ended,omitempty"`
	Author  string `json:"author,omitempty"`
	Reason  string `json:"reason,omitempty"` // of the last decision
}

// Running reports whether the rollout is still undecided.
func (r Rollout) Running() bool { return r.State == RolloutRunning }

// Excludes reports whether upstreams of the version get no calls as long as others can serve.
func (r Rollout) Excludes(version string) bool {
	switch r.State {
	case RolloutRolledBack:
		return version == r.Target
	case RolloutCompleted:
		return version != r.Target && slices.Contains(r.Replaced, version)
	}
	return false
}

// Rollouts are the latest rollouts of all services that ever had one.
type Rollouts struct {
	Revision uint64    `json:"revision"` // grows with the revision of any service
	List     []Rollout `json:"list"`     // sorted by service
}

// Of returns the latest rollout of a service, with revision zero if it never had one.
func (r Rollouts) Of(service string) Rollout {
	for _, x := range r.List {
		if x.Service == service {
			return x
		}
	}
	return Rollout{Service: service}
}

// AnyRunning reports whether any rollout is still undecided.
func (r Rollouts) AnyRunning() bool { return slices.ContainsFunc(r.List, Rollout.Running) }

// RolloutOrder starts a rollout. Operators' orders are not numbered and may arrive late, so
// the process that receives one records in Base the revision of the service's rollouts that
// it knew on receipt.
type RolloutOrder struct {
	Service string        `json:"service"`
	Target  string        `json:"target"`
	Span    time.Duration `json:"span"`
	Base    uint64        `json:"base"`
	Author  string        `json:"author,omitempty"`
}

// RolloutRefusal is the reason why an order had no effect.
type RolloutRefusal string

// Reasons for refusing an order.
const (
	RolloutAccepted  RolloutRefusal = ""
	RolloutOvertaken RolloutRefusal = "overtaken" // another order came first
	RolloutBusy      RolloutRefusal = "busy"      // a rollout to another version is running
)

// RolloutResult answers a RolloutOrder or a RolloutStep.
type RolloutResult struct {
	Rollout Rollout        `json:"rollout"` // current state
	Refusal RolloutRefusal `json:"refusal,omitempty"`
	Changed bool           `json:"changed"` // false: the order is a resend and refers to the rollout in force
}

// RolloutStep is a decision about a running rollout: another share, or its end. It has no
// effect unless the revision is Base.
type RolloutStep struct {
	Service string       `json:"service"`
	Base    uint64       `json:"base"`
	State   RolloutState `json:"state"`
	Share   float64      `json:"share"`
	Reason  string       `json:"reason"`
}

// VersionCounts are the answers of the upstreams of one version on one route that a process
// has counted since the rollout started.
type VersionCounts struct {
	Version string `json:"version"`
	Route   string `json:"route"`
	Failed  uint64 `json:"failed"`
	// LatencyCounts counts the successful answers by bucket of their duration, see package rollout.
	LatencyCounts map[int]uint64 `json:"took,omitempty"`
}

// RolloutCounts are the counts of one process for one rollout.
type RolloutCounts struct {
	Service string          `json:"service"`
	Order   uint64          `json:"order"`
	Counts  []VersionCounts `json:"counts"`
}

// RolloutReport sends a process's counts to the leader. Counts never decrease within a start
// of the process, so reports may be lost or repeated.
type RolloutReport struct {
	From   Start           `json:"from"`
	Counts []RolloutCounts `json:"counts"`
}
