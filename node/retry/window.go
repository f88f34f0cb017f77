package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Window bounds extra attempts in every span of time of its length to a share
// of the first attempts in it and a fixed number. Unlike a Budget it saves
// nothing up, so several processes that each keep to their part keep the whole.
type Window struct {
	clock clockwork.Clock
	ratio float64
	step  time.Duration
	start time.Time // steps are counted from it, on the steady clock

	mu    sync.Mutex
	slots [windowSlots]slot
}

type slot struct {
	number int64 // which step of time it counts
	first  int
	extra  int
}

// windowSlots is the resolution: a window counts between windowSlots-1 and
// windowSlots steps of time.
const windowSlots = 11

// NewWindow returns a window of the given length.
func NewWindow(length time.Duration, ratio float64, clock clockwork.Clock) *Window {
	return &Window{clock: clock, ratio: ratio, step: length / (windowSlots - 1), start: clock.Now()}
}

// First notes a first attempt.
func (w *Window) First() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now().first++
}

// Take reports whether an extra attempt may be made, and counts it. fixed is
// the number that is allowed beside the share of the first attempts.
func (w *Window) Take(fixed int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	first, extra := w.counts()
	if float64(extra+1) > w.ratio*float64(first)+float64(fixed) {
		return false
	}
	w.now().extra++
	return true
}

// Counts returns the first and the extra attempts that the window holds now.
func (w *Window) Counts() (first, extra int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts()
}

func (w *Window) counts() (first, extra int) {
	s := w.now()
	for _, other := range w.slots {
		if s.number-other.number < windowSlots {
			first += other.first
			extra += other.extra
		}
	}
	return first, extra
}

// now returns the slot of the current step of time.
func (w *Window) now() *slot {
	number := windowSlots + int64(w.clock.Since(w.start)/w.step) // slots of number zero are unused
	s := &w.slots[number%windowSlots]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}
