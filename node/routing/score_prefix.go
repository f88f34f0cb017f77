package routing

// prefixScorer is the time saved by a cached prefix of the prompt: the difference to a
// request of the uncached size, or a prior while either size has no measurement.
type prefixScorer struct{}

const (
	priorPrefixGain = 0.5 // fraction of the whole time saved when the whole prompt is cached
	minPrefixGain   = 0.2 // lower bound of that fraction when measurements show less: entries that spread a prompt evict each other's
	maxPrefixGain   = 0.9
	homeAccuracy    = 0.97 // accuracy assumed for a home endpoint (see ring), in place of a known holder's own
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
