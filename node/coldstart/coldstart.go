// Package coldstart keeps what all processes together send in any second to an upstream that has
// just started, or come back, below what it bears: well above that it crashes.
//
// No process knows what the others send, and some are out of touch. So the bound is cut into
// parts that add up to it, and each sender keeps to its own. One part is for the process that
// chooses upstreams for all others, one for what that process chose a moment before and is still
// on its way, one for the process that chose before it was replaced, and one for the processes
// that choose by themselves. Of those only as many may call an upstream as its part has calls: some
// of the ones in its data centre, a call a second each. An upstream that bears fewer calls than
// there are parts gets none until it is warm.
package coldstart

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// parts is into how many the bound of an upstream is cut.
const parts = 4

// Limit says how far above its rate a cold upstream may be called.
type Limit struct {
	Excess float64 // times its rate; zero counts as one
	Slack  int     // calls a second besides
}

// part is how many calls a second one part of the bound is.
func (l Limit) share(rate float64) float64 {
	excess := l.Excess
	if excess <= 0 {
		excess = 1
	}
	return (rate*excess + float64(l.Slack)) / parts
}

// Chooser bounds what the process that chooses for all others sends to one upstream. One
// goroutine owns it.
type Chooser struct{ sent []time.Time } // within the last second, the oldest first

// Allows reports whether one more call may go there now. Upstreams without a rate take any.
func (c *Chooser) Allows(now time.Time, l Limit, rate float64) bool {
	return rate <= 0 || c.recent(now) < int(l.share(rate))
}

// Count notes a call.
func (c *Chooser) Count(now time.Time) {
	c.recent(now)
	c.sent = append(c.sent, now)
}

// within returns how many calls there were in the second before now.
func (c *Chooser) recent(now time.Time) int {
	old := 0
	for old < len(c.sent) && now.Sub(c.sent[old]) >= time.Second {
		old++
	}
	c.sent = c.sent[old:]
	return len(c.sent)
}

// Among reports whether self is one of the processes of an upstream's data centre that may call it
// by themselves. Processes that know the same others agree on which these are.
func (l Limit) Among(rate float64, upstream, self string, processes []string) bool {
	own, before := rank(upstream, self), 0
	for _, p := range processes {
		if rank(upstream, p) < own {
			before++
		}
	}
	return before < int(l.share(rate))
}

// place orders the processes differently for each upstream.
func rank(upstream, process string) uint64 { return xxhash.Sum64String(upstream + "/" + process) }

// Direct bounds what a process that chooses by itself sends to each upstream. It is safe for
// concurrent use.
type Direct struct {
	mu          sync.Mutex
	nextAllowed map[string]time.Time // by upstream: when another call may go there
}

// Allows reports whether a call may go to the upstream now.
func (d *Direct) Allows(now time.Time, upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !now.Before(d.nextAllowed[upstream])
}

// Count notes a call.
func (d *Direct) Count(now time.Time, upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.nextAllowed == nil {
		d.nextAllowed = map[string]time.Time{}
	}
	for other, at := range d.nextAllowed { // few are cold at a time
		if !now.Before(at) {
			delete(d.nextAllowed, other)
		}
	}
	d.nextAllowed[upstream] = now.Add(time.Second)
}
