package control

import (
	"slices"
	"time"
)

const (
	// suspicionMemory is for how long a silence that was taken for a loss makes the next one wait longer.
	backoffWindow = 10 * time.Second
	// mostDoublings bounds that.
	maxBackoffDoublings = 3
)

// suspicions are the silences that were lately taken for losses. An owner that has more work than it can do does
// not answer either, and its work goes to the next: replaced as soon, each would be replaced in turn, and what it
// had under way be lost. So patience doubles with each (exponential back-off); a process of which the system knows that
// it is gone, since nobody listens there, is replaced at once all the same.
type probeBackoff struct{ timeouts []time.Time }

// note notes that a silence was taken for a loss.
func (s *probeBackoff) add(now time.Time) { s.timeouts = append(s.timeouts, now) }

// patience is how long the next silence may last.
func (s *probeBackoff) timeout(now time.Time) time.Duration {
	s.timeouts = slices.DeleteFunc(s.timeouts, func(at time.Time) bool { return now.Sub(at) > backoffWindow })
	return baseProbeTimeout << min(len(s.timeouts), maxBackoffDoublings)
}
