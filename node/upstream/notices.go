package upstream

import (
	"expvar"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/memberset"
)

// Counters since the process started.
var (
	pausesVar   = expvar.NewInt("upstream_pauses_asked")   // responses that ask for a pause
	leavingVar  = expvar.NewInt("upstream_leaving_said")   // incarnations that announced in a response that they are leaving
	withheldVar = expvar.NewInt("upstream_calls_withheld") // calls not sent because the upstream asked for a pause or is leaving

	limitsNamedVar   = expvar.NewInt("upstream_limits_named")      // request limits that upstreams named or changed
	limitsEndedVar   = expvar.NewInt("upstream_limits_ended")      // request limits that upstreams no longer name
	limitsInvalidVar = expvar.NewInt("upstream_limits_invalid")    // responses that name an invalid limit, or limits that differ
	limitsNowVar     = expvar.NewInt("upstream_limits_now")        // upstreams known to name a limit
	unpermittedVar   = expvar.NewInt("upstream_calls_unpermitted") // calls not sent because they had no permit for a limited upstream
)

const (
	// maxPause bounds the pause that an upstream may ask for, so that a wrong value does not disable it for
	// good.
	maxPause = time.Hour
	// noticeRetention is how long an expired notice is kept, so that upstreams which have ended are removed.
	noticeRetention = 10 * time.Minute
)

// Notices record what upstreams announced in their responses to this process: that they accept no calls for a
// while, that they are leaving, or that they limit the requests from all processes together. A notice holds for
// one incarnation of an upstream. Other processes tell of limits as well; see Merge.
type Notices struct {
	log   logr.Logger
	clock clockwork.Clock

	mu             sync.Mutex
	byStart        map[wire.Start]notice
	limited        int // upstreams that name a limit
	members        memberset.Set
	onLimitChanged func(wire.Start)
}

type notice struct {
	pausedUntil time.Time // the upstream accepts no calls until then
	leaving     bool
	limited     bool      // the upstream names a request limit
	limit       float64   // in requests per second, if limited
	limitHeard  time.Time // time of the last response that named or ended a limit; zero if there was none
	invalid     string    // the last invalid values of the limit, quoted; empty if the last response had none
	lastHeard   time.Time // time of the last response that said any of this
}

// NewNotices returns an empty set of notices.
func NewNotices(log logr.Logger, clock clockwork.Clock) *Notices {
	return &Notices{log: log, clock: clock, byStart: map[wire.Start]notice{}}
}

// Record records what a response announces.
func (n *Notices) Record(start wire.Start, a ResponseInfo) {
	if n.record(start, a) && n.onLimitChanged != nil {
		n.onLimitChanged(start)
	}
}

// record reports whether the response changes the upstream's limit.
func (n *Notices) record(start wire.Start, a ResponseInfo) (limitChanged bool) {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.byStart[start]
	endsLimit := a.Limit.Statement == LimitNone && current.limited
	if a.Pause <= 0 && !a.Leaving && a.Limit.Statement != LimitNamed && !endsLimit && a.Limit.Invalid == current.invalid {
		n.countInvalid(a.Limit)
		return false
	}
	n.logInvalidLimit(start, &current, a.Limit)
	n.expire(now)
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
	if endsLimit || a.Limit.Statement == LimitNamed {
		limitChanged = n.setLimit(start, &current, LimitNotice{Upstream: start, PerSecond: a.Limit.PerSecond, Ended: endsLimit}, now)
	}
	n.byStart[start] = current
	return limitChanged
}

func (n *Notices) countInvalid(l RequestLimit) {
	if l.Invalid != "" {
		limitsInvalidVar.Add(1)
	}
}

// logInvalidLimit counts invalid values, and logs them when they change.
func (n *Notices) logInvalidLimit(start wire.Start, current *notice, l RequestLimit) {
	n.countInvalid(l)
	changed := l.Invalid != current.invalid
	current.invalid = l.Invalid
	if l.Invalid == "" || !changed {
		return
	}
	n.log.Info("invalid request limit", "upstream", start.ID, "values", l.Invalid, "in_force", l.Statement == LimitNamed, "per_second", l.PerSecond)
}

// expire deletes old notices. A limit of a current member stays known: processes that forget it would all send
// a request to learn of it again.
func (n *Notices) expire(now time.Time) {
	for start, x := range n.byStart {
		if now.Sub(x.lastHeard) <= noticeRetention || !now.After(x.pausedUntil) || x.limited && n.isMember(start) {
			continue
		}
		if x.limited {
			n.countLimited(-1)
		}
		delete(n.byStart, start)
	}
}

func (n *Notices) isMember(start wire.Start) bool {
	m, known := n.members.Get(start.ID)
	return known && m.Start() == start
}

// UpdateMembers sets the current members.
func (n *Notices) UpdateMembers(members memberset.Set) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = members
}

// Check returns why a request with that permit may not be sent to the upstream now, or nil.
func (n *Notices) Check(start wire.Start, permit Permit) error {
	pause, leaving := n.State(start)
	switch {
	case leaving:
		withheldVar.Add(1)
		return verdict.New(verdict.NotRun, verdict.CodeUpstreamLeaving, "upstream %s leaves", start.ID)
	case pause > 0:
		withheldVar.Add(1)
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "upstream %s has asked for a pause", start.ID).WithRetryAfter(pause)
	}
	if _, limited := n.Limit(start); limited && !permit.validFor(start, n.clock.Now()) {
		unpermittedVar.Add(1)
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "upstream %s limits its requests, and there is no permit for this one", start.ID)
	}
	return nil
}

// Accepts reports whether the upstream accepts calls now.
func (n *Notices) Accepts(start wire.Start) bool {
	pause, leaving := n.State(start)
	return pause == 0 && !leaving
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
