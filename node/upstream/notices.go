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

// Counters since the start of the process.
var (
	pausesVar   = expvar.NewInt("upstream_pauses_asked")   // answers that ask for a pause
	leavingVar  = expvar.NewInt("upstream_leaving_said")   // starts that said in an answer that they leave
	withheldVar = expvar.NewInt("upstream_calls_withheld") // calls that were not sent, within a pause or after the upstream had said that it leaves
)

const (
	// longestPause bounds what an upstream may ask for, so that a mistaken number does not take it
	// out of use for good.
	longestPause = time.Hour
	// noticeTime is how long a notice is kept that is no longer needed: upstreams that have ended
	// are forgotten.
	noticeTime = 10 * time.Minute
)

// Notices are what upstreams say of themselves in answers to this process: that they want no calls
// for a while, or that they leave. They hold for one start of an upstream.
type Notices struct {
	log   logr.Logger
	clock clockwork.Clock

	mu sync.Mutex
	by map[wire.Start]notice
}

type notice struct {
	until   time.Time // the upstream wants no calls until then
	leaving bool
	at      time.Time // of the last answer that said so
}

// NewNotices returns notices of a process that has just started.
func NewNotices(log logr.Logger, clock clockwork.Clock) *Notices {
	return &Notices{log: log, clock: clock, by: map[wire.Start]notice{}}
}

// Heard takes over what an answer says.
func (n *Notices) Heard(start wire.Start, a Answer) {
	if a.Pause <= 0 && !a.Leaving {
		return
	}
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forget(now)
	current := n.by[start]
	if a.Leaving && !current.leaving {
		leavingVar.Add(1)
		n.log.Info("upstream says that it leaves", "upstream", start.ID)
	}
	if a.Pause > 0 {
		pausesVar.Add(1)
		n.log.Info("upstream asks for a pause", "upstream", start.ID, "pause", a.Pause)
	}
	if until := now.Add(min(a.Pause, longestPause)); until.After(current.until) {
		current.until = until
	}
	current.leaving = current.leaving || a.Leaving
	current.at = now
	n.by[start] = current
}

func (n *Notices) forget(now time.Time) {
	for start, x := range n.by {
		if now.Sub(x.at) > noticeTime && now.After(x.until) {
			delete(n.by, start)
		}
	}
}

// refuse returns why nothing may be sent to the upstream now, or nil.
func (n *Notices) refuse(start wire.Start) error {
	pause, leaving := n.Of(start)
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

// Wants reports whether the upstream wants calls now.
func (n *Notices) Wants(start wire.Start) bool {
	pause, leaving := n.Of(start)
	return pause == 0 && !leaving
}

// LeastPause returns how long it takes until one of the upstreams wants calls again; zero where one
// does now, or where none will.
func (n *Notices) LeastPause(members []wire.Member) time.Duration {
	least := time.Duration(0)
	for _, m := range members {
		pause, leaving := n.Of(m.Start())
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

// Of returns for how long the upstream still wants no calls, and whether it leaves.
func (n *Notices) Of(start wire.Start) (pause time.Duration, leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	x, known := n.by[start]
	if !known {
		return 0, false
	}
	return max(0, x.until.Sub(n.clock.Now())), x.leaving
}
