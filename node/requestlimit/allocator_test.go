package requestlimit

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=55") }

// TestAllocatorStaysBelowTheLimit takes permits at random times, at most those of the largest limit in any span of
// time and what may be saved up.
func TestAllocatorStaysBelowTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var a Allocator
		a.Reset(now, rapid.Bool().Draw(t, "takes over"))
		rates := rapid.SampledFrom([]float64{0.5, 1, 7, 100})
		l := Limited{Upstream: wire.Start{ID: "i-1"}, PerSecond: rates.Draw(t, "limit")}
		largest := l.PerSecond
		var taken []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 50).Draw(t, "change") == 0 {
				l.PerSecond = rates.Draw(t, "limit")
				largest = max(largest, l.PerSecond)
			}
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				available, next := a.Available(now, l), a.NextIn(now, l)
				if got := a.Take(now, l); got != available || got != (next == 0) {
					t.Fatalf("available %v, next in %v, taken %v", available, next, got)
				} else if got {
					taken = append(taken, now)
				}
			}
		}
		for i := range taken {
			for k := i; k < len(taken); k++ {
				if bound := largest*taken[k].Sub(taken[i]).Seconds() + capacity(largest); float64(k-i+1) > bound+1e-6 {
					t.Fatalf("%d permits in %v, want at most %.1f", k-i+1, taken[k].Sub(taken[i]), bound)
				}
			}
		}
	})
}

// TestNewAllocatorStartsSlowly checks the rate of an allocator that takes over, which is a quarter of the limit
// until its predecessor must have stopped.
func TestNewAllocatorStartsSlowly(t *testing.T) {
	start := time.Unix(1000, 0)
	var a Allocator
	a.Reset(start, true)
	l := Limited{Upstream: wire.Start{ID: "i-1"}, PerSecond: 8}
	take := func(from, to time.Duration) (n int) {
		for at := from; at < to; at += 10 * time.Millisecond {
			if a.Take(start.Add(at), l) {
				n++
			}
		}
		return n
	}
	if n := take(0, TakeoverTime); n != 8 {
		t.Errorf("%d permits in the first %v, want 8", n, TakeoverTime)
	}
	if n := take(TakeoverTime, TakeoverTime+time.Second); n < 7 || n > 9 {
		t.Errorf("%d permits in the next second, want 8", n)
	}
}

// TestExtremeLimits has upstreams name limits of zero and beyond any rate: the former is still called now and then,
// as only a response shows that it has ended.
func TestExtremeLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	var a Allocator
	none := Limited{Upstream: wire.Start{ID: "i-1"}}
	if !a.Take(now, none) || a.Take(now.Add(30*time.Second), none) || !a.Take(now.Add(61*time.Second), none) {
		t.Error("a limit of zero does not admit one request a minute")
	}
	huge := Limited{Upstream: wire.Start{ID: "i-2"}, PerSecond: math.MaxFloat64}
	for i := range 1000 {
		if at := now.Add(time.Duration(i) * time.Millisecond); !a.Take(at, huge) {
			t.Fatalf("request %d is not admitted", i)
		}
	}
	if wait := Wait([]Limited{none}); wait <= 0 || wait > maxWait {
		t.Errorf("wait of %v", wait)
	}
	if wait := Wait([]Limited{huge, huge}); wait != minWait {
		t.Errorf("wait of %v", wait)
	}
	if every := SumInterval([]Limited{{PerSecond: 3}, {PerSecond: 1}}); every != 250*time.Millisecond {
		t.Errorf("a request every %v", every)
	}
}

// TestUnusedBucketsAreDropped guards against keeping a bucket for each upstream that ever named a limit.
func TestUnusedBucketsAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	var a Allocator
	for i := range 100 {
		a.Take(now, Limited{Upstream: wire.Start{ID: "i", Incarnation: uint64(i)}, PerSecond: 1})
	}
	a.Take(now.Add(2*bucketRetention), Limited{Upstream: wire.Start{ID: "j"}, PerSecond: 1})
	if len(a.buckets) != 1 {
		t.Errorf("%d buckets are kept", len(a.buckets))
	}
}
