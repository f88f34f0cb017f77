package routing

import (
	"sync/atomic"
	"time"
)

// load estimates the number of attempts at a gate. This entry's own attempts are known
// exactly. Those of other entries are the last reported total minus this entry's own,
// weighted down as the report ages.
type load struct {
	inFlight      atomic.Int64
	otherAttempts atomic.Int64
	limit         atomic.Int64
	reportedAt    atomic.Int64 // Unix nanoseconds
}

const (
	defaultGateLimit = 8
	reportTTL        = 4 * time.Second // age at which a report no longer counts
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

// expectedAttempts returns the estimated number of attempts at the gate now.
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

// queueFactor returns by which factor queueing is expected to lengthen one more attempt;
// 1 means that it need not wait.
func (l *load) queueFactor(now time.Time) float64 {
	limit := float64(l.capacity())
	return 1 + max(l.expectedAttempts(now.UnixNano())+1-limit, 0)/limit
}
