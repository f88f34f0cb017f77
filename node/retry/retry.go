// Package retry bounds the extra load that retries and hedges may cause: a Budget in one
// process, with a token bucket that fills with every first attempt; a Quota over all processes, each
// of which keeps to a part that is safe whatever the others do.
package retry

import (
	"sync"
	"time"
)

// Budget allows extra attempts up to a share of the first attempts. So that a
// service with few requests can retry too, a reserve is there from the start
// and refills with time, whatever the number of requests.
type Budget struct {
	mu       sync.Mutex
	percent  int64
	reserve  int64 // hundredths
	tokens   int64 // hundredths of an extra attempt
	refilled time.Time
}

const (
	attempt       = 100             // hundredths
	budgetReserve = 10 * attempt    // allowed at any time when nothing was taken lately
	budgetCap     = 100 * attempt   // saved up at most
	refillEvery   = 5 * time.Second // for one attempt of the reserve
)

// NewBudget returns a budget of percent extra attempts per hundred first ones.
// With percent zero it allows none.
func NewBudget(percent int) *Budget { return newBudget(percent, budgetReserve) }

// NewHedgeBudget returns a budget without a reserve: nothing has failed yet
// when a hedge is sent, so a service with few requests can do without.
func NewHedgeBudget(percent int) *Budget { return newBudget(percent, 0) }

func newBudget(percent int, reserve int64) *Budget {
	b := &Budget{percent: int64(percent), reserve: reserve, refilled: time.Now()}
	if percent > 0 {
		b.tokens = reserve
	}
	return b
}

// First notes a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.percent, budgetCap)
}

// Take reports whether an extra attempt may be made, and counts it.
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
