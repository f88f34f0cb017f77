package routing

import (
	"sync/atomic"
	"time"
)

// load estimates the attempts at a gate. What this entry sent is known; what
// other entries sent is the last report less this entry's part, and fades as
// the report ages.
type load struct {
	inFlight      atomic.Int64
	otherAttempts atomic.Int64
	limit         atomic.Int64
	reportedAt    atomic.Int64 // Unix nanoseconds
}

const (
	defaultGateLimit = 8
	reportTTL        = 4 * time.Second // a report this old says nothing any more
)

func (l *load) begin() { l.inFlight.Add(1) }
func (l *load) end()   { l.inFlight.Add(-1) }

func (l *load) report(queued, running, limit int64, now time.Time) {
	l.otherAttempts.Store(max(queued+running-l.inFlight.Load(), 0))
	l.limit.Store(limit)
	l.reportedAt.Store(now.UnixNano())
}

func (l *load) capacity() int64 {
	if n := l.limit.Load(); n > 0 {
		return n
	}
	return defaultGateLimit
}

// ahead returns the attempts expected at the gate now.
func (l *load) expectedAttempts(now int64) float64 {
	own := float64(l.inFlight.Load())
	others := l.otherAttempts.Load()
	if others == 0 {
		return own
	}
	age := now - l.reportedAt.Load()
	if age >= int64(reportTTL) {
		return own
	}
	return own + float64(others)*(1-float64(age)/float64(reportTTL))
}

// queueFactor is how many times longer than without load one more attempt is
// expected to take, when it has to wait for a place.
func (l *load) queueFactor(now time.Time) float64 {
	limit := float64(l.capacity())
	return 1 + max(l.expectedAttempts(now.UnixNano())+1-limit, 0)/limit
}
