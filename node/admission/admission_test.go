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

// TestRateHoldsInAnyWindow: over all entries never more than rate*window and
// the bursts are admitted, whatever the pattern, the number of entries and the
// entry that each request reaches; and a request that waited as long as it was
// told is admitted.
func TestRateHoldsInAnyWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(rapidtest.NoDeadline{TB: t}, func(t *rapid.T) {
			n := rapid.IntRange(1, 4).Draw(t, "entries")
			c := &optext.Customer{Name: "c", Share: 1, Rate: rapid.Float64Range(0.5, 50).Draw(t, "rate")}
			entries := make([]*Service, n)
			for i := range entries {
				entries[i] = NewWith(Limits{InFlight: 1 << 20})
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
							t.Fatalf("refused after the time that it was told to wait: %v", refusal)
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

// TestShares: while the entry is half empty a customer may take what it wants;
// then none exceeds its share of the places, and nothing is lost on release.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const places = 40
		s := NewWith(Limits{InFlight: places, Bytes: 1000})
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
					t.Fatalf("refused with %d of %d places taken: %v", total, places, refusal)
				}
				if total > places || bytes > 1000 {
					t.Fatalf("%d places and %d bytes are taken", total, bytes)
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

// TestFlood: one large customer takes all it can get; a small one still gets
// the places of its share.
func TestFlood(t *testing.T) {
	s := NewWith(Limits{InFlight: 100})
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
