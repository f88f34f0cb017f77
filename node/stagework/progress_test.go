package stagework

import (
	"testing"
	"time"
)

// TestStageTimings formats a job with a completed stage, one in a call, one that waits, and one whose inputs
// are not ready.
func TestStageTimings(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	j := &job{times: []stageTimes{{ready: at(0), begun: at(20), done: at(200)}, {ready: at(200), begun: at(250)}, {ready: at(200)}, {}}}
	if got, want := j.stageTimings(), "0:20+180 1:50 2:waits"; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}
