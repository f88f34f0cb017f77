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
	clock      clockwork.Clock
	ratio      float64
	stepLength time.Duration
	start      time.Time // steps are counted from it, on the steady clock

	mu    sync.Mutex
	slots [extraSteps]slot
}

type slot struct {
	step  int64 // which step of time it counts
	first int
	extra int
}

// Steps of time, a tenth of the window each, of which the current one has just begun or
// is nearly over.
const (
	stepsOfWindow = 10
	// firstSteps are those whose first attempts count: no more than the window.
	firstSteps = stepsOfWindow
	// extraSteps are those whose extra attempts count: the window and one step in which they
	// are on their way. Upstreams count them when they arrive: after the 0.4 s at most
	// that a connection takes, and a lost packet's repeats.
	extraSteps = stepsOfWindow + 2
)

// NewWindow returns a window of the given length.
func NewWindow(length time.Duration, ratio float64, clock clockwork.Clock) *Window {
	return &Window{clock: clock, ratio: ratio, stepLength: length / stepsOfWindow, start: clock.Now()}
}

// First notes a first attempt.
func (w *Window) First() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.currentSlot().first++
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
	w.currentSlot().extra++
	return true
}

// Counts returns the first and the extra attempts that count now.
func (w *Window) Counts() (first, extra int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts()
}

func (w *Window) counts() (first, extra int) {
	s := w.currentSlot()
	for _, other := range w.slots {
		age := s.step - other.step
		if age < firstSteps {
			first += other.first
		}
		if age < extraSteps {
			extra += other.extra
		}
	}
	return first, extra
}

// now returns the slot of the current step of time.
func (w *Window) currentSlot() *slot {
	step := extraSteps + int64(w.clock.Since(w.start)/w.stepLength) // slots of number zero are unused
	s := &w.slots[step%extraSteps]
	if s.step != step {
		*s = slot{step: step}
	}
	return s
}
