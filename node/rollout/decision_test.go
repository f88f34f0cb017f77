package rollout

import (
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

// TestNewLeaderWaitsForAllReports loses the leader at the end of a span, in deployments of several sizes. The
// next leader must not decide before each process had time to send a report.
func TestNewLeaderWaitsForAllReports(t *testing.T) {
	for _, span := range []time.Duration{30 * time.Second, 10 * time.Minute} {
		for _, processes := range []int{1, 90, 360, 720, 1440} {
			if listens := RemainingTime(span, span, processes) - leadTime(span); listens < Interval(processes)+sendTimeout {
				t.Errorf("%d processes, span %s: the new leader decides after %s", processes, span, listens)
			}
		}
	}
}

// TestLateLeaderRequiresTargetAnswers loses all processes, and their counts, near the end of a span. A leader that
// takes over then must not give all calls to a version without known answers, unless calls are rare.
func TestLateLeaderRequiresTargetAnswers(t *testing.T) {
	r := wire.Rollout{Service: "desk", Target: "v2", Span: 10 * time.Second, State: wire.RolloutRunning, Share: 0.09}
	bad := Verdict{Bad: true, Suspected: true, Reason: "fails"}
	for name, c := range map[string]struct {
		left time.Duration
		h    Evidence
		want wire.RolloutState // empty: no step
	}{
		"leader since the start":                  {500 * time.Millisecond, Evidence{Baseline: 45}, wire.RolloutCompleted},
		"late, no answers of the target":          {500 * time.Millisecond, Evidence{Baseline: 45, LateLeader: true}, ""},
		"late, one answer too few":                {0, Evidence{Target: minTargetAnswers - 1, Baseline: 45, LateLeader: true}, ""},
		"late, enough answers":                    {0, Evidence{Target: minTargetAnswers, Baseline: 45, LateLeader: true}, wire.RolloutCompleted},
		"late, bad answers":                       {-time.Second, Evidence{Verdict: bad, Target: minTargetAnswers, Baseline: 45, LateLeader: true}, wire.RolloutRolledBack},
		"late, none of many calls, still waiting": {-time.Second, Evidence{Baseline: minBaselineCalls, LateLeader: true}, ""},
		"late, one of many calls":                 {-time.Second, Evidence{Target: 1, Baseline: 2 * minBaselineCalls, LateLeader: true}, ""},
		"late, none of many calls, wait over":     {-maxLateWait, Evidence{Baseline: minBaselineCalls, LateLeader: true}, wire.RolloutRolledBack},
		"late, no calls":                          {0, Evidence{LateLeader: true}, wire.RolloutCompleted},
		"late, few calls, wait over":              {-maxLateWait, Evidence{Target: 1, Baseline: 9, LateLeader: true}, wire.RolloutCompleted},
		"late, few calls, still waiting":          {time.Millisecond - maxLateWait, Evidence{Target: 1, Baseline: 9, LateLeader: true}, ""},
	} {
		step := NextStep(r, c.left, c.h, Upstreams{Target: 2, Baseline: 2}, Limits{Share: 0.1})
		switch {
		case c.want == "" && step != nil:
			t.Errorf("%s: %s", name, step.State)
		case c.want != "" && (step == nil || step.State != c.want):
			t.Errorf("%s: %+v, want %s", name, step, c.want)
		}
	}
}

// TestLateLeaderCatchesUpOnMissedSteps has a leader take over after the steps of a rollout were missed. The target
// must get its full usable share: with the old share it would answer one call in fifty while the leader waits
// for three answers.
func TestLateLeaderCatchesUpOnMissedSteps(t *testing.T) {
	r := wire.Rollout{Service: "desk", Target: "v2", Span: 10 * time.Second, State: wire.RolloutRunning, Share: 0.02}
	limits := Limits{Share: 0.1}
	step := NextStep(r, 0, Evidence{Target: 1, Baseline: 102, LateLeader: true}, Upstreams{Target: 2, Baseline: 2}, limits)
	if step == nil || step.State != wire.RolloutRunning || step.Share != usableShare(r.Span, limits) || step.Share > limits.Share {
		t.Fatalf("%+v", step)
	}
}
