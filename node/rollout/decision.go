package rollout

import (
	"fmt"
	"time"

	"caperdrum.org/api/wire"
)

// Limits bound the traffic of a target version until its rollout is completed.
type Limits struct {
	// Share is the share of the service's calls, over all processes, that a bad version may get.
	Share float64
}

const (
	// shareMargin is the part of Limits.Share that is used. Each process divides its own calls only, and the
	// upstreams' counts differ from these by the calls in flight.
	shareMargin = 0.9
	// minShareDivisor sets the minimum share of the target, Limits.Share divided by it, for spans so short
	// that the lead time would use up the whole share.
	minShareDivisor = 4
	// minLead and maxLead bound the lead time between the decision and the end of the span. It must cover a
	// commit by a quorum and the time until the operator who stops the replaced upstreams learns of it.
	minLead = 700 * time.Millisecond
	maxLead = 4 * time.Second
	// leadDivisor sets the lead time within these bounds: the span divided by it.
	leadDivisor = 20
	// minBaselineCalls is how many calls the other versions must have answered before a target without any
	// answer is rolled back as unreachable.
	minBaselineCalls = 100
	// minTargetAnswers is how many answers of the target a leader needs that took over at the end of the span
	// or close to it. If the processes are lost, so are their counts, and a version of which nothing is known
	// would get all calls for good.
	minTargetAnswers = 3
	// maxLateWait is how long after the span such a leader waits for them, so that a good version completes
	// even if calls are rare.
	maxLateWait = 5 * time.Second
)

// usableShare returns the maximum share of the target before the decision. It leaves room for the lead time,
// so that Limits.Share holds over the whole span even if the version turns bad once it gets all calls.
func usableShare(span time.Duration, l Limits) float64 {
	end := float64(leadTime(span)) / float64(span)
	return max(shareMargin*(l.Share-end), l.Share/minShareDivisor)
}

// steps are the parts of the usable share, and the part of the span from which each applies.
var steps = [...]struct{ from, share float64 }{{0, 0.25}, {0.1, 0.5}, {0.2, 1}}

// Upstreams counts the upstreams of a service that are members and not leaving.
type Upstreams struct{ Target, Baseline int }

// Evidence is what a leader knows of a rollout from the processes' reports.
type Evidence struct {
	Verdict          Verdict
	Target, Baseline uint64 // answers counted
	LateLeader       bool   // the leader took over at the end of the span or close to it
}

// needsAnswers reports whether the leader should wait for more answers before it gives the target all calls.
// left is negative after the end of the span.
func (e Evidence) needsAnswers(left time.Duration) bool {
	return e.LateLeader && e.Target < minTargetAnswers && e.Baseline > 0 && left > -maxLateWait
}

// NextStep returns the leader's next step for a running rollout, or nil. left is the time until the end of the
// span. The target gets only the bounded share until the decision: a version may turn bad late, and all calls
// that it got until then count towards the bound.
func NextStep(r wire.Rollout, left time.Duration, e Evidence, up Upstreams, l Limits) *wire.RolloutStep {
	step := func(state wire.RolloutState, share float64, format string, args ...any) *wire.RolloutStep {
		return &wire.RolloutStep{Service: r.Service, Base: r.Revision, State: state, Share: share, Reason: fmt.Sprintf(format, args...)}
	}
	deciding := left <= leadTime(r.Span)
	switch {
	case e.Verdict.Bad, deciding && e.Verdict.Suspected:
		return step(wire.RolloutRolledBack, 0, "%s", e.Verdict.Reason)
	case deciding && up.Target == 0:
		return step(wire.RolloutRolledBack, 0, "no upstream of version %s serves", r.Target)
	case deciding && 2*up.Target < up.Baseline:
		return step(wire.RolloutRolledBack, 0, "%d upstreams of version %s cannot take the calls of %d", up.Target, r.Target, up.Baseline)
	case deciding && e.needsAnswers(left):
		if share := usableShare(r.Span, l); share > r.Share {
			return step(wire.RolloutRunning, share, "steps were missed: %d answers of version %s are known, %d of the others", e.Target, r.Target, e.Baseline)
		}
		return nil
	case deciding && e.Target == 0 && e.Baseline >= minBaselineCalls:
		return step(wire.RolloutRolledBack, 0, "version %s has answered no call, the others %d", r.Target, e.Baseline)
	case deciding:
		return step(wire.RolloutCompleted, 1, "%d answers of version %s were as good as %d of the others", e.Target, r.Target, e.Baseline)
	}
	if share := shareAt(r.Span, left, l); share > r.Share && !e.Verdict.Suspected {
		return step(wire.RolloutRunning, share, "step")
	}
	return nil
}

// leadTime returns how long before the end of its span a rollout is decided.
func leadTime(span time.Duration) time.Duration { return min(max(span/leadDivisor, minLead), maxLead) }

// RemainingTime returns the remaining time of the span for a leader that has just learned of the rollout. passed is
// the time since the order by the leader's wall clock, which may have been set in between. At least enough
// time remains to collect reports of all processes before the decision.
func RemainingTime(span, passed time.Duration, processes int) time.Duration {
	left := span - min(max(passed, 0), span)
	return max(left, min(span, leadTime(span)+listenTime(processes)))
}

// minListen is the minimum time for which a new leader collects reports.
const minListen = 2 * time.Second

// listenTime returns how long a new leader collects reports: each of so many processes sends one within it.
func listenTime(processes int) time.Duration { return max(minListen, Interval(processes)+sendTimeout) }

// shareAt returns the share of the target when left of the span remains.
func shareAt(span, left time.Duration, l Limits) float64 {
	passed := 1 - float64(left)/float64(span)
	share := 0.0
	for _, s := range steps {
		if passed >= s.from {
			share = s.share * usableShare(span, l)
		}
	}
	return share
}
