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
	startGap = 1200 * time.Millisecond
	// maxWaiting bounds the calls that wait, whose headers are some 2 kB each and
	// whose goroutines take 20 kB: 10 MB. Eight times what comes to a process
	// in startGap at 53 calls a second.
	maxWaiting = 512
)

// firstView lets calls wait for this process's first configuration, for a short
// time after its start. Later it lets none wait: a process that has none by then
// does not know when it will.
type firstView struct {
	clock   clockwork.Clock
	until   time.Time
	waiting atomic.Int32
	known   chan struct{} // closed with the first configuration
	once    sync.Once
}

func newFirstView(clock clockwork.Clock) *firstView {
	return &firstView{clock: clock, until: clock.Now().Add(startGap), known: make(chan struct{})}
}

// set says that there is a configuration.
func (f *firstView) set() { f.once.Do(func() { close(f.known) }) }

// wait returns once there is a configuration, or when waiting for it is over:
// the process is past its start, too many calls wait, ctx ends, or the caller's
// time is over, which it reports. A caller that says no time has zero.
func (f *firstView) wait(ctx context.Context, callers time.Duration) (tooLate bool) {
	now := f.clock.Now()
	left := f.until.Sub(now)
	if callers > 0 {
		left = min(left, callers)
	}
	if left <= 0 {
		return false
	}
	defer f.waiting.Add(-1)
	if f.waiting.Add(1) > maxWaiting {
		return false
	}
	timer := f.clock.NewTimer(left)
	defer timer.Stop()
	select {
	case <-f.known:
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return callers > 0 && f.clock.Since(now) >= callers
}
