package quarantine

import (
	"hash/maphash"
	"sync"
)

// answersKept bounds how many answered calls a process remembers.
const answersKept = 4096

// Answers remembers the calls that upstreams have answered lately: one that is sent all the time is on every
// upstream that ends, and yet ends none.
type Answers struct {
	seed maphash.Seed

	mu     sync.Mutex
	known  map[uint64]bool
	oldest int
	order  [answersKept]uint64
}

// NewAnswers returns answers of a process that has just started.
func NewAnswers() *Answers {
	return &Answers{seed: maphash.MakeSeed(), known: map[uint64]bool{}}
}

// Add notes that an upstream has answered the call.
func (a *Answers) Add(c Call) {
	h := a.hash(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known[h] {
		return
	}
	delete(a.known, a.order[a.oldest])
	a.order[a.oldest], a.known[h] = h, true
	a.oldest = (a.oldest + 1) % answersKept
}

// Take reports whether a copy of the call was answered since it was asked last.
func (a *Answers) Take(c Call) bool {
	h := a.hash(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	had := a.known[h]
	delete(a.known, h)
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
