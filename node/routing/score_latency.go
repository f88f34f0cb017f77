package routing

// finishScorer is the expected time until the answer: the time of an answer to
// a request of this size at this endpoint's speed, stretched by the queue.
type latencyScorer struct{}

// crowding is how much slower an endpoint is expected to be when all its
// places are taken than when none is: batches slow each other down.
const batchSlowdown = 0.3

func (latencyScorer) score(e *Endpoint, r *choice) float64 {
	limit := float64(e.load.capacity())
	ahead := e.load.expectedAttempts(r.now)
	wait := max(ahead+1-limit, 0) / limit
	return r.expected * e.speed.ratioAt(r.now) * (1 + wait + batchSlowdown*ahead/limit)
}
