package upstream

import (
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/requestlimit"
)

// maxClockError is subtracted from the time of an end of a limit that another process tells of, since its
// age does not include the time in transit. A limit that is heard of meanwhile stays in force.
const maxClockError = 250 * time.Millisecond

// LimitNotice is what one process tells another about an upstream's request limit.
type LimitNotice struct {
	Upstream  wire.Start    `json:"upstream"`
	PerSecond float64       `json:"per_second"`
	Ended     bool          `json:"ended,omitempty"` // the upstream no longer names a limit
	Age       time.Duration `json:"age"`             // since the upstream said so
}

// Permit allows one request to an upstream that limits its requests, until it expires. The zero value
// allows none.
type Permit struct {
	upstream wire.Start
	expires  time.Time
}

func (p Permit) validFor(start wire.Start, now time.Time) bool {
	return p.upstream == start && now.Before(p.expires)
}

// PermitExpiry returns when a permit expires that this process asks for now.
func (n *Notices) PermitExpiry() time.Time { return n.clock.Now().Add(requestlimit.PermitTTL) }

// NewPermit returns a permit for a request to the upstream.
func NewPermit(start wire.Start, expires time.Time) Permit { return Permit{start, expires} }

// OnLimitChanged has f called when a response to this process begins, changes or ends the limit of an upstream.
// It must be called before the first response is recorded, and f must not block.
func (n *Notices) OnLimitChanged(f func(wire.Start)) { n.onLimitChanged = f }

// Limit returns the request limit of an upstream in requests per second, and whether it names one.
func (n *Notices) Limit(start wire.Start) (perSecond float64, limited bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	x := n.byStart[start]
	return x.limit, x.limited
}

// AnyLimited reports whether any upstream is known to name a limit.
func (n *Notices) AnyLimited() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limited > 0
}

// Limited returns those of the upstreams that name a limit.
func (n *Notices) Limited(list []wire.Member) []requestlimit.Limited {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.limited == 0 {
		return nil
	}
	var out []requestlimit.Limited
	for _, m := range list {
		if x := n.byStart[m.Start()]; x.limited {
			out = append(out, requestlimit.Limited{Upstream: m.Start(), PerSecond: x.limit})
		}
	}
	return out
}

// LimitNotices returns what is known of the limits of the upstreams, ended ones included.
func (n *Notices) LimitNotices(list []wire.Start) []LimitNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.byStart) == 0 {
		return nil
	}
	var out []LimitNotice
	now := n.clock.Now()
	for _, start := range list {
		if x := n.byStart[start]; !x.limitHeard.IsZero() {
			out = append(out, LimitNotice{Upstream: start, PerSecond: x.limit, Ended: !x.limited, Age: now.Sub(x.limitHeard)})
		}
	}
	return out
}

// LimitedUpstreams returns all upstreams that are known to name a limit.
func (n *Notices) LimitedUpstreams() []wire.Start {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []wire.Start
	for start, x := range n.byStart {
		if x.limited {
			out = append(out, start)
		}
	}
	return out
}

// Merge applies what another process tells. What this process knows stays if it is newer.
func (n *Notices) Merge(list []LimitNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	for _, l := range list {
		current := n.byStart[l.Upstream]
		heard := now.Add(-max(0, l.Age))
		if l.Ended {
			heard = heard.Add(-maxClockError)
		}
		if l.PerSecond < 0 || !heard.After(current.limitHeard) {
			continue
		}
		current.lastHeard = now
		n.setLimit(l.Upstream, &current, l, heard)
		n.byStart[l.Upstream] = current
	}
}

// setLimit applies a notice to the current state of an upstream, which the caller stores, and reports whether
// that changes the limit.
func (n *Notices) setLimit(start wire.Start, current *notice, l LimitNotice, heard time.Time) (changed bool) {
	current.limitHeard = heard
	switch {
	case l.Ended && current.limited:
		limitsEndedVar.Add(1)
		n.countLimited(-1)
		n.log.Info("upstream ended its request limit", "upstream", start.ID, "before", current.limit)
	case !l.Ended && (!current.limited || current.limit != l.PerSecond):
		limitsNamedVar.Add(1)
		if !current.limited {
			n.countLimited(1)
		}
		n.log.Info("upstream named a request limit", "upstream", start.ID, "per_second", l.PerSecond, "before", current.limit, "limited_before", current.limited)
	default:
		return false
	}
	current.limited, current.limit = !l.Ended, l.PerSecond
	return true
}

func (n *Notices) countLimited(by int) {
	n.limited += by
	limitsNowVar.Add(int64(by))
}
