package routing

// twoChoices picks the better of two random candidates whose cost is close to the best.
// This keeps entries that see the same state from all sending to the same endpoint
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
type twoChoices struct{}

const (
	nearBestFactor     = 1.15
	nearBestSeconds    = 0.0002
	minAdvantageFactor = 1.05 // a smaller difference is noise and must not starve an endpoint
)

func (twoChoices) pick(c []candidate, r *choice) *Endpoint {
	best := c[0].cost
	for _, x := range c[1:] {
		best = min(best, x.cost)
	}
	limit := best + (nearBestFactor-1)*max(best, 0) + nearBestSeconds
	near := 0
	for i := range c {
		if c[i].cost <= limit {
			c[near], c[i] = c[i], c[near]
			near++
		}
	}
	a := c[r.random(near)]
	b := c[r.random(near)]
	if b.cost < a.cost-(minAdvantageFactor-1)*max(a.cost, 0) {
		return b.endpoint
	}
	return a.endpoint
}
