package retry

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/node/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=1") }

// TestBudget compares a budget with a model: the attempts taken never exceed the reserve, its
// refills and the percentage of the first attempts, and no attempt within the reserve is refused.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(rapidtest.NoDeadline{TB: t}, func(t *rapid.T) {
			percent := rapid.IntRange(0, 100).Draw(t, "percent")
			b, reserve := NewBudget(percent), 10
			if rapid.Bool().Draw(t, "of hedges") {
				b, reserve = NewHedgeBudget(percent), 0
			}
			var firsts, taken int
			begun := time.Now()
			t.Repeat(map[string]func(*rapid.T){
				"first": func(t *rapid.T) {
					n := rapid.IntRange(1, 200).Draw(t, "n")
					firsts += n
					for range n {
						b.First()
					}
				},
				"wait": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
				},
				"take": func(t *rapid.T) {
					ok := b.Take()
					if ok {
						taken++
					}
					seconds := int(time.Since(begun) / time.Second)
					bound := reserve + firsts*percent/100 + seconds/5
					if reserve == 0 {
						bound = firsts * percent / 100
					}
					if percent == 0 {
						bound = 0
					}
					if taken > bound {
						t.Fatalf("%d extra attempts taken, at most %d allowed", taken, bound)
					}
					if !ok && percent > 0 && taken < reserve {
						t.Fatalf("refused after only %d extra attempts", taken)
					}
				},
			})
		})
	})
}

// TestLowTrafficServiceMayRetry checks that a service with one request an hour may retry every one.
func TestLowTrafficServiceMayRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(10)
		for i := range 100 {
			b.First()
			if !b.Take() {
				t.Fatalf("request %d may not be retried", i)
			}
			time.Sleep(time.Hour)
		}
	})
}

// TestRetryPercentIsExact checks that ten first attempts at ten percent earn exactly one retry, without
// rounding errors.
func TestRetryPercentIsExact(t *testing.T) {
	b := NewBudget(10)
	for b.Take() {
	}
	for range 10 {
		b.First()
	}
	if !b.Take() || b.Take() {
		t.Error("ten first attempts must earn exactly one retry")
	}
}
