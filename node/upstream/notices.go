package upstream

import (
	"expvar"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// Counters since the process started.
var (
	pausesVar   = expvar.NewInt("upstream_pauses_asked")   // responses that ask for a pause
	leavingVar  = expvar.NewInt("upstream_leaving_said")   // incarnations that announced in a response that they are leaving
	withheldVar = expvar.NewInt("upstream_calls_withheld") // calls not sent because the upstream asked for a pause or is leaving

	limitsNamedVar   = expvar.NewInt("upstream_limits_named")   // request limits that upstreams named or changed
	limitsEndedVar   = expvar.NewInt("upstream_limits_ended")   // request limits that upstreams no longer name
	limitsInvalidVar = expvar.NewInt("upstream_limits_invalid") // responses that name an invalid limit, or limits that differ
)

const (
	// maxPause bounds the pause that an upstream may ask for, so that a wrong value does not disable it for
	// good.
	maxPause = time.Hour
	// noticeRetention is how long an expired notice is kept, so that upstreams which have ended are removed.
	noticeRetention = 10 * time.Minute
)

// Notices record what upstreams announced in their responses to this process: that they accept no calls for a
// while, or that they are leaving. A notice holds for one incarnation of an upstream.
type Notices struct {
	log   logr.Logger
	clock clockwork.Clock

	mu      sync.Mutex
	byStart map[wire.Start]notice
}

type notice struct {
	pausedUntil time.Time // the upstream accepts no calls until then
	leaving     bool
	limited     bool      // the upstream names a request limit
	limit       float64   // in requests per second, if limited
	lastHeard   time.Time // time of the last response that said so
}

// NewNotices returns an empty set of notices.
func NewNotices(log logr.Logger, clock clockwork.Clock) *Notices {
	return &Notices{log: log, clock: clock, byStart: map[wire.Start]notice{}}
}

// Record records what a response announces.
func (n *Notices) Record(start wire.Start, a ResponseInfo) {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logInvalidLimit(start, a.Limit)
	current, known := n.byStart[start]
	if a.Pause <= 0 && !a.Leaving && a.Limit.Statement != LimitNamed && !(known && a.Limit.Statement == LimitNone) {
		return
	}
	n.expire(now)
	n.recordLimit(start, &current, a.Limit)
	if a.Leaving && !current.leaving {
		leavingVar.Add(1)
		n.log.Info("upstream announced that it is leaving", "upstream", start.ID)
	}
	if a.Pause > 0 {
		pausesVar.Add(1)
		n.log.Info("upstream asked for a pause", "upstream", start.ID, "pause", a.Pause)
	}
	if until := now.Add(min(a.Pause, maxPause)); until.After(current.pausedUntil) {
		current.pausedUntil = until
	}
	current.leaving = current.leaving || a.Leaving
	current.lastHeard = now
	n.byStart[start] = current
}

// recordLimit applies what a response says about the upstream's request limit.
func (n *Notices) recordLimit(start wire.Start, current *notice, l RequestLimit) {
	switch {
	case l.Statement == LimitNamed && (!current.limited || current.limit != l.PerSecond):
		limitsNamedVar.Add(1)
		n.log.Info("upstream named a request limit", "upstream", start.ID, "per_second", l.PerSecond, "before", current.limit, "limited_before", current.limited)
		current.limited, current.limit = true, l.PerSecond
	case l.Statement == LimitNone && current.limited:
		limitsEndedVar.Add(1)
		n.log.Info("upstream ended its request limit", "upstream", start.ID, "before", current.limit)
		current.limited, current.limit = false, 0
	}
}

func (n *Notices) logInvalidLimit(start wire.Start, l RequestLimit) {
	if l.Invalid == "" {
		return
	}
	limitsInvalidVar.Add(1)
	n.log.Info("invalid request limit", "upstream", start.ID, "values", l.Invalid, "in_force", l.Statement == LimitNamed, "per_second", l.PerSecond)
}

func (n *Notices) expire(now time.Time) {
	for start, x := range n.byStart {
		if now.Sub(x.lastHeard) > noticeRetention && now.After(x.pausedUntil) && !x.limited {
			delete(n.byStart, start)
		}
	}
}

// checkAvailable returns why nothing may be sent to the upstream now, or nil.
func (n *Notices) checkAvailable(start wire.Start) error {
	pause, leaving := n.State(start)
	switch {
	case leaving:
		withheldVar.Add(1)
		return verdict.New(verdict.NotRun, verdict.CodeUpstreamLeaving, "upstream %s leaves", start.ID)
	case pause > 0:
		withheldVar.Add(1)
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "upstream %s has asked for a pause", start.ID).WithRetryAfter(pause)
	}
	return nil
}

// Accepts reports whether the upstream accepts calls now.
func (n *Notices) Accepts(start wire.Start) bool {
	pause, leaving := n.State(start)
	return pause == 0 && !leaving
}

// ShortestPause returns the time until one of the upstreams accepts calls again; zero if one does now, or if
// none will.
func (n *Notices) ShortestPause(members []wire.Member) time.Duration {
	least := time.Duration(0)
	for _, m := range members {
		pause, leaving := n.State(m.Start())
		switch {
		case leaving:
		case pause == 0:
			return 0
		case least == 0 || pause < least:
			least = pause
		}
	}
	return least
}

// State returns for how long the upstream still accepts no calls, and whether it is leaving.
func (n *Notices) State(start wire.Start) (pause time.Duration, leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	x, known := n.byStart[start]
	if !known {
		return 0, false
	}
	return max(0, x.pausedUntil.Sub(n.clock.Now())), x.leaving
}
