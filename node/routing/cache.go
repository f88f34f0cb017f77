package routing

import (
	"math"
	"sync/atomic"
	"time"
)

// trust is how far the prefix index is right about one endpoint: the moving
// average of cached tokens found over cached tokens expected. It corrects for
// evictions and lost cache events that the index cannot see.
type cacheAccuracy struct {
	inaccuracy atomic.Uint64 // float64 bits of one minus the trust
}

const accuracyWeight = 0.1

func (t *cacheAccuracy) value() float64 { return 1 - math.Float64frombits(t.inaccuracy.Load()) }

func (t *cacheAccuracy) learn(found, expected float64) {
	if expected <= 0 {
		return
	}
	v := t.value()
	v += accuracyWeight * (min(found/expected, 1) - v)
	t.inaccuracy.Store(math.Float64bits(1 - v))
}

// Cached returns how many bytes of the prompt the endpoint is expected to have
// cached.
func (e *Endpoint) Cached(prefix []uint64) int {
	if e.group == nil || e.group.prefixes == nil || len(prefix) == 0 {
		return 0
	}
	var room [maxHolders]holder
	for _, h := range e.group.prefixes.holders(prefix, secondOf(time.Now().UnixNano()), room[:0]) {
		if h.endpoint == e.index {
			return int(float64(h.blocks*prefixBlockBytes) * e.cache.value())
		}
	}
	return 0
}

// Sent notes that a prompt was sent to the endpoint, which will have it cached.
func (e *Endpoint) Sent(prefix []uint64) {
	if e.group == nil || e.group.prefixes == nil {
		return
	}
	e.group.prefixes.add(prefix, e.index, secondOf(time.Now().UnixNano()))
}

// Found corrects the index by what an answer's usage said: the share of the
// prompt that was cached, where expected had been foretold.
func (e *Endpoint) Found(share, expected float64) { e.cache.learn(share, expected) }

func secondOf(now int64) uint16 { return uint16(now / int64(time.Second)) }
