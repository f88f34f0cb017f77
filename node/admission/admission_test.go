package admission

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/node/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=1") }

// TestRateHoldsInAnyWindow checks that all entries together never admit more than rate*window plus the
// bursts, for random patterns, numbers of entries and distributions of requests, and that a request is
// admitted after the time that it was told to wait.
func TestRateHoldsInAnyWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(rapidtest.NoDeadline{TB: t}, func(t *rapid.T) {
			n := rapid.IntRange(1, 4).Draw(t, "entries")
			c := &optext.Customer{Name: "c", Share: 1, Rate: rapid.Float64Range(0.5, 50).Draw(t, "rate")}
			entries := make([]*Service, n)
			for i := range entries {
				entries[i] = NewWithLimits(Limits{InFlight: 1 << 20})
				entries[i].SetEntries(n)
			}
			burst := n * max(int(c.Rate/float64(n)), 1)
			var admitted []time.Time
			t.Repeat(map[string]func(*rapid.T){
				"wait": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				},
				"flood": func(t *rapid.T) {
					e := entries[rapid.IntRange(0, n-1).Draw(t, "entry")]
					for range rapid.IntRange(1, 100).Draw(t, "requests") {
						if release, refusal := e.Admit(c, Work{}, 0); refusal == nil {
							release()
							admitted = append(admitted, time.Now())
						}
					}
				},
				"come back": func(t *rapid.T) {
					e := entries[rapid.IntRange(0, n-1).Draw(t, "entry")]
					_, refusal := e.Admit(c, Work{}, 0)
					if refusal != nil {
						if refusal.Verdict != verdict.NotRun || refusal.Code != verdict.CodeCustomerLimit || refusal.RetryAfter <= 0 {
							t.Fatalf("refusal %+v", refusal)
						}
						time.Sleep(refusal.RetryAfter)
						if _, refusal = e.Admit(c, Work{}, 0); refusal != nil {
							t.Fatalf("refused after the retry-after time: %v", refusal)
						}
					}
					admitted = append(admitted, time.Now())
				},
				"": func(t *rapid.T) {
					for i, from := range admitted {
						window := admitted[len(admitted)-1].Sub(from).Seconds()
						if got := len(admitted) - i; float64(got) > c.Rate*window+float64(burst)+1e-6 {
							t.Fatalf("%d admitted in %g s at rate %g, burst %d", got, window, c.Rate, burst)
						}
					}
				},
			})
		})
	})
}

// TestShares checks that a customer is not limited while the entry is less than half full, that none exceeds
// its share of the places above that, and that released places can be used again.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const places = 40
		s := NewWithLimits(Limits{InFlight: places, Bytes: 1000})
		names := []string{"large", "small", "tiny"}
		shares := []float64{6, 3, 1}
		held := make([][]func(), len(names))
		total, bytes := 0, 0
		active := map[int]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				i := rapid.IntRange(0, len(names)-1).Draw(t, "customer")
				size := rapid.IntRange(0, 60).Draw(t, "size")
				active[i] = true
				sum := 0.0
				for j := range active {
					sum += shares[j]
				}
				release, refusal := s.Admit(&optext.Customer{Name: names[i], Share: shares[i]}, Work{}, size)
				switch {
				case refusal == nil:
					held[i] = append(held[i], func() { release(); bytes -= size })
					total++
					bytes += size
				case refusal.RetryAfter <= 0 || refusal.Verdict != verdict.NotRun:
					t.Fatalf("refusal %+v", refusal)
				case total < places/2 && bytes+size <= 1000:
					t.Fatalf("refused with %d of %d places in use: %v", total, places, refusal)
				}
				if total > places || bytes > 1000 {
					t.Fatalf("%d places and %d bytes are in use", total, bytes)
				}
				if refusal == nil && total > places/2 && float64(len(held[i])-1) >= places*shares[i]/sum {
					t.Fatalf("%s holds %d places of a busy entry", names[i], len(held[i]))
				}
			},
			"release": func(t *rapid.T) {
				i := rapid.IntRange(0, len(names)-1).Draw(t, "customer")
				if n := len(held[i]); n > 0 {
					held[i][n-1]()
					held[i] = held[i][:n-1]
					total--
				}
			},
		})
	})
}

// TestFlood checks that a small customer still gets the places of its share when a large one takes all that
// it can get.
func TestFlood(t *testing.T) {
	s := NewWithLimits(Limits{InFlight: 100})
	small := &optext.Customer{Name: "small", Share: 1}
	large := &optext.Customer{Name: "large", Share: 3}
	if release, refusal := s.Admit(small, Work{}, 0); refusal == nil {
		release()
	}
	got := 0
	for range 1000 {
		if _, refusal := s.Admit(large, Work{}, 0); refusal == nil {
			got++
		}
	}
	if got != 75 {
		t.Errorf("the large customer holds %d places, want 75", got)
	}
	for i := range 25 {
		if _, refusal := s.Admit(small, Work{}, 0); refusal != nil {
			t.Fatalf("the small customer's request %d is refused: %v", i, refusal)
		}
	}
}
