package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Window limits the extra attempts in every span of time of its length to a ratio of the first
// attempts in it plus a fixed number. Unlike a Budget it saves nothing up, so processes that each
// keep to their share together keep the whole limit.
type Window struct {
	clock      clockwork.Clock
	ratio      float64
	stepLength time.Duration
	start      time.Time // origin of the steps, on the monotonic clock

	mu    sync.Mutex
	slots [extraSteps]slot
}

type slot struct {
	step  int64 // number of the step that the slot counts
	first int
	extra int
}

// The window is divided into ten steps. The current step may have just begun or be nearly over.
const (
	stepsOfWindow = 10
	// firstSteps is the number of steps whose first attempts count: no more than the window.
	firstSteps = stepsOfWindow
	// extraSteps is the number of steps whose extra attempts count: the window, the current step and
	// one step for attempts in transit. Upstreams count an attempt when it arrives, which takes up
	// to 0.4 s for the connection plus the retransmissions of a lost packet.
	extraSteps = stepsOfWindow + 2
)

// NewWindow returns a window of the given length.
func NewWindow(length time.Duration, ratio float64, clock clockwork.Clock) *Window {
	return &Window{clock: clock, ratio: ratio, stepLength: length / stepsOfWindow, start: clock.Now()}
}

// First counts a first attempt.
func (w *Window) First() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.currentSlot().first++
}

// Take reports whether an extra attempt is allowed, and counts it if so. Fixed is the number
// allowed in addition to the ratio of the first attempts.
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

// Counts returns the first and extra attempts that currently count.
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

// currentSlot returns the slot of the current step.
func (w *Window) currentSlot() *slot {
	step := extraSteps + int64(w.clock.Since(w.start)/w.stepLength) // offset, as zero marks an unused slot
	s := &w.slots[step%extraSteps]
	if s.step != step {
		*s = slot{step: step}
	}
	return s
}
