package routing

// prefixScorer is the time saved where a prefix of the prompt is cached: what
// a request of the uncached size takes less, or a prior as long as one of the
// two sizes was not measured.
type prefixScorer struct{}

const (
	priorPrefixGain = 0.5 // of the whole time, when the whole prompt is cached
	minPrefixGain   = 0.2 // the same where a measurement shows less: entries that spread a prompt evict each other's
	maxPrefixGain   = 0.9
	homeAccuracy    = 0.97 // of a home, before a known holder's own trust
)

func (prefixScorer) score(e *Endpoint, r *choice) float64 {
	if r.holderMask&(1<<(e.index%64)) == 0 {
		return 0
	}
	for i := range r.holders {
		if h := &r.holders[i]; h.endpoint == e.index {
			return -prefixGain(e, r, h)
		}
	}
	return 0
}

func prefixGain(e *Endpoint, r *choice, h *holder) float64 {
	cached := float64(h.blocks * prefixBlockBytes)
	if h.isHome {
		cached *= homeAccuracy
	} else {
		cached *= e.cache.value()
	}
	size := float64(max(r.Size, 1))
	share := min(cached/size, 1)
	gain := priorPrefixGain * share * r.expected
	whole, known := e.group.measured(sizeClass(r.Size))
	rest, restKnown := e.group.measured(sizeClass(int(size * (1 - share))))
	if known && restKnown {
		gain = max(whole-rest, minPrefixGain*share*r.expected)
	}
	return min(gain, maxPrefixGain*r.expected)
}
