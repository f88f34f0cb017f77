package gate

import (
	"time"

	"caperdrum.org/node/requestlimit"
	"caperdrum.org/node/upstream"
)

// pace keeps the attempts to the request limit that the upstream names. The gate is the only way to its upstream,
// so no other process has a part of the limit. The zero value has no limit.
type pace struct {
	limited   bool
	limit     requestlimit.Limited
	invalid   string // the last invalid values of the limit, quoted
	allocator requestlimit.Allocator
}

// wait returns the time until the limit admits an attempt; zero if it does now.
func (p *pace) wait(now time.Time) time.Duration { return p.waitFor(now, 1) }

// waitFor returns the time until the limit admits n attempts.
func (p *pace) waitFor(now time.Time, n int) time.Duration {
	if !p.limited {
		return 0
	}
	return p.allocator.NextIn(now, p.limit) + time.Duration(n-1)*requestlimit.SumInterval([]requestlimit.Limited{p.limit})
}

// take counts an attempt that starts now.
func (p *pace) take(now time.Time) {
	if p.limited {
		p.allocator.Take(now, p.limit)
	}
}

// set applies what a response says, and reports whether that changes the limit or its invalid values.
func (p *pace) set(l upstream.RequestLimit) bool {
	limited, perSecond, invalid := p.limited, p.limit.PerSecond, p.invalid
	p.invalid = l.Invalid
	if l.Statement != upstream.LimitUnstated {
		p.limited = l.Statement == upstream.LimitNamed
		p.limit = requestlimit.Limited{PerSecond: l.PerSecond}
	}
	return p.limited != limited || p.limit.PerSecond != perSecond || p.invalid != invalid
}

// recordLimit applies what a response of the upstream says about its request limit.
func (s *Service) recordLimit(l upstream.RequestLimit) {
	if s.table.setRequestLimit(l) {
		s.log.Info("upstream's request limit", "named", l.Statement == upstream.LimitNamed, "per_second", l.PerSecond, "invalid", l.Invalid)
	}
}

// setRequestLimit applies the upstream's request limit, and reports whether it has changed.
func (t *table) setRequestLimit(l upstream.RequestLimit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.resetTimer()
	changed := t.pace.set(l)
	if changed {
		t.startQueued()
	}
	return changed
}
