// Package coldstart limits the calls that all processes together send per second to an upstream
// that has just started or become available again. A cold upstream crashes well above that limit.
//
// No process knows what the others send, and some may be partitioned. So the limit is divided
// into fixed shares, and each sender keeps to its own. One share is for the process that chooses
// upstreams for all others; one for calls that it chose a moment ago and that are still in
// transit; one for its predecessor, which may not know yet that it was replaced; and one for the
// processes that choose by themselves. Only as many of the latter may call an upstream as their
// share has calls per second: some of those in its data centre, one call a second each. An
// upstream whose limit is lower than the number of shares gets no calls until it is warm.
package coldstart

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// parts is the number of shares into which an upstream's limit is divided.
const parts = 4

// Limit sets how many calls per second a cold upstream may get: its rate times Excess plus Slack.
type Limit struct {
	Excess float64 // factor; zero and less count as one
	Slack  int     // additional calls per second
}

// share returns one share of the limit, in calls per second.
func (l Limit) share(rate float64) float64 {
	excess := l.Excess
	if excess <= 0 {
		excess = 1
	}
	return (rate*excess + float64(l.Slack)) / parts
}

// ChooserLimiter limits what the process that chooses for all others sends to one upstream. It is not
// safe for concurrent use.
type ChooserLimiter struct{ sent []time.Time } // times of the calls within the last second, oldest first

// Allows reports whether one more call may be sent now. Upstreams without a rate are not limited.
func (c *ChooserLimiter) Allows(now time.Time, l Limit, rate float64) bool {
	return rate <= 0 || c.recent(now) < int(l.share(rate))
}

// Count counts a call sent now.
func (c *ChooserLimiter) Count(now time.Time) {
	c.recent(now)
	c.sent = append(c.sent, now)
}

// recent returns the number of calls in the second before now.
func (c *ChooserLimiter) recent(now time.Time) int {
	old := 0
	for old < len(c.sent) && now.Sub(c.sent[old]) >= time.Second {
		old++
	}
	c.sent = c.sent[old:]
	return len(c.sent)
}

// MayCall reports whether self is one of the processes in the upstream's data centre that may call
// it on their own. Processes that see the same peers agree on which ones these are.
func (l Limit) MayCall(rate float64, upstream, self string, processes []string) bool {
	own, before := rank(upstream, self), 0
	for _, p := range processes {
		if rank(upstream, p) < own {
			before++
		}
	}
	return before < int(l.share(rate))
}

// rank orders the processes differently for each upstream.
func rank(upstream, process string) uint64 { return xxhash.Sum64String(upstream + "/" + process) }

// DirectLimiter limits what a process that chooses by itself sends to each upstream. It is safe for
// concurrent use.
type DirectLimiter struct {
	mu          sync.Mutex
	nextAllowed map[string]time.Time // by upstream: when the next call may be sent
}

// Allows reports whether a call may be sent to the upstream now.
func (d *DirectLimiter) Allows(now time.Time, upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !now.Before(d.nextAllowed[upstream])
}

// Count counts a call sent to the upstream now.
func (d *DirectLimiter) Count(now time.Time, upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.nextAllowed == nil {
		d.nextAllowed = map[string]time.Time{}
	}
	for other, at := range d.nextAllowed { // few upstreams are cold at a time
		if !now.Before(at) {
			delete(d.nextAllowed, other)
		}
	}
	d.nextAllowed[upstream] = now.Add(time.Second)
}
