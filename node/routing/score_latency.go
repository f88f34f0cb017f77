package routing

// latencyScorer is the expected time until the answer: the service's average for a
// request of this size, scaled by the endpoint's speed and by queueing.
type latencyScorer struct{}

// batchSlowdown is how much slower a fully loaded endpoint is expected to be than an idle
// one, as a fraction: requests in one batch slow each other down.
const batchSlowdown = 0.3

func (latencyScorer) score(e *Endpoint, r *choice) float64 {
	limit := float64(e.load.capacity())
	ahead := e.load.expectedAttempts(r.now)
	wait := max(ahead+1-limit, 0) / limit
	return r.expected * e.speed.ratioAt(r.now) * (1 + wait + batchSlowdown*ahead/limit)
}
