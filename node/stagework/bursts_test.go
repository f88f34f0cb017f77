package stagework

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"caperdrum.org/api/wire"
)

// The load of a site whose less urgent callers have the longer goal: two kinds of calls have the same three stages, and
// come in bursts beyond what the services can do.
var (
	burstPlans = modelKind{name: "plans", goal: 1500 * time.Millisecond, left: 12 * time.Second, shared: 5382, own: 6610, distinctParts: 399, groupSize: 3, retries: true,
		stages: func(r *rand.Rand) []Stage {
			if r.Float64() < 0.3 {
				return nil
			}
			return []Stage{{Service: "front", Pieces: 1 + r.IntN(4), ResultBytes: 800_000}}
		}}
	burstAdvice = modelKind{name: "advice", goal: 2 * time.Second, left: 12 * time.Second, shared: 198, own: 628, distinctParts: 989, groupSize: 3, retries: true, priority: 1, stages: hardChain}
	burstChecks = modelKind{name: "checks", goal: 4 * time.Second, left: 6 * time.Second, shared: 568, own: 1800, distinctParts: 580, groupSize: 3, retries: true, priority: 2,
		stages: func(r *rand.Rand) []Stage {
			chain := hardChain(r)
			for i := range chain {
				for k := range chain[i].DependsOn {
					chain[i].DependsOn[k]++
				}
			}
			beside := 0
			if r.Float64() < 0.4 {
				beside = 1 + r.IntN(2)
			}
			return append([]Stage{{Service: "front", Pieces: beside, ResultBytes: 800_000}}, chain...)
		}}
)

// playBursts plays the usual load with bursts of the two less urgent kinds, and slow upstreams of the last service.
func playBursts(seed uint64) *loadModel {
	m := newHardLoadModel(seed)
	m.rate, m.lightPieces = 55_000, true
	m.traffic(burstPlans, 0, 34*time.Second, 25)
	m.traffic(burstAdvice, 0, 34*time.Second, 71)
	m.traffic(burstChecks, 0, 34*time.Second, 36)
	for _, from := range []time.Duration{4 * time.Second, 14 * time.Second, 24 * time.Second} {
		m.traffic(burstAdvice, from, from+5*time.Second, 110)
		m.traffic(burstChecks, from, from+5*time.Second, 30)
	}
	m.after(14*time.Second, func() {
		for i := range 5 {
			m.slow[wire.MemberID(fmt.Sprintf("courier-%02d", i))] = 4
		}
	})
	m.after(20*time.Second, func() { clear(m.slow) })
	m.tick()
	m.run(60 * time.Second)
	return m
}

// TestLessUrgentCallersAreNotRefusedForLateAnswers guards against callers that are refused although they could be in time,
// while upstreams work on late answers to more urgent callers.
func TestLessUrgentCallersAreNotRefusedForLateAnswers(t *testing.T) {
	if testing.Short() { // one goroutine: the race detector finds nothing here, and takes minutes
		t.Skip("the load model is played without the race detector only")
	}
	g := gomega.NewWithT(t)
	const seeds = 3
	inTime := map[string]float64{}
	for seed := range uint64(seeds) {
		m := playBursts(seed + 1)
		for _, kind := range []string{"plans", "advice", "checks"} {
			got := m.got(kind, 0, 34*time.Second)
			t.Logf("%s: %s, by prediction %v", kind, got, m.predictions(kind))
			inTime[kind] += got.inTime / seeds
		}
	}
	t.Logf("in time: %v", inTime)
	g.Expect(inTime["checks"]).To(gomega.BeNumerically(">=", 0.9))
	g.Expect(inTime["advice"]).To(gomega.BeNumerically(">=", inTime["checks"]-1.0/(maxPassedOver+1)))
	g.Expect(inTime["plans"]).To(gomega.BeNumerically(">=", inTime["advice"]-1.0/(maxPassedOver+1)))
}
