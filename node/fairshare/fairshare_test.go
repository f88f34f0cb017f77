package fairshare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"caperdrum.org/node/fairshare"
	"caperdrum.org/node/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=20261204", "checks=3000") }

// tolerance is the rounding error, relative to the capacity, that is allowed: 40 amounts are summed, and the weights
// are 0.1 or more.
const tolerance = 1e-9

// drawDemands draws up to 40 demands. Amounts and weights are often equal, so that ratios tie.
func drawDemands(t *rapid.T) []fairshare.Demand {
	amount := rapid.OneOf(rapid.Float64Range(0, 1000), rapid.Map(rapid.IntRange(0, 5), func(n int) float64 { return float64(n) }))
	weight := rapid.OneOf(rapid.Float64Range(0.1, 10), rapid.SampledFrom([]float64{0.5, 1, 2}))
	demands := make([]fairshare.Demand, rapid.IntRange(0, 40).Draw(t, "customers"))
	for i := range demands {
		demands[i] = fairshare.Demand{Customer: fmt.Sprint("c", i), Weight: weight.Draw(t, "weight"), Amount: amount.Draw(t, "amount")}
	}
	return demands
}

func drawCapacity(t *rapid.T) float64 {
	return rapid.OneOf(rapid.Float64Range(0, 40_000), rapid.Float64Range(0, 100), rapid.Just(0.0)).Draw(t, "capacity")
}

// TestNoCustomerGetsMoreThanItAskedFor guards against an allocation above the demand, and against a negative one.
func TestNoCustomerGetsMoreThanItAskedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		a := fairshare.MaxMin(drawCapacity(t), demands)
		for _, d := range demands {
			if got := a.Of(d); got > d.Amount || got < 0 || math.IsNaN(got) {
				t.Fatalf("%+v gets %g at level %g", d, got, a.Level)
			}
		}
	})
}

// TestCapacityIsUsed guards against an allocation that leaves capacity unused while a demand is unsatisfied, and against
// one that exceeds the capacity.
func TestCapacityIsUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands, capacity := drawDemands(t), drawCapacity(t)
		a := fairshare.MaxMin(capacity, demands)
		asked, got := 0.0, 0.0
		for _, d := range demands {
			asked += d.Amount
			got += a.Of(d)
		}
		if want := min(capacity, asked); math.Abs(got-want) > tolerance*want {
			t.Fatalf("allocated %g of %g, asked for %g", got, capacity, asked)
		}
	})
}

// TestNoCustomerGainsAtAPoorerOnesCost guards against unfair allocations: a customer that does not get what it asked
// for has no less for its weight than any other.
func TestNoCustomerGainsAtAPoorerOnesCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		capacity := drawCapacity(t)
		a := fairshare.MaxMin(capacity, demands)
		for _, d := range demands {
			if a.Of(d) >= d.Amount {
				continue
			}
			for _, other := range demands {
				if own, theirs := a.Of(d)/d.Weight, a.Of(other)/other.Weight; theirs > own+tolerance*(own+capacity) {
					t.Fatalf("%+v is unsatisfied with %g for its weight, %+v has %g", d, own, other, theirs)
				}
			}
		}
	})
}

// TestOrderDoesNotMatter guards against a selection that depends on where a demand stands.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands, capacity := drawDemands(t), drawCapacity(t)
		shuffled := slices.Clone(demands)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)).Shuffle(len(shuffled), func(i, k int) { shuffled[i], shuffled[k] = shuffled[k], shuffled[i] })
		a, b := fairshare.MaxMin(capacity, demands), fairshare.MaxMin(capacity, shuffled)
		for _, d := range demands {
			if math.Abs(a.Of(d)-b.Of(d)) > tolerance*capacity {
				t.Fatalf("%+v gets %g, in another order %g", d, a.Of(d), b.Of(d))
			}
		}
	})
}

// TestExamples checks allocations that can be computed by hand.
func TestExamples(t *testing.T) {
	g := gomega.NewWithT(t)
	small, large, heavy := fairshare.Demand{Customer: "small", Weight: 1, Amount: 2}, fairshare.Demand{Customer: "large", Weight: 1, Amount: 20}, fairshare.Demand{Customer: "heavy", Weight: 3, Amount: 20}
	a := fairshare.MaxMin(14, []fairshare.Demand{large, heavy, small})
	g.Expect(a.Of(small)).To(gomega.Equal(2.0))
	g.Expect(a.Of(large)).To(gomega.Equal(3.0))
	g.Expect(a.Of(heavy)).To(gomega.Equal(9.0))
	g.Expect(fairshare.MaxMin(42, []fairshare.Demand{large, heavy, small}).Of(large)).To(gomega.Equal(20.0))
	g.Expect(fairshare.MaxMin(5, nil).Of(fairshare.Demand{Weight: 1})).To(gomega.BeZero())
}

// BenchmarkMaxMin measures the number of customers that a service tracks.
func BenchmarkMaxMin(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	demands, sum := make([]fairshare.Demand, 256), 0.0
	for i := range demands {
		demands[i] = fairshare.Demand{Customer: fmt.Sprint("customer-", i), Weight: 1, Amount: random.ExpFloat64()}
		sum += demands[i].Amount
	}
	for b.Loop() {
		fairshare.MaxMin(sum/2, demands)
	}
}
