package routing

import (
	"math"
	"sync/atomic"
	"time"
)

// cacheAccuracy is how accurate the prefix index is for one endpoint: a moving average
// of found over expected cached tokens. It corrects for evictions and lost cache
// events, which the index does not see.
type cacheAccuracy struct {
	inaccuracy atomic.Uint64 // float64 bits of one minus the accuracy, so that the zero value means accurate
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

// CachedBytes returns the expected number of bytes of the prompt in the endpoint's cache.
func (e *Endpoint) CachedBytes(prefix []uint64) int {
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

// Sent records that a prompt was sent to the endpoint, whose cache then holds it.
func (e *Endpoint) Sent(prefix []uint64) {
	if e.group == nil || e.group.prefixes == nil {
		return
	}
	e.group.prefixes.add(prefix, e.index, secondOf(time.Now().UnixNano()))
}

// LearnCacheShare updates the cache accuracy from an answer's usage: share is the part of
// the prompt that was cached, expected the part that the index predicted.
func (e *Endpoint) LearnCacheShare(share, expected float64) { e.cache.learn(share, expected) }

func secondOf(now int64) uint16 { return uint16(now / int64(time.Second)) }
