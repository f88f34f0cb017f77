package quarantine

import (
	"hash/maphash"
	"sync"
)

// answersKept bounds how many answered calls a process remembers.
const maxAnsweredCalls = 4096

// Answers remembers the calls that upstreams have answered lately: one that is sent all the time is on every
// upstream that ends, and yet ends none.
type Answers struct {
	seed maphash.Seed

	mu     sync.Mutex
	hashes map[uint64]bool
	oldest int
	ring   [maxAnsweredCalls]uint64
}

// NewAnswers returns answers of a process that has just started.
func NewAnswers() *Answers {
	return &Answers{seed: maphash.MakeSeed(), hashes: map[uint64]bool{}}
}

// Add notes that an upstream has answered the call.
func (a *Answers) Add(c Call) {
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

// Take reports whether a copy of the call was answered since it was asked last.
func (a *Answers) Take(c Call) bool {
	h := a.hash(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	had := a.hashes[h]
	delete(a.hashes, h)
	return had
}

// hash is another one in each process, so that nobody can find a call which passes for an
// answered one, and a cheaper one than a fingerprint.
func (a *Answers) hash(c Call) uint64 {
	var h maphash.Hash
	h.SetSeed(a.seed)
	for _, field := range []string{c.Customer, c.Method, c.Host, c.Target} {
		writeField(&h, field)
	}
	h.Write(c.Body)
	return h.Sum64()
}
