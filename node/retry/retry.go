// Package retry bounds the extra load that retries and hedges may cause. A Budget is local to
// one process: a token bucket filled by first attempts. A Quota is shared by all processes: each
// keeps to a share that is safe whatever the others do.
package retry

import (
	"sync"
	"time"
)

// Budget allows extra attempts up to a percentage of the first attempts. A reserve, full at the
// start and refilled over time, lets a service with few requests retry as well.
type Budget struct {
	mu       sync.Mutex
	percent  int64
	reserve  int64 // hundredths
	tokens   int64 // hundredths of an extra attempt
	refilled time.Time
}

const (
	attempt       = 100             // hundredths
	budgetReserve = 10 * attempt    // available at any time if nothing was taken recently
	budgetCap     = 100 * attempt   // upper bound of what is saved up
	refillEvery   = 5 * time.Second // per attempt of the reserve
)

// NewBudget returns a budget of percent extra attempts per hundred first attempts. With percent
// zero it allows none.
func NewBudget(percent int) *Budget { return newBudget(percent, budgetReserve) }

// NewHedgeBudget returns a budget without a reserve: a hedge is sent before anything has failed,
// so a service with few requests can do without.
func NewHedgeBudget(percent int) *Budget { return newBudget(percent, 0) }

func newBudget(percent int, reserve int64) *Budget {
	b := &Budget{percent: int64(percent), reserve: reserve, refilled: time.Now()}
	if percent > 0 {
		b.tokens = reserve
	}
	return b
}

// First counts a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.percent, budgetCap)
}

// Take reports whether an extra attempt is allowed, and counts it if so.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(time.Now())
	if b.tokens < attempt {
		return false
	}
	b.tokens -= attempt
	return true
}

func (b *Budget) refill(now time.Time) {
	n := int64(now.Sub(b.refilled) / refillEvery)
	if n <= 0 || b.percent <= 0 {
		return
	}
	b.refilled = b.refilled.Add(time.Duration(n) * refillEvery)
	if b.tokens < b.reserve {
		b.tokens = min(b.tokens+min(n, b.reserve/attempt)*attempt, b.reserve)
	}
}
