package boottime

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestClockCountsSuspension lets the VM stand still for a minute, in which the steady clock does not go on, and the
// time of day jump.
func TestClockCountsSuspension(t *testing.T) {
	steady := clockwork.NewFakeClock()
	elapsed := time.Hour
	c := newClock(steady, func() time.Duration { return elapsed })
	asked := c.Now()
	if !asked.Equal(steady.Now()) {
		t.Fatalf("starts at %v, not at %v", asked, steady.Now())
	}
	elapsed += time.Minute
	if age := c.Since(asked); age != time.Minute || c.Until(asked) != -time.Minute {
		t.Fatalf("%v and %v after a minute", age, c.Until(asked))
	}
	steady.Advance(24 * time.Hour) // as the time of day
	if age := c.Since(asked); age != time.Minute {
		t.Fatalf("%v after a jump", age)
	}
}

// TestSystemsClockGoesOn reads the kernel's.
func TestSystemsClockGoesOn(t *testing.T) {
	c := System()
	before := c.Now()
	if after := c.Now(); after.Before(before) {
		t.Fatalf("%v and then %v", before, after)
	}
}
