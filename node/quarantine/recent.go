package quarantine

import (
	"slices"
	"sync"

	"caperdrum.org/api/wire"
)

const (
	// recentCalls is how many of the last calls with prompts are looked at, and minRecentCalls how many are needed.
	recentCalls    = 64
	minRecentCalls = 16
	// commonShare is the share of them that a common part is in: one in so many.
	commonShare = 4
)

type partKey struct{ service, id string }

// recentParts counts the parts of the last calls.
type recentParts struct {
	mu     sync.Mutex
	calls  [][]partKey // ring
	next   int
	counts map[partKey]int
}

func (r *recentParts) add(c Call) {
	if len(c.Parts) == 0 {
		return
	}
	var keys []partKey
	for _, id := range c.parts() {
		if key := (partKey{c.Service, id}); !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.calls) < recentCalls {
		r.calls = append(r.calls, keys)
	} else {
		for _, key := range r.calls[r.next] {
			if r.counts[key]--; r.counts[key] == 0 {
				delete(r.counts, key)
			}
		}
		r.calls[r.next] = keys
		r.next = (r.next + 1) % recentCalls
	}
	for _, key := range keys {
		r.counts[key]++
	}
}

func (r *recentParts) isCommon(part wire.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.calls) < minRecentCalls {
		return false
	}
	for key, n := range r.counts {
		if n*commonShare >= len(r.calls) && partFingerprint(key.service, key.id) == part {
			return true
		}
	}
	return false
}
