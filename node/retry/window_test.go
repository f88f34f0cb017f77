package retry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// TestWindowHoldsInEverySpan draws first and extra attempts over time. Whenever an extra attempt
// is allowed, the span of the window's length that ends there must hold no more extra attempts
// than the ratio of its first attempts plus the fixed number.
func TestWindowHoldsInEverySpan(t *testing.T) {
	const (
		length = 10 * time.Second
		ratio  = 0.2
		fixed  = 5
	)
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		w := NewWindow(length, ratio, clock)
		var first, extra []time.Time
		for range rapid.IntRange(1, 80).Draw(t, "attempts") {
			clock.Advance(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			now := clock.Now()
			w.First()
			first = append(first, now)
			taken := false
			for w.Take(fixed) {
				extra, taken = append(extra, now), true
			}
			if !taken {
				continue
			}
			// The window may count up to one step more than its length, never less.
			allowed := ratio*float64(since(first, now.Add(-length-length/10))) + fixed
			if n := since(extra, now.Add(-length)); float64(n) > allowed {
				t.Fatalf("%d extra attempts in a window, %.1f allowed", n, allowed)
			}
		}
	})
}

func since(list []time.Time, from time.Time) int {
	n := 0
	for _, at := range list {
		if at.After(from) {
			n++
		}
	}
	return n
}

// TestWindowDoesNotAccumulateUnusedRepeats checks that many first attempts in the past do not add to what is
// allowed now.
func TestWindowDoesNotAccumulateUnusedRepeats(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := NewWindow(10*time.Second, 0.2, clock)
	for range 1000 {
		w.First()
		clock.Advance(time.Second)
	}
	n := 0
	for w.Take(3) {
		n++
	}
	if n > 5 {
		t.Fatalf("%d extra attempts after 10 first ones in the window", n)
	}
}
