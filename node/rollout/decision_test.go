package rollout

import (
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

// TestNewLeaderHearsAllProcesses has a leader be lost at the end of a span in deployments of several sizes: the
// next one decides once each process had time to report to it.
func TestNewLeaderHearsAllProcesses(t *testing.T) {
	for _, span := range []time.Duration{30 * time.Second, 10 * time.Minute} {
		for _, processes := range []int{1, 90, 360, 720, 1440} {
			if listens := Left(span, span, processes) - leadTime(span); listens < Interval(processes)+sendTimeout {
				t.Errorf("%d processes, a span of %s: it decides after %s", processes, span, listens)
			}
		}
	}
}

// TestLateLeaderWantsAnswers has all processes be lost near the end of a span, and with them what they had counted: the
// leader that comes then does not give all calls to a version of which it has heard nothing, unless calls are few.
func TestLateLeaderWantsAnswers(t *testing.T) {
	r := wire.Rollout{Service: "desk", Target: "v2", Span: 10 * time.Second, State: wire.RolloutRunning, Share: 0.09}
	bad := Verdict{Bad: true, Suspected: true, Reason: "fails"}
	for name, c := range map[string]struct {
		left time.Duration
		h    Heard
		want wire.RolloutState // empty: nothing is decided
	}{
		"nothing was lost":                {500 * time.Millisecond, Heard{Others: 45}, wire.RolloutCompleted},
		"late, nothing of the target":     {500 * time.Millisecond, Heard{Others: 45, Late: true}, ""},
		"late, two answers":               {0, Heard{Target: minTargetAnswers - 1, Others: 45, Late: true}, ""},
		"late, answers enough":            {0, Heard{Target: minTargetAnswers, Others: 45, Late: true}, wire.RolloutCompleted},
		"late, bad answers":               {-time.Second, Heard{Verdict: bad, Target: minTargetAnswers, Others: 45, Late: true}, wire.RolloutRolledBack},
		"late, none of many for a while":  {-time.Second, Heard{Others: minBaselineCalls, Late: true}, ""},
		"late, one of many":               {-time.Second, Heard{Target: 1, Others: 2 * minBaselineCalls, Late: true}, ""},
		"late, none of many in the end":   {-maxLateWait, Heard{Others: minBaselineCalls, Late: true}, wire.RolloutRolledBack},
		"late, nobody calls":              {0, Heard{Late: true}, wire.RolloutCompleted},
		"late, calls are few for long":    {-maxLateWait, Heard{Target: 1, Others: 9, Late: true}, wire.RolloutCompleted},
		"late, calls are few for a while": {time.Millisecond - maxLateWait, Heard{Target: 1, Others: 9, Late: true}, ""},
	} {
		step := Next(r, c.left, c.h, Upstreams{Target: 2, Others: 2}, Limits{Share: 0.1})
		switch {
		case c.want == "" && step != nil:
			t.Errorf("%s: %s", name, step.State)
		case c.want != "" && (step == nil || step.State != c.want):
			t.Errorf("%s: %+v, want %s", name, step, c.want)
		}
	}
}

// TestLateLeaderMakesUpForSteps has a leader come late to a roll-out whose steps were missed: the target gets the share
// that it would have had, or it answers one call in fifty while the leader waits for three.
func TestLateLeaderMakesUpForSteps(t *testing.T) {
	r := wire.Rollout{Service: "desk", Target: "v2", Span: 10 * time.Second, State: wire.RolloutRunning, Share: 0.02}
	limits := Limits{Share: 0.1}
	step := Next(r, 0, Heard{Target: 1, Others: 102, Late: true}, Upstreams{Target: 2, Others: 2}, limits)
	if step == nil || step.State != wire.RolloutRunning || step.Share != usableShare(r.Span, limits) || step.Share > limits.Share {
		t.Fatalf("%+v", step)
	}
}
