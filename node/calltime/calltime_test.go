package calltime

import (
	"testing"
	"time"
)

// TestEstimatesFollowTheCalls checks that the estimates settle at what calls take, keep kinds apart and forget those that are
// not used.
func TestEstimatesFollowTheCalls(t *testing.T) {
	var x Times
	if x.Most("a") != 0 {
		t.Fatal("an estimate without calls")
	}
	x.Record("a", time.Hour)
	for i := range 300 {
		x.Record("a", time.Duration(800+400*(i%2))*time.Millisecond)
		x.Record("b", time.Minute)
	}
	if m := x.Most("a"); m < 1200*time.Millisecond || m > 2*time.Second {
		t.Fatalf("most %s of calls that take 0.8 s and 1.2 s", m)
	}
	if x.Most("b") != time.Minute {
		t.Fatal("calls that all take a minute")
	}
	x.Retain(map[string]bool{"b": true})
	if x.Most("a") != 0 || x.Most("b") == 0 {
		t.Fatal("the wrong estimates were dropped")
	}
}
