package routing

import (
	"sync/atomic"
	"time"
)

// load estimates the attempts at a gate. What this entry sent is known; what
// other entries sent is the last report less this entry's part, and fades as
// the report ages.
type load struct {
	inFlight   atomic.Int64
	others     atomic.Int64
	limit      atomic.Int64
	reportedAt atomic.Int64 // Unix nanoseconds
}

const (
	assumedLimit = 8
	reportFades  = 4 * time.Second // a report this old says nothing any more
)

func (l *load) begin() { l.inFlight.Add(1) }
func (l *load) end()   { l.inFlight.Add(-1) }

func (l *load) report(queued, running, limit int64, now time.Time) {
	l.others.Store(max(queued+running-l.inFlight.Load(), 0))
	l.limit.Store(limit)
	l.reportedAt.Store(now.UnixNano())
}

func (l *load) capacity() int64 {
	if n := l.limit.Load(); n > 0 {
		return n
	}
	return assumedLimit
}

// ahead returns the attempts expected at the gate now.
func (l *load) ahead(now int64) float64 {
	own := float64(l.inFlight.Load())
	others := l.others.Load()
	if others == 0 {
		return own
	}
	age := now - l.reportedAt.Load()
	if age >= int64(reportFades) {
		return own
	}
	return own + float64(others)*(1-float64(age)/float64(reportFades))
}

// queueFactor is how many times longer than without load one more attempt is
// expected to take, when it has to wait for a place.
func (l *load) queueFactor(now time.Time) float64 {
	limit := float64(l.capacity())
	return 1 + max(l.ahead(now.UnixNano())+1-limit, 0)/limit
}
