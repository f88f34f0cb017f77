package quarantine

import (
	"hash/maphash"
	"sync"
)

// maxAnsweredCalls is how many answered calls a process remembers.
const maxAnsweredCalls = 4096

// AnsweredCalls remembers the calls that upstreams have answered lately. A call that is sent very often is in
// flight at almost every upstream that crashes, without causing any of the crashes.
type AnsweredCalls struct {
	seed maphash.Seed

	mu     sync.Mutex
	hashes map[uint64]bool
	oldest int
	ring   [maxAnsweredCalls]uint64
}

// NewAnsweredCalls returns an empty set.
func NewAnsweredCalls() *AnsweredCalls {
	return &AnsweredCalls{seed: maphash.MakeSeed(), hashes: map[uint64]bool{}}
}

// Add records that an upstream has answered the call. The oldest call is evicted when the set is full.
func (a *AnsweredCalls) Add(c Call) {
	h := a.hash(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hashes[h] {
		return
	}
	delete(a.hashes, a.ring[a.oldest])
	a.ring[a.oldest], a.hashes[h] = h, true
	a.oldest = (a.oldest + 1) % maxAnsweredCalls
}

// Take reports whether the call, or a copy of it, is in the set, and removes it.
func (a *AnsweredCalls) Take(c Call) bool {
	h := a.hash(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	had := a.hashes[h]
	delete(a.hashes, h)
	return had
}

// hash uses a random seed per process, so that no caller can craft a call that collides with an answered one. It
// is cheaper than a fingerprint.
func (a *AnsweredCalls) hash(c Call) uint64 {
	var h maphash.Hash
	h.SetSeed(a.seed)
	for _, field := range []string{c.Customer, c.Method, c.Host, c.Target} {
		writeField(&h, field)
	}
	h.Write(c.Body)
	return h.Sum64()
}
