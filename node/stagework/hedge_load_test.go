package stagework

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"caperdrum.org/api/wire"
)

const (
	hedgeBurstFrom  = 3 * time.Second
	hedgeBurstUntil = 7 * time.Second
)

// slowUpstreamsLoad plays a burst at six tenths of the site's usual load, in which the given number of the 15
// upstreams of the second service are five times slower.
func slowUpstreamsLoad(seed uint64, slow int, hedging bool) *loadModel {
	m := newChainModel(seed)
	m.owner.hedging.enabled = hedging
	m.tick()
	m.traffic(chainDrafts, 0, hedgeBurstUntil, 27)
	m.traffic(chainChats, 0, hedgeBurstUntil, 73)
	m.traffic(chainChecks, 0, hedgeBurstUntil, 45)
	m.traffic(chainChats, hedgeBurstFrom, hedgeBurstUntil, 58)
	m.after(hedgeBurstFrom, func() {
		for i := range slow {
			m.slow[wire.MemberID(fmt.Sprint("catalog-", i))] = 5
		}
	})
	m.run(14 * time.Second)
	return m
}

// TestHedgesServeCallsInTime makes 30% of the upstreams of a service slow in a burst: with hedging at most half as many
// calls are late or refused as without it, and no call finds an input gone.
func TestHedgesServeCallsInTime(t *testing.T) {
	if testing.Short() { // one goroutine: the race detector finds nothing here, and takes minutes
		t.Skip("the load model is played without the race detector only")
	}
	g := gomega.NewWithT(t)
	const slow = 5 // of 15: 30%, rounded up
	gone := 0
	play := func(hedging bool) float64 {
		return meanInTime(func(seed uint64) float64 {
			m := slowUpstreamsLoad(seed, slow, hedging)
			gone += m.goneInputs
			return m.inTime(hedgeBurstFrom, hedgeBurstUntil)
		})
	}
	before := play(false)
	hedges := mapValue(hedgesVar, "catalog")
	now := play(true)
	hedges = mapValue(hedgesVar, "catalog") - hedges
	t.Logf("in time %.4f -> %.4f, %d hedges in %d runs, %d inputs gone", before, now, hedges, len(loadSeeds), gone)
	g.Expect(1 - now).To(gomega.BeNumerically("<", (1-before)/2))
	g.Expect(hedges).To(gomega.BeNumerically(">", 0))
	g.Expect(gone).To(gomega.BeZero())
}

// TestNothingSlowNothingHedged plays the same burst with all upstreams at their pace: no call is hedged.
func TestNothingSlowNothingHedged(t *testing.T) {
	if testing.Short() { // one goroutine: the race detector finds nothing here, and takes minutes
		t.Skip("the load model is played without the race detector only")
	}
	g := gomega.NewWithT(t)
	hedges := func() (sum int64) {
		for service := range chainServices {
			sum += mapValue(hedgesVar, service)
		}
		return sum
	}
	before := hedges()
	inTime := meanInTime(func(seed uint64) float64 {
		return slowUpstreamsLoad(seed, 0, true).inTime(hedgeBurstFrom, hedgeBurstUntil)
	})
	t.Logf("in time %.4f", inTime)
	g.Expect(hedges()).To(gomega.Equal(before))
}
