package control

import (
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// TestLeaderThatComesLate has leaders begin to listen at different times of a roll-out: one whose span is over, or so
// nearly that it listens beyond it, knows that what was counted before may be lost.
func TestLeaderThatComesLate(t *testing.T) {
	start := time.Unix(1000, 0)
	r := wire.Rollout{Service: "desk", Target: "v2", Span: 10 * time.Second, State: wire.RolloutRunning, Order: 1, Started: start.UnixMilli()}
	for passed, late := range map[time.Duration]bool{0: false, 5 * time.Second: false, 9 * time.Second: true, 10 * time.Second: true, time.Hour: true} {
		var l rolloutTracker
		if j := l.progress(r, &state.View{}, start.Add(passed)); j.startedLate != late {
			t.Errorf("after %s: late %v", passed, j.startedLate)
		}
	}
}
