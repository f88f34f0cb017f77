package rollout

import (
	"testing"
	"time"
)

// TestNewLeaderHearsAllProcesses has a leader be lost at the end of a span in deployments of several sizes: the
// next one decides once each process had time to report to it.
func TestNewLeaderHearsAllProcesses(t *testing.T) {
	for _, span := range []time.Duration{30 * time.Second, 10 * time.Minute} {
		for _, processes := range []int{1, 90, 360, 720, 1440} {
			if listens := Left(span, span, processes) - ending(span); listens < Interval(processes)+reportTime {
				t.Errorf("%d processes, a span of %s: it decides after %s", processes, span, listens)
			}
		}
	}
}
