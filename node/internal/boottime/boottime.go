// Package boottime provides a clock that includes the time during which the VM was suspended.
// CLOCK_MONOTONIC, which Go reads, does not advance during a suspension, so a process that resumes would
// underestimate the age of what it learned before.
package boottime

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is the system clock, except that its time of day advances by CLOCK_BOOTTIME from the start of the
// process, so that it neither pauses nor jumps. Timers and tickers use the monotonic clock.
type Clock struct {
	clockwork.Clock
	start   time.Time // time of day at elapsed zero, without a monotonic reading
	elapsed func() time.Duration
}

// system is shared by the whole process, so that times read in different places are comparable.
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

// sinceBoot reads CLOCK_BOOTTIME, which Linux has since 2.6.39.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error()) // the kernel has no such clock
	}
	return time.Duration(ts.Nano())
}
