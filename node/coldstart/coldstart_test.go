package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// mostInASecond returns the largest number of calls that arrived within one second.
func mostInASecond(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	most, from := 0, 0
	for to := range arrivals {
		for arrivals[to].Sub(arrivals[from]) >= time.Second {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// TestColdStartLimitHoldsInEverySecond has the current chooser, a replaced chooser that does not know it
// yet, and the processes of a data centre all send to one cold upstream as fast as they are
// allowed, with calls in transit for up to a second. The shares must add up to the limit.
func TestColdStartLimitHoldsInEverySecond(t *testing.T) {
	for _, c := range []struct {
		rate      float64
		limit     Limit
		processes int // in the upstream's data centre
	}{
		{18, Limit{1.5, 5}, 9}, {18, Limit{1.5, 5}, 1}, {4, Limit{1, 0}, 3}, {60, Limit{2, 20}, 12}, {18, Limit{0, 0}, 4},
	} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(c, seed), func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				bound := int(c.rate*max(1, c.limit.Excess)) + c.limit.Slack
				choosers := make([]ChooserLimiter, 2)
				var directs []*DirectLimiter
				var names []string
				for i := range c.processes {
					names = append(names, fmt.Sprint("p", i))
				}
				for _, name := range names {
					if c.limit.MayCall(c.rate, "u", name, names) {
						directs = append(directs, &DirectLimiter{})
					}
				}
				var arrivals []time.Time
				start := time.Unix(1000, 0)
				for at := time.Duration(0); at < 8*time.Second; at += time.Millisecond {
					now := start.Add(at)
					for i := range choosers {
						if choosers[i].Allows(now, c.limit, c.rate) && random.IntN(4) == 0 {
							choosers[i].Count(now)
							late := time.Duration(0)
							if i == 0 { // the replaced chooser sends what it chose at once, or not at all
								late = time.Duration(random.Int64N(int64(time.Second)))
							}
							arrivals = append(arrivals, now.Add(late))
						}
					}
					for i := range directs {
						if directs[i].Allows(now, "u") && random.IntN(4) == 0 {
							directs[i].Count(now, "u")
							arrivals = append(arrivals, now)
						}
					}
				}
				if most := mostInASecond(arrivals); most > bound {
					t.Fatalf("%d calls in one second, the limit is %d", most, bound)
				}
			})
		}
	}
}

// TestUpstreamsWithoutARateAreNotBounded sends a thousand calls at one moment.
func TestUpstreamsWithoutARateAreNotBounded(t *testing.T) {
	var c ChooserLimiter
	now := time.Unix(1000, 0)
	for range 1000 {
		if !c.Allows(now, Limit{}, 0) {
			t.Fatal("refused")
		}
		c.Count(now)
	}
}
