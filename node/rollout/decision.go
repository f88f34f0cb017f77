package rollout

import (
	"fmt"
	"time"

	"caperdrum.org/api/wire"
)

// Limits bound what the target version of a roll-out may get before it has proved itself.
type Limits struct {
	// Share is the part of the service's calls that a bad version may get, over all processes.
	Share float64
}

const (
	// usedShare is the part of Limits.Share that is used: processes count their own calls, and
	// what upstreams count differs by calls that are under way.
	shareMargin = 0.9
	// leastShare is the part of Limits.Share that the target gets in any case, one in so many, where
	// the span is so short that its end takes the rest.
	minShareDivisor = 4
	// leastEnd and mostEnd bound what is left of the span when it is decided: a commit by a
	// quorum, and the way to who stops the upstreams that were replaced.
	minLead = 700 * time.Millisecond
	maxLead = 4 * time.Second
	// endPart is the part of the span that is left otherwise, one in so many.
	leadDivisor = 20
	// leastCalls is how many calls of the service the target must have had a part of, if there
	// were so many: one that got none of them was never reached.
	minBaselineCalls = 100
	// leastAnswers is how many answers of the target a leader wants that began to listen when the
	// span was over or nearly so. What the processes had counted is lost with them: a version of
	// which nothing is known would get all calls, for good.
	minTargetAnswers = 3
	// lateWait bounds for how long it waits for them: a good version must not stay behind where
	// calls are few.
	maxLateWait = 5 * time.Second
)

// usableShare is the share that the target may have until its end, so that the bound holds over the whole
// span even if the version turns bad once it gets all calls.
func usableShare(span time.Duration, l Limits) float64 {
	end := float64(leadTime(span)) / float64(span)
	return max(shareMargin*(l.Share-end), l.Share/minShareDivisor)
}

// steps are the parts of the usable share, and from which part of the span on.
var steps = [...]struct{ from, share float64 }{{0, 0.25}, {0.1, 0.5}, {0.2, 1}}

// Upstreams counts a service's upstreams that are there and not leaving.
type Upstreams struct{ Target, Others int }

// Heard is what a leader has heard of a roll-out.
type Heard struct {
	Verdict        Verdict
	Target, Others uint64 // answers
	Late           bool   // it listens only since the span was over, or nearly so
}

// tooLittle reports whether the leader should hear more before it gives the target all calls. left is
// below zero once the time for that is over.
func (h Heard) needsAnswers(left time.Duration) bool {
	return h.Late && h.Target < minTargetAnswers && h.Others > 0 && left > -maxLateWait
}

// Next returns the leader's decision about a running roll-out, left before its span is over, or
// nil. Until its end the target gets the bounded share only: a version may turn bad late, and what
// it got by then counts against the bound.
func Next(r wire.Rollout, left time.Duration, h Heard, up Upstreams, l Limits) *wire.RolloutStep {
	step := func(state wire.RolloutState, share float64, format string, args ...any) *wire.RolloutStep {
		return &wire.RolloutStep{Service: r.Service, Base: r.Revision, State: state, Share: share, Reason: fmt.Sprintf(format, args...)}
	}
	deciding := left <= leadTime(r.Span)
	switch {
	case h.Verdict.Bad, deciding && h.Verdict.Suspected:
		return step(wire.RolloutRolledBack, 0, "%s", h.Verdict.Reason)
	case deciding && up.Target == 0:
		return step(wire.RolloutRolledBack, 0, "no upstream of version %s serves", r.Target)
	case deciding && 2*up.Target < up.Others:
		return step(wire.RolloutRolledBack, 0, "%d upstreams of version %s cannot take the calls of %d", up.Target, r.Target, up.Others)
	case deciding && h.needsAnswers(left):
		if share := usableShare(r.Span, l); share > r.Share {
			return step(wire.RolloutRunning, share, "steps were missed: %d answers of version %s are known, %d of the others", h.Target, r.Target, h.Others)
		}
		return nil
	case deciding && h.Target == 0 && h.Others >= minBaselineCalls:
		return step(wire.RolloutRolledBack, 0, "version %s has answered no call, the others %d", r.Target, h.Others)
	case deciding:
		return step(wire.RolloutCompleted, 1, "%d answers of version %s were as good as %d of the others", h.Target, r.Target, h.Others)
	}
	if share := shareAt(r.Span, left, l); share > r.Share && !h.Verdict.Suspected {
		return step(wire.RolloutRunning, share, "step")
	}
	return nil
}

// ending is how long before its span is over a roll-out is decided.
func leadTime(span time.Duration) time.Duration { return min(max(span/leadDivisor, minLead), maxLead) }

// Left is the rest of a span of which so much has passed by a leader's time of day, for a leader that
// has just heard of the roll-out: it listens to so many processes before it decides, and the time of day may
// have been set since the order.
func Left(span, passed time.Duration, processes int) time.Duration {
	left := span - min(max(passed, 0), span)
	return max(left, min(span, leadTime(span)+listenTime(processes)))
}

// leastHeard is how long a leader listens at least.
const minListen = 2 * time.Second

// listening is how long a leader listens to so many processes: each reports within it.
func listenTime(processes int) time.Duration { return max(minListen, Interval(processes)+sendTimeout) }

// shareAt is the share that the target gets when so much of the span is left.
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
