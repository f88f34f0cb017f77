package routing

import "sync/atomic"

// policy is a way to score and pick among the candidates that passed the
// filters; there is at least one.
type policy interface {
	pick(candidates []*Endpoint, r Request) *Endpoint
}

func policies(dataCenter string) map[string]policy {
	return map[string]policy{
		"predicted":       twoChoices{score: predicted{dataCenter}},
		"least-in-flight": leastInFlight{},
		"round-robin":     &roundRobin{},
		"random":          randomPick{},
	}
}

// scorer gives the cost of sending an attempt to an endpoint; lower is better.
type scorer interface {
	score(e *Endpoint) float64
}

// predicted is the expected time until the answer: the queue ahead, seen by
// the gate or sent by this entry, at the speed seen so far, and the distance.
type predicted struct{ dataCenter string }

const otherDataCenter = 0.001 // seconds there and back

func (p predicted) score(e *Endpoint) float64 {
	ahead := max(e.inFlight.Load(), e.queued.Load()+e.running.Load())
	limit := e.Limit()
	cost := e.Latency() * (1 + float64(max(ahead-limit+1, 0))/float64(limit))
	cost *= 1 + 0.1*float64(ahead)/float64(limit)
	if e.Member.DataCenter != p.dataCenter {
		cost += otherDataCenter
	}
	return cost
}

// twoChoices takes the better of two random candidates (Mitzenmacher, "The
// Power of Two Choices in Randomized Load Balancing", 2001).
type twoChoices struct{ score scorer }

func (t twoChoices) pick(c []*Endpoint, _ Request) *Endpoint {
	a := c[random(len(c))]
	b := c[random(len(c))]
	if t.score.score(b) < t.score.score(a) {
		return b
	}
	return a
}

type leastInFlight struct{}

func (leastInFlight) pick(c []*Endpoint, _ Request) *Endpoint {
	start := random(len(c))
	best := c[start]
	for i := range c {
		if e := c[(start+i)%len(c)]; e.InFlight() < best.InFlight() {
			best = e
		}
	}
	return best
}

type roundRobin struct{ next atomic.Uint64 }

func (p *roundRobin) pick(c []*Endpoint, _ Request) *Endpoint {
	return c[p.next.Add(1)%uint64(len(c))]
}

type randomPick struct{}

func (randomPick) pick(c []*Endpoint, _ Request) *Endpoint { return c[random(len(c))] }
