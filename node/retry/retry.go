// Package retry bounds the extra load that retries and hedges may cause, with
// a token bucket that fills with every first attempt.
package retry

import "sync"

// Budget allows extra attempts up to a share of the first attempts.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	cap    float64
	share  float64
}

const (
	budgetReserve = 10  // extra attempts allowed before any first attempt was seen
	budgetWindow  = 100 // upper bound of what is saved up, in extra attempts
)

// NewBudget returns a budget of percent extra attempts per hundred first ones.
func NewBudget(percent int) *Budget {
	b := &Budget{share: float64(percent) / 100, cap: budgetWindow}
	if percent > 0 {
		b.tokens = budgetReserve
	}
	return b
}

// First notes a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.cap)
}

// Take reports whether an extra attempt may be made, and counts it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
