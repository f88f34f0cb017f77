package boottime

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestClockCountsSuspension suspends the VM for a minute, during which the monotonic clock does not advance,
// and then makes the time of day jump.
func TestClockCountsSuspension(t *testing.T) {
	monotonic := clockwork.NewFakeClock()
	elapsed := time.Hour
	c := newClock(monotonic, func() time.Duration { return elapsed })
	start := c.Now()
	if !start.Equal(monotonic.Now()) {
		t.Fatalf("starts at %v, want %v", start, monotonic.Now())
	}
	elapsed += time.Minute
	if age := c.Since(start); age != time.Minute || c.Until(start) != -time.Minute {
		t.Fatalf("age %v and remaining %v after a minute", age, c.Until(start))
	}
	monotonic.Advance(24 * time.Hour) // the time of day jumps
	if age := c.Since(start); age != time.Minute {
		t.Fatalf("age %v after a jump of the time of day", age)
	}
}

// TestSystemClockDoesNotRunBackwards checks that the kernel's clock does not run backwards.
func TestSystemClockDoesNotRunBackwards(t *testing.T) {
	c := System()
	before := c.Now()
	if after := c.Now(); after.Before(before) {
		t.Fatalf("%v, then %v", before, after)
	}
}
