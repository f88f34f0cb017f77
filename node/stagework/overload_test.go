package stagework

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The load of a site whose callers ask for more than its services can do, for longer than any of them waits: two kinds have
// three stages in a row, and the least urgent kind has one stage and the shortest goal.
const (
	overloadFrom  = 5 * time.Second // the queues have filled by then
	overloadUntil = 30 * time.Second
)

// overloadMix says how much the kinds of calls ask for.
type overloadMix struct {
	name          string
	perSecond     []float64 // calls of each kind at load 1, the most urgent first
	courierPieces int       // least number of pieces of the last stage
	shared        int       // kinds that need the service which is full first, the most urgent ones
}

var overloadMixes = []overloadMix{
	{name: "first service full", perSecond: []float64{70, 45, 125}, courierPieces: 5, shared: 3},
	{name: "last service full", perSecond: []float64{90, 60, 100}, courierPieces: 8, shared: 2},
}

// kinds returns the kinds of calls, the most urgent first.
func (x overloadMix) kinds() []modelKind {
	chain := func(r *rand.Rand, beside int) []Stage {
		return []Stage{{Service: "front", Pieces: beside, ResultBytes: 700_000}, {Service: "front", Pieces: 1, ResultBytes: lightBytes},
			{Service: "catalog", DependsOn: []int{1}, Pieces: 6, ResultBytes: 60_000}, {Service: "courier", DependsOn: []int{2}, Pieces: x.courierPieces + r.IntN(5), ResultBytes: 6000}}
	}
	return []modelKind{
		{name: "replies", goal: 1900 * time.Millisecond, left: 10 * time.Second, shared: 210, own: 650, distinctParts: 500, groupSize: 2, priority: 0,
			stages: func(r *rand.Rand) []Stage { return chain(r, 0) }},
		{name: "reports", goal: 2300 * time.Millisecond, left: 14 * time.Second, shared: 4900, own: 5200, distinctParts: 700, groupSize: 2, priority: 1,
			stages: func(r *rand.Rand) []Stage {
				if r.Float64() < 0.3 {
					return chain(r, 1+r.IntN(2))
				}
				return chain(r, 0)
			}},
		{name: "tags", goal: 900 * time.Millisecond, left: 5 * time.Second, shared: 600, own: 1500, distinctParts: 600, groupSize: 2, priority: 2,
			stages: func(r *rand.Rand) []Stage {
				return []Stage{{Service: "front", Pieces: 1 + r.IntN(3), ResultBytes: 700_000}}
			}},
	}
}

// overloadResult is what the callers of a load got.
type overloadResult struct {
	perSecond float64            // callers in time
	inTime    map[string]float64 // shares by kind; "" for all
}

// play plays a multiple of the load.
func (x overloadMix) play(t *testing.T, load float64) overloadResult {
	m := newChainModel(7)
	for i, k := range x.kinds() {
		m.traffic(k, 0, overloadUntil, load*x.perSecond[i])
	}
	m.run(overloadUntil + 15*time.Second)
	out := overloadResult{inTime: map[string]float64{}}
	for _, kind := range []string{"", "replies", "reports", "tags"} {
		got := m.got(kind, overloadFrom, overloadUntil)
		out.inTime[kind] = got.inTime
		if kind == "" {
			out.perSecond = got.inTime * float64(got.asked) / (overloadUntil - overloadFrom).Seconds()
			t.Logf("load %g: %.1f in time a second, %d results unused, %d inputs gone", load, out.perSecond, m.wasted, m.goneInputs)
			continue
		}
		t.Logf("load %g: %s: %s, by prediction %v", load, kind, got, m.predictions(kind))
	}
	return out
}

// predictions counts the calls of a kind by what was predicted at admission and what came of it.
func (m *loadModel) predictions(kind string) map[string]int {
	out := map[string]int{}
	for _, e := range m.ended {
		outcome := jobLate
		switch {
		case e.kind != kind:
			continue
		case e.inTime:
			outcome = jobInTime
		case !e.served && e.predicted == "":
			outcome = jobRefused
		case !e.served:
			outcome = jobFailed
		}
		out[e.predicted+"/"+outcome]++
	}
	return out
}

// overloads are the multiples of the load that are played.
var overloads = []float64{1, 1.25, 1.5, 2, 3}

// playAll plays all multiples of the load.
func (x overloadMix) playAll(t *testing.T) []overloadResult {
	results := make([]overloadResult, len(overloads))
	var wg sync.WaitGroup
	for i, load := range overloads {
		wg.Go(func() { results[i] = x.play(t, load) })
	}
	wg.Wait()
	return results
}

// expectGoodput checks that at each load at least 0.95 of the best rate so far are in time, or of all that come.
func expectGoodput(g *gomega.WithT, results []overloadResult) {
	best := 0.0
	for i, r := range results {
		asked := r.perSecond / r.inTime[""]
		best = max(best, r.perSecond)
		g.Expect(r.perSecond).To(gomega.BeNumerically(">=", 0.95*min(asked, best)), fmt.Sprint("load ", overloads[i]))
	}
}

// TestGoodputHoldsWhereTheFirstServiceIsFull guards against late and less urgent work that makes others late: the more callers come,
// the fewer were in time.
func TestGoodputHoldsWhereTheFirstServiceIsFull(t *testing.T) {
	if testing.Short() { // one goroutine: the race detector finds nothing here, and takes minutes
		t.Skip("the load model is played without the race detector only")
	}
	expectGoodput(gomega.NewWithT(t), overloadMixes[0].playAll(t))
}

// TestOverloadDoesNotMakeMoreCallersLate guards against goodput that falls as more callers come, and against a more urgent
// kind with a longer chain that is served less often than a less urgent one.
func TestOverloadDoesNotMakeMoreCallersLate(t *testing.T) {
	if testing.Short() { // one goroutine: the race detector finds nothing here, and takes minutes
		t.Skip("the load model is played without the race detector only")
	}
	for _, x := range overloadMixes {
		t.Run(x.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			results := x.playAll(t)
			expectGoodput(g, results)
			for i, r := range results {
				kinds := x.kinds()
				for k := 1; k < x.shared; k++ {
					more, less := kinds[k-1].name, kinds[k].name
					g.Expect(r.inTime[more]).To(gomega.BeNumerically(">=", r.inTime[less]-1.0/(maxPassedOver+1)), fmt.Sprintf("load %g: %s and %s", overloads[i], more, less))
				}
				for _, k := range kinds {
					g.Expect(r.inTime[k.name]).To(gomega.BeNumerically(">=", r.inTime[""]/4), fmt.Sprintf("load %g: %s", overloads[i], k.name))
				}
			}
		})
	}
}
