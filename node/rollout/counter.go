package rollout

import (
	"math"
	"sync"
	"time"

	"caperdrum.org/api/wire"
)

// Outcome is what became of a call at an upstream.
type Outcome int

// Outcomes.
const (
	Answered Outcome = iota
	Failed           // it answered that it failed, broke off, or did not answer in the time that it had
)

// bucketRatio is the ratio of the durations at the two ends of a bucket.
const bucketRatio = 1.25

// bucketOf returns the bucket of a duration. Bucket 0 begins at a millisecond.
func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return int(math.Log(ms) / math.Log(bucketRatio))
}

// Counter counts the answers that a process has got since each running roll-out started.
type Counter struct {
	mu   sync.Mutex
	by   map[string]*serviceCounts
	news bool // since the last report
}

type serviceCounts struct {
	order uint64
	by    map[countKey]*wire.VersionCounts
}

type countKey struct{ version, route string }

// NewCounter returns a Counter that counts nothing until it follows a running roll-out.
func NewCounter() *Counter { return &Counter{by: map[string]*serviceCounts{}} }

// Follow takes over the roll-outs of a view: counts begin with the order and end with the roll-out.
func (c *Counter) Follow(r wire.Rollouts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range r.List {
		switch known := c.by[x.Service]; {
		case !x.Running():
			delete(c.by, x.Service)
		case known == nil || known.order != x.Order:
			c.by[x.Service] = &serviceCounts{order: x.Order, by: map[countKey]*wire.VersionCounts{}}
		}
	}
}

// Add counts an outcome. route tells calls apart that take differently long.
func (c *Counter) Add(m wire.Member, route string, how Outcome, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.by[m.Service]
	if s == nil {
		return
	}
	key := countKey{m.Version, route}
	n := s.by[key]
	if n == nil {
		n = &wire.VersionCounts{Version: m.Version, Route: route, LatencyCounts: map[int]uint64{}}
		s.by[key] = n
	}
	c.news = true
	switch {
	case how == Failed:
		n.Failed++
	case m.Cold:
		n.LatencyCounts[coldBucket]++
	default:
		n.LatencyCounts[bucketOf(took)]++
	}
}

// coldBucket counts answers of upstreams that are cold: how long they took says nothing.
const coldBucket = -1

// Report returns what was counted, or nil when nothing was since the last report.
func (c *Counter) Report() []wire.RolloutCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.news {
		return nil
	}
	c.news = false
	var out []wire.RolloutCounts
	for service, s := range c.by {
		counts := wire.RolloutCounts{Service: service, Order: s.order}
		for _, n := range s.by {
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

// Again makes the next report say everything once more: the last one was not acknowledged.
func (c *Counter) Again() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.news = len(c.by) > 0
}
