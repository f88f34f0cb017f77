package wire

import (
	"slices"
	"time"
)

// RolloutState is how far a roll-out has come.
type RolloutState string

// States of a roll-out. The last two are final.
const (
	RolloutRunning    RolloutState = "running"     // some of the calls go to the target version
	RolloutCompleted  RolloutState = "completed"   // all calls go to the target version
	RolloutRolledBack RolloutState = "rolled_back" // no call goes to the target version
)

// Rollout moves a service's calls from the versions that serve it to a target version.
type Rollout struct {
	Service string        `json:"service"`
	Target  string        `json:"target"`
	Span    time.Duration `json:"span"` // until the roll-out must have ended
	State   RolloutState  `json:"state"`
	// Share is the part of the service's calls that may go to the target, over all processes.
	Share float64 `json:"share"`
	// Replaced are the versions that served when the roll-out started or was completed.
	Replaced []string `json:"replaced,omitempty"`
	// Revision grows with each order and each decision for the service.
	Revision uint64 `json:"revision"`
	// Order is the revision at which the roll-out started: it tells roll-outs of one service apart.
	Order   uint64 `json:"order"`
	Started int64  `json:"started"` // leader's clock, milliseconds since the Unix epoch
	Ended   int64  `json:"ended,omitempty"`
	Author  string `json:"author,omitempty"`
	Reason  string `json:"reason,omitempty"` // of the last decision
}

// Running reports whether the roll-out has not been decided yet.
func (r Rollout) Running() bool { return r.State == RolloutRunning }

// Excludes reports whether upstreams of the version get no calls, while others could serve.
func (r Rollout) Excludes(version string) bool {
	switch r.State {
	case RolloutRolledBack:
		return version == r.Target
	case RolloutCompleted:
		return version != r.Target && slices.Contains(r.Replaced, version)
	}
	return false
}

// Rollouts are the services for which there ever was a roll-out.
type Rollouts struct {
	Revision uint64    `json:"revision"` // grows with each of theirs
	List     []Rollout `json:"list"`     // sorted by service; the last one of each
}

// Of returns the last roll-out of a service; its zero value where there never was one.
func (r Rollouts) Of(service string) Rollout {
	for _, x := range r.List {
		if x.Service == service {
			return x
		}
	}
	return Rollout{Service: service}
}

// AnyRunning reports whether a roll-out has not been decided yet.
func (r Rollouts) AnyRunning() bool { return slices.ContainsFunc(r.List, Rollout.Running) }

// RolloutOrder starts a roll-out. Operators' orders have no number and may be delayed on the
// way, so each names the revision of the service's roll-outs that its receiver knew when it came.
type RolloutOrder struct {
	Service string        `json:"service"`
	Target  string        `json:"target"`
	Span    time.Duration `json:"span"`
	Base    uint64        `json:"base"`
	Author  string        `json:"author,omitempty"`
}

// RolloutRefusal says why an order had no effect.
type RolloutRefusal string

// Refusals of orders.
const (
	RolloutAccepted  RolloutRefusal = ""
	RolloutOvertaken RolloutRefusal = "overtaken" // another order came first
	RolloutBusy      RolloutRefusal = "busy"      // a roll-out to another version is running
)

// RolloutResult answers a RolloutOrder or a RolloutStep.
type RolloutResult struct {
	Rollout Rollout        `json:"rollout"` // as it stands now
	Refusal RolloutRefusal `json:"refusal,omitempty"`
	Changed bool           `json:"changed"` // false: an order that was sent again joins the one in force
}

// RolloutStep is a decision about a running roll-out: another share, or its end. It has no
// effect on a revision other than Base.
type RolloutStep struct {
	Service string       `json:"service"`
	Base    uint64       `json:"base"`
	State   RolloutState `json:"state"`
	Share   float64      `json:"share"`
	Reason  string       `json:"reason"`
}

// VersionCounts are the answers of the upstreams of one version on one route that a process
// has seen since the roll-out started.
type VersionCounts struct {
	Version string `json:"version"`
	Route   string `json:"route"`
	Failed  uint64 `json:"failed"`
	// Took counts the other answers by how long they took, see package rollout.
	Took map[int]uint64 `json:"took,omitempty"`
}

// RolloutCounts are what a process has seen of one roll-out.
type RolloutCounts struct {
	Service string          `json:"service"`
	Order   uint64          `json:"order"`
	Counts  []VersionCounts `json:"counts"`
}

// RolloutReport tells the leader what a process has seen. Counts only grow within a start of
// the process, so that a report may be lost, or come twice.
type RolloutReport struct {
	From   Start           `json:"from"`
	Counts []RolloutCounts `json:"counts"`
}
