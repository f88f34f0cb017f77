package boottime

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestClockCountsSuspension suspends the VM for a minute, during which the monotonic clock does not advance,
// and then makes the time of day jump.
func TestClockCountsSuspension(t *testing.T) {
	steady := clockwork.NewFakeClock()
	elapsed := time.Hour
	c := newClock(steady, func() time.Duration { return elapsed })
	asked := c.Now()
	if !asked.Equal(steady.Now()) {
		t.Fatalf("starts at %v, want %v", asked, steady.Now())
	}
	elapsed += time.Minute
	if age := c.Since(asked); age != time.Minute || c.Until(asked) != -time.Minute {
		t.Fatalf("age %v and remaining %v after a minute", age, c.Until(asked))
	}
	steady.Advance(24 * time.Hour) // the time of day jumps
	if age := c.Since(asked); age != time.Minute {
		t.Fatalf("age %v after a jump of the time of day", age)
	}
}

// TestSystemsClockGoesOn checks that the kernel's clock does not run backwards.
func TestSystemsClockGoesOn(t *testing.T) {
	c := System()
	before := c.Now()
	if after := c.Now(); after.Before(before) {
		t.Fatalf("%v, then %v", before, after)
	}
}
