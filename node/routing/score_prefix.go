package routing

// prefixScorer is the time saved where a prefix of the prompt is cached: what
// a request of the uncached size takes less, and a small prior that holds
// until such sizes were measured.
type prefixScorer struct{}

const (
	prefixPrior   = 0.2 // of the whole time, when the whole prompt is cached
	maxPrefixGain = 0.9
)

func (prefixScorer) score(e *Endpoint, r *choice) float64 {
	for i := range r.holders {
		h := &r.holders[i]
		if h.endpoint != e.index {
			continue
		}
		cached := float64(h.blocks*prefixBlock) * e.cache.value()
		rest := max(float64(r.Size)-cached, 0)
		gain := r.expected - e.expected(sizeClass(int(rest)))
		gain += prefixPrior * r.expected * cached / float64(max(r.Size, 1))
		return -min(max(gain, 0), maxPrefixGain*r.expected)
	}
	return 0
}
