// Package boottime has a clock that also counts the time for which the VM was suspended. Go's own
// reading of the steady clock (CLOCK_MONOTONIC) stands still meanwhile: a process that wakes up would take
// what it was told before for younger than it is.
package boottime

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is the system's clock, whose times of day go on from the process's start by CLOCK_BOOTTIME: they
// neither stand still nor jump. Its timers and tickers are those of the steady clock.
type Clock struct {
	clockwork.Clock
	start   time.Time // time of day at elapsed zero, without a reading of the steady clock
	elapsed func() time.Duration
}

// system is one clock, so that times which different parts of the process have read can be compared.
var system = newClock(clockwork.NewRealClock(), sinceBoot)

// System returns the clock of this process.
func System() *Clock { return system }

func newClock(c clockwork.Clock, elapsed func() time.Duration) *Clock {
	return &Clock{Clock: c, start: c.Now().Round(0).Add(-elapsed()), elapsed: elapsed}
}

// Now implements clockwork.Clock.
func (c *Clock) Now() time.Time { return c.start.Add(c.elapsed()) }

// Since implements clockwork.Clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// sinceBoot reads CLOCK_BOOTTIME, which every Linux since 2.6.39 has.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error()) // the kernel has no such clock
	}
	return time.Duration(ts.Nano())
}
