package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// startGap is how long after its start this process lets calls wait for its first
	// configuration. From the start of all processes after a loss of power to the
	// configuration: 0.35 s to 0.9 s, an election included. A caller that waits so
	// long is still in time for the goals of streams; one that is told to come back
	// is not, since it cannot be told of less than such a gap.
	maxStartupWait = 1200 * time.Millisecond
	// maxWaiting bounds the calls that wait, whose headers are some 2 kB each and
	// whose goroutines take 20 kB: 10 MB. Eight times what comes to a process
	// in startGap at 53 calls a second.
	maxWaitingCalls = 512
)

// firstView lets calls wait for this process's first configuration, for a short
// time after its start. Later it lets none wait: a process that has none by then
// does not know when it will.
type startupWait struct {
	clock      clockwork.Clock
	deadline   time.Time
	waiting    atomic.Int32
	configured chan struct{} // closed with the first configuration
	once       sync.Once
}

func newStartupWait(clock clockwork.Clock) *startupWait {
	return &startupWait{clock: clock, deadline: clock.Now().Add(maxStartupWait), configured: make(chan struct{})}
}

// set says that there is a configuration.
func (f *startupWait) setConfigured() { f.once.Do(func() { close(f.configured) }) }

// wait returns once there is a configuration, or when waiting for it is over:
// the process is past its start, too many calls wait, ctx ends, or the caller's
// time is over, which it reports. A caller that says no time has zero.
func (f *startupWait) wait(ctx context.Context, callerTime time.Duration) (tooLate bool) {
	now := f.clock.Now()
	left := f.deadline.Sub(now)
	if callerTime > 0 {
		left = min(left, callerTime)
	}
	if left <= 0 {
		return false
	}
	defer f.waiting.Add(-1)
	if f.waiting.Add(1) > maxWaitingCalls {
		return false
	}
	timer := f.clock.NewTimer(left)
	defer timer.Stop()
	select {
	case <-f.configured:
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return callerTime > 0 && f.clock.Since(now) >= callerTime
}
