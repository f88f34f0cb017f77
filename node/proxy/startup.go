package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxStartupWait is how long after its start this process lets calls wait for its first configuration. After a
	// power loss, which restarts all processes, it arrives 0.35 s to 0.9 s after the start, election included. A caller
	// that is refused would have to return after as long a time. A caller with less time waits as long as it has.
	maxStartupWait = 1200 * time.Millisecond
	// maxWaitingCalls bounds the memory of waiting calls to 10 MB: some 2 kB for the headers and 20 kB for the
	// goroutines of each. It is eight times the calls that reach a process in maxStartupWait at 53 a second.
	maxWaitingCalls = 512
)

// startupWait lets calls wait for this process's first configuration, for a short time after its start. Later no
// call waits: a process without a configuration by then does not know when it will get one.
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

// setConfigured ends the wait of all calls.
func (f *startupWait) setConfigured() { f.once.Do(func() { close(f.configured) }) }

// wait returns when there is a configuration, when maxStartupWait is over, when ctx ends or when the caller's time
// is over, and at once if too many calls wait. It reports whether the caller's time is over. CallerTime is zero for
// a caller that sets no timeout.
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
