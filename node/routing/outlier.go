package routing

import (
	"slices"
	"sync/atomic"
	"time"
)

// health ejects an endpoint that fails several times in a row or is far slower than its
// service's median. When the ejection ends, a single request probes it.
type health struct {
	failures     atomic.Int64 // consecutive
	ejections    atomic.Int64 // consecutive
	ejectedUntil atomic.Int64 // Unix nanoseconds; zero when not ejected
	probing      atomic.Bool
}

const (
	failuresToEject   = 3
	baseEjectTime     = 2 * time.Second // doubles with every consecutive ejection
	maxEjectTime      = 30 * time.Second
	slowEjectRatio    = 4 // multiple of the median
	minSlowSamples    = 3
	suspectRatio      = 1.8
	maxEjectedDivisor = 3 // at most one of this many endpoints is ejected; of two, one may be
)

func (h *health) begin(now time.Time) {
	if to := h.ejectedUntil.Load(); to != 0 && now.UnixNano() >= to {
		h.probing.Store(true)
	}
}

func (h *health) release() { h.probing.Store(false) }

func (h *health) succeeded() {
	h.failures.Store(0)
	if h.ejectedUntil.Load() != 0 {
		h.ejectedUntil.Store(0)
		h.ejections.Store(0)
	}
	h.release()
}

// unavailable reports whether the endpoint takes no request: it is ejected, or its one
// probe is in progress.
func (h *health) unavailable(now int64) bool {
	to := h.ejectedUntil.Load()
	if to == 0 {
		return false
	}
	return now < to || h.probing.Load()
}

func (h *health) eject(now time.Time) {
	n := min(h.ejections.Add(1), 5)
	d := min(baseEjectTime<<(n-1), maxEjectTime)
	h.ejectedUntil.Store(now.Add(d).UnixNano())
	h.release()
}

// Ejected reports whether the endpoint is currently ejected or being probed.
func (e *Endpoint) Ejected(now time.Time) bool { return e.health.unavailable(now.UnixNano()) }

// Suspect reports whether the endpoint was recently slow or failing although it is still
// tried; callers should not wait for it long.
func (e *Endpoint) Suspect(now time.Time) bool {
	return e.health.ejectedUntil.Load() != 0 || e.health.failures.Load() > 0 || e.speed.ratio(now) >= suspectRatio
}

func (e *Endpoint) failed(now time.Time) {
	n := e.health.failures.Add(1)
	probe := e.health.ejectedUntil.Load() != 0
	if probe {
		e.health.eject(now)
		return
	}
	if n >= failuresToEject && e.mayEject() {
		e.health.eject(now)
	}
}

// mayEject limits the share of a service's endpoints that are ejected at once.
func (e *Endpoint) mayEject() bool {
	if e.group == nil || !e.group.ejectionEnabled.Load() {
		return false
	}
	all := *e.group.endpoints.Load()
	ejected := 0
	for _, other := range all {
		if other.health.ejectedUntil.Load() != 0 {
			ejected++
		}
	}
	allowed := len(all) / maxEjectedDivisor
	if len(all) == 2 {
		allowed = 1
	}
	return ejected < allowed
}

func (e *Endpoint) ejectIfSlow(now time.Time) {
	r := e.speed.ratio(now)
	if r < slowEjectRatio || e.speed.samples.Load() < minSlowSamples || e.health.ejectedUntil.Load() != 0 || !e.mayEject() {
		return
	}
	if r >= slowEjectRatio*e.group.medianRatio(now) {
		e.health.eject(now)
	}
}

func (g *group) medianRatio(now time.Time) float64 {
	all := *g.endpoints.Load()
	ratios := make([]float64, len(all))
	for i, e := range all {
		ratios[i] = e.speed.ratio(now)
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}
