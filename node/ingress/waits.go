package ingress

import (
	"slices"
	"time"
)

const (
	// waitMemory is how long a wait counts.
	waitMemory = 700 * time.Millisecond
	// minWaits is the number of waits below which nothing is concluded from them.
	minWaits = 3
	// maxWaits bounds the waits that are kept; the oldest ones yield.
	maxWaits = 64
)

// waits are recent waits for something, oldest first.
type waits []wait

type wait struct {
	at   time.Time // when it ended
	took time.Duration
}

func (w *waits) add(now time.Time, took time.Duration) {
	w.prune(now)
	if len(*w) == maxWaits {
		*w = (*w)[1:]
	}
	*w = append(*w, wait{now, took})
}

func (w *waits) prune(now time.Time) {
	for len(*w) > 0 && now.Sub((*w)[0].at) > waitMemory {
		*w = (*w)[1:]
	}
}

// median returns the median of the waits and of further ones. It is not known if there are too few. Those that began before
// since do not count.
func (w *waits) median(now, since time.Time, further ...time.Duration) (m time.Duration, known bool) {
	w.prune(now)
	recent := further
	for _, x := range *w {
		if !x.at.Add(-x.took).Before(since) {
			recent = append(recent, x.took)
		}
	}
	if len(recent) < minWaits {
		return 0, false
	}
	slices.Sort(recent)
	return recent[len(recent)/2], true
}
