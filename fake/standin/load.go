package standin

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Load is an engine's report of its load.
type Load struct {
	Queued     int           `json:"queued"`
	Running    int           `json:"running"`
	KVUsed     int           `json:"kv_used"`     // blocks
	KVCapacity int           `json:"kv_capacity"` // blocks
	Age        time.Duration `json:"age"`         // nanoseconds
}

type loadSample struct {
	at   time.Time
	load Load
}

// loadHistory reports the load with a delay.
type loadHistory struct {
	lag   time.Duration
	clock clockwork.Clock

	mu      sync.Mutex
	samples []loadSample // oldest first; the first is the one to report
}

func newLoadHistory(lag time.Duration, clock clockwork.Clock) *loadHistory {
	return &loadHistory{lag: lag, clock: clock}
}

func (h *loadHistory) add(l Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.samples = append(h.samples, loadSample{now, l})
	h.prune(now)
}

func (h *loadHistory) setLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
}

// prune drops all samples older than the newest one that may be reported.
func (h *loadHistory) prune(now time.Time) {
	due := now.Add(-h.lag)
	n := 0
	for n+1 < len(h.samples) && !h.samples[n+1].at.After(due) {
		n++
	}
	h.samples = append(h.samples[:0], h.samples[n:]...)
}

// report returns the newest load that is at least as old as the lag, or an empty one.
func (h *loadHistory) report() Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.prune(now)
	if len(h.samples) == 0 || h.samples[0].at.After(now.Add(-h.lag)) {
		return Load{Age: h.lag}
	}
	l := h.samples[0].load
	l.Age = h.lag
	return l
}
