package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Fault is the set of faults injected into a stand-in.
type Fault struct {
	Slow   float64 `json:"slow,omitempty"`   // factor for all delays; 0 and 1 have no effect
	Silent bool    `json:"silent,omitempty"` // accepts requests, including health checks, and never answers
	Refuse bool    `json:"refuse,omitempty"` // refuses connections; only supported by Host
	Error  float64 `json:"error,omitempty"`  // share of requests that are answered with status 500 and not run
	Cut    float64 `json:"cut,omitempty"`    // share of answers that are truncated
}

// faults holds the injected faults.
type faults struct {
	mu     sync.Mutex
	now    Fault
	random *rand.Rand
	ended  chan struct{} // closed when the faults change
}

func newFaults(o Options) *faults {
	return &faults{now: o.Fault, random: rand.New(rand.NewPCG(uint64(o.Seed), faultStream)), ended: make(chan struct{})}
}

func (f *faults) set(next Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = next
	close(f.ended)
	f.ended = make(chan struct{})
}

func (f *faults) current() (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now, f.ended
}

func (f *faults) scaled(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.Slow <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.now.Slow)
}

// occurs draws whether an event of the given probability occurs.
func (f *faults) occurs(share func(Fault) float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := share(f.now)
	return p > 0 && f.random.Float64() < p
}
