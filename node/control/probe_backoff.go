package control

import (
	"slices"
	"time"
)

const (
	// backoffWindow is how long a probe timeout lengthens the following ones.
	backoffWindow = 10 * time.Second
	// maxBackoffDoublings limits the timeout to baseProbeTimeout << maxBackoffDoublings.
	maxBackoffDoublings = 3
)

// probeBackoff doubles the probe timeout after each recent one (exponential back-off). An overloaded owner
// does not answer in time either, and its load moves to its successor: with a constant timeout, owners would
// be replaced one after the other, each losing its work in progress. A process that is known to have ended,
// because its port refuses connections, is still replaced immediately.
type probeBackoff struct{ timeouts []time.Time }

// add records a probe timeout.
func (b *probeBackoff) add(now time.Time) { b.timeouts = append(b.timeouts, now) }

// timeout returns the probe timeout to use now.
func (b *probeBackoff) timeout(now time.Time) time.Duration {
	b.timeouts = slices.DeleteFunc(b.timeouts, func(at time.Time) bool { return now.Sub(at) > backoffWindow })
	return baseProbeTimeout << min(len(b.timeouts), maxBackoffDoublings)
}
