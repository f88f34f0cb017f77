package rollout

import (
	"math"
	"sync"
	"time"

	"caperdrum.org/api/wire"
)

// Outcome is the result of a call to an upstream.
type Outcome int

// Values of Outcome.
const (
	Answered Outcome = iota
	Failed           // an error answer, a broken connection, or no answer within the call's deadline
)

// bucketRatio is the ratio of the upper to the lower bound of a histogram bucket.
const bucketRatio = 1.25

// bucketOf returns the histogram bucket of a duration. Bucket 0 starts at 1 ms.
func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return int(math.Log(ms) / math.Log(bucketRatio))
}

// Counter counts the answers that this process has received since the start of each running rollout. It is
// safe for concurrent use.
type Counter struct {
	mu       sync.Mutex
	services map[string]*serviceCounts
	changed  bool // since the last report
}

type serviceCounts struct {
	order    uint64
	versions map[countKey]*wire.VersionCounts
}

type countKey struct{ version, route string }

// NewCounter returns a Counter. It counts nothing until Update adds a running rollout.
func NewCounter() *Counter { return &Counter{services: map[string]*serviceCounts{}} }

// Update takes the rollouts of a view. Counts start at zero with each order and are dropped when the
// rollout ends.
func (c *Counter) Update(r wire.Rollouts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range r.List {
		switch known := c.services[x.Service]; {
		case !x.Running():
			delete(c.services, x.Service)
		case known == nil || known.order != x.Order:
			c.services[x.Service] = &serviceCounts{order: x.Order, versions: map[countKey]*wire.VersionCounts{}}
		}
	}
}

// Add counts an outcome. Durations are compared only within a route.
func (c *Counter) Add(m wire.Member, route string, outcome Outcome, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[m.Service]
	if s == nil {
		return
	}
	key := countKey{m.Version, route}
	n := s.versions[key]
	if n == nil {
		n = &wire.VersionCounts{Version: m.Version, Route: route, LatencyCounts: map[int]uint64{}}
		s.versions[key] = n
	}
	c.changed = true
	switch {
	case outcome == Failed:
		n.Failed++
	case m.Cold:
		n.LatencyCounts[coldBucket]++
	default:
		n.LatencyCounts[bucketOf(took)]++
	}
}

// coldBucket counts the answers of cold upstreams, whose durations are not comparable.
const coldBucket = -1

// Report returns the cumulative counts, or nil if they have not changed since the last report.
func (c *Counter) Report() []wire.RolloutCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.changed {
		return nil
	}
	c.changed = false
	var out []wire.RolloutCounts
	for service, s := range c.services {
		counts := wire.RolloutCounts{Service: service, Order: s.order}
		for _, n := range s.versions {
			copied := *n
			copied.LatencyCounts = make(map[int]uint64, len(n.LatencyCounts))
			for bucket, count := range n.LatencyCounts {
				copied.LatencyCounts[bucket] = count
			}
			counts.Counts = append(counts.Counts, copied)
		}
		out = append(out, counts)
	}
	return out
}

// RetryReport makes the next Report return all counts again, since the last one was not acknowledged.
func (c *Counter) RetryReport() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed = len(c.services) > 0
}
