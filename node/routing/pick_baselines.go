package routing

// leastInFlight picks the endpoint with the fewest attempts of this entry.
type leastInFlight struct{}

func (leastInFlight) pick(c []candidate, r *choice) *Endpoint {
	start := r.random(len(c))
	best := c[start].endpoint
	for i := range c {
		if e := c[(start+i)%len(c)].endpoint; e.InFlight() < best.InFlight() {
			best = e
		}
	}
	return best
}

// roundRobin picks the endpoints in turn.
type roundRobin struct{}

func (roundRobin) pick(c []candidate, r *choice) *Endpoint {
	return c[r.group.roundRobinNext.Add(1)%uint64(len(c))].endpoint
}

// randomPick picks a random endpoint.
type randomPick struct{}

func (randomPick) pick(c []candidate, r *choice) *Endpoint { return c[r.random(len(c))].endpoint }
