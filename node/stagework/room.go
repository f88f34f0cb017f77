package stagework

import (
	"time"

	"caperdrum.org/node/upstream"
)

// An upstream's room is its memory for results, configured as result_room. The owner accounts for the
// free room of each upstream by the results of its own calls. It cannot
// account for unreleased results of previous owners, so it requests a report from each upstream when
// it takes the queues, and learns from each piece that was unexpectedly rejected for want of room.
// Without that, a new owner sent 1,600 to 2,600 pieces a day to upstreams without room, and
// admitted jobs for room that did not exist.

// reportInterval is how often an upstream is asked for a report while it holds results of others,
// and how often the owner probes whether there are fewer of them. A report may be 200 ms old, so
// a shorter interval would tell little; results of a lost owner last for seconds.
const reportInterval = 300 * time.Millisecond

// roomUsage is what an upstream holds, as far as the owner knows.
type roomUsage struct {
	ownBytes     int64 // of this owner's results there
	maxOwnBytes  int64 // range of ownBytes since the last report
	minOwnBytes  int64
	foreignBytes int64 // of others' results

	foreignUntil  time.Time // when others' results have expired at the latest
	reportAt      time.Time // when to request the next report; zero: not at all
	reportPending bool
}

// addOwn adds bytes to this owner's results; negative bytes remove them.
func (h *roomUsage) addOwn(bytes int64) {
	h.ownBytes += bytes
	h.maxOwnBytes, h.minOwnBytes = max(h.maxOwnBytes, h.ownBytes), min(h.minOwnBytes, h.ownBytes)
}

// scheduleReport schedules a report for the given time.
func (h *roomUsage) scheduleReport(at time.Time) {
	h.reportAt = at
	h.maxOwnBytes, h.minOwnBytes = h.ownBytes, h.ownBytes
}

// recordNoRoom records that an upstream of that room rejected a result of bytes. The report is
// requested after reportInterval, as one made before the rejection does not show it.
func (h *roomUsage) recordNoRoom(now time.Time, room, bytes int64, ttl time.Duration) {
	h.foreignBytes = max(h.foreignBytes, room-h.ownBytes-bytes+1)
	h.foreignUntil = now.Add(ttl)
	h.scheduleReport(now.Add(reportInterval))
}

// applyReport applies a report that between free and freeMost bytes of the room were free a moment
// ago. As others' results only decrease, probe bytes of them are assumed to be gone, to find out
// by the next call whether they are.
func (h *roomUsage) applyReport(room, free, freeMost, probe int64) {
	h.foreignBytes = min(h.foreignBytes-probe, room-free-h.minOwnBytes)
	h.foreignBytes = max(h.foreignBytes, room-freeMost-h.maxOwnBytes, 0)
	h.maxOwnBytes, h.minOwnBytes = h.ownBytes, h.ownBytes
}

// scheduleReports requests a report from every upstream. Each gets no calls until it has answered,
// for fullBackoff at most.
func (s *scheduler) scheduleReports(now time.Time) {
	for _, q := range s.services {
		if q.spec.ResultRoom <= 0 {
			continue
		}
		for _, w := range q.list {
			w.scheduleReport(now)
			w.roomUsage.foreignUntil = now.Add(q.spec.ResultTTL)
			w.backoffUntil = now.Add(fullBackoff)
		}
	}
}

const (
	// reportCheckInterval is how often the owner checks which reports are due: there are thousands of
	// events a second and hundreds of upstreams.
	reportCheckInterval = 10 * time.Millisecond
	// reportBurst and reportRate limit the requested reports, at once and in a second. A new owner requests
	// reports from all upstreams while all processes connect to it: without a limit it would not answer them
	// meanwhile, and be considered lost.
	reportBurst = 100
	reportRate  = 400.0
)

// reportLimit is a token bucket for requested reports.
type reportLimit struct {
	lastCheck time.Time // when due last returned true
	tokens    float64
}

// due reports whether reportCheckInterval has passed, and if so refills the bucket.
func (a *reportLimit) due(now time.Time) bool {
	passed := now.Sub(a.lastCheck)
	if passed < reportCheckInterval {
		return false
	}
	a.tokens = min(a.tokens+reportRate*min(passed, time.Second).Seconds(), reportBurst)
	a.lastCheck = now
	return true
}

// take takes a token, if there is one.
func (a *reportLimit) take() bool {
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// dueReports returns the upstreams from which to request a report now, and drops others' results
// that have expired.
func (s *scheduler) dueReports(now time.Time) []*worker {
	if !s.owner || !s.reportLimit.due(now) {
		return nil
	}
	var out []*worker
	for _, q := range s.services {
		for _, w := range q.list {
			if w.foreignBytes > 0 && now.After(w.roomUsage.foreignUntil) {
				w.foreignBytes, w.reportAt = 0, time.Time{}
				s.startPending = true
			}
			if _, limited := s.permits.limit(w.member); limited {
				continue // its limit is for work
			}
			if !w.reportAt.IsZero() && !w.reportPending && !now.Before(w.reportAt) && s.reportLimit.take() {
				w.reportPending = true
				out = append(out, w)
			}
		}
	}
	return out
}

// applyReport applies an upstream's report, or nil if the request failed. Reports continue while the
// upstream holds results of others.
func (s *scheduler) applyReport(now time.Time, w *worker, r *upstream.Room) {
	s.startPending = true
	w.reportPending = false
	w.reportAt = now.Add(reportInterval)
	q := s.services[w.member.Service]
	if r == nil || q == nil || !s.sameIncarnation(q, w, r.Incarnation) {
		return
	}
	if w.failures == 0 {
		w.backoffUntil = time.Time{}
	}
	w.roomUsage.applyReport(q.spec.ResultRoom, r.Free, r.FreeMax, q.spec.ResultRoom/roomProbeSteps)
	if w.foreignBytes == 0 {
		w.reportAt = time.Time{}
	}
	if r.Busy && w.runningCalls == 0 && !w.lastCallSucceeded {
		w.backOffBusy(now)
	}
}

// backOffBusy holds calls back from an upstream that still runs a call of the previous owner: a call
// would wait there longer than at an idle one, and the upstream would seem slow. Another report is
// requested for when it may be done.
func (w *worker) backOffBusy(now time.Time) {
	w.backoffUntil = now.Add(fullBackoff)
	w.reportAt = now.Add(fullBackoff)
}

// sameIncarnation reports whether a report is from the upstream's incarnation in the member list. A report
// of a later incarnation replaces the worker at once, as the member list follows a little later.
func (s *scheduler) sameIncarnation(q *serviceQueue, w *worker, started uint64) bool {
	known := w.member.Incarnation
	if started == 0 || started == known || known <= 1 { // at 1 the members do not know it
		return true
	}
	if started > known && !w.gone {
		m := w.member
		m.Incarnation = started
		s.restarted = append(s.restarted, q.replaceWorker(w, m))
		q.workers[m.ID].incarnationReported = true
	}
	return false
}

// roomProbeSteps is the number of reports over which all of an upstream's room is probed again: its
// results last for some 12 times reportInterval.
const roomProbeSteps = 6
