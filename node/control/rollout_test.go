package control

import (
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// TestLateRolloutLeader lets leaders start to track a rollout at different times. If its span is over, or
// so nearly that tracking ends after it, earlier counts may be missing.
func TestLateRolloutLeader(t *testing.T) {
	start := time.Unix(1000, 0)
	r := wire.Rollout{Service: "desk", Target: "v2", Span: 10 * time.Second, State: wire.RolloutRunning, Order: 1, Started: start.UnixMilli()}
	for passed, late := range map[time.Duration]bool{0: false, 5 * time.Second: false, 9 * time.Second: true, 10 * time.Second: true, time.Hour: true} {
		var l rolloutTracker
		if j := l.progress(r, &state.View{}, start.Add(passed)); j.startedLate != late {
			t.Errorf("after %s: started late %v", passed, j.startedLate)
		}
	}
}
