package stagework

import (
	"math"
	"time"
)

const (
	// initialShare is the share of its nominal throughput that a service is assumed to reach until it has been
	// measured: that of calls filled to three quarters.
	initialShare = 0.75
	// priorTime is the busy time for which the assumed share outweighs the measured one: with less, a single
	// call would decide.
	priorTime = 300 * time.Millisecond
	// maxShare bounds the measured share. It exceeds 1 while upstreams that do not count as healthy still
	// complete calls.
	maxShare = 2.0
)

// throughputMeter measures the share of its nominal throughput that a service reaches while it is busy: the
// pieces of successful calls, divided by those that all healthy upstreams would have made in full calls.
// It counts only busy time. In other time both sums decay too, and the share returns to initialShare: if a low
// share stayed, admission would keep the service from becoming busy, and so from being measured again.
type throughputMeter struct {
	made    float64   // pieces of successful calls, decayed
	nominal float64   // pieces that the nominal throughput would have made, decayed
	at      time.Time // the sums include the time until then
	busy    bool      // whether the service has been busy since at
}

// advance adds the time since the last call, in which the service had the nominal throughput, in pieces a second.
func (m *throughputMeter) advance(now time.Time, nominal float64) {
	d := now.Sub(m.at)
	if d <= 0 {
		return
	}
	m.at = now
	keep := math.Exp(-d.Seconds() / rateWindow.Seconds())
	m.made *= keep
	m.nominal *= keep
	if m.busy {
		m.nominal += (1 - keep) * rateWindow.Seconds() * nominal
	}
}

// skip leaves out the time since the last call of advance.
func (m *throughputMeter) skip(now time.Time) { m.at, m.busy = now, false }

// add counts pieces of a successful call that ended now, if the service was busy until then.
func (m *throughputMeter) add(pieces int) {
	if m.busy {
		m.made += float64(pieces)
	}
}

// share is the expected share of the nominal throughput, which is now that many pieces a second.
func (m *throughputMeter) share(nominal float64) float64 {
	prior := priorTime.Seconds() * nominal
	if prior+m.nominal <= 0 {
		return initialShare
	}
	return min(maxShare, (initialShare*prior+m.made)/(prior+m.nominal))
}

// nominalThroughput is the number of pieces a second that the healthy upstreams make in full calls.
func (q *serviceQueue) nominalThroughput() float64 {
	return q.callRate(fullCall(q.spec)) * float64(q.spec.Batch)
}

// advanceMeter adds the time until now to the service's meter.
func (q *serviceQueue) advanceMeter(now time.Time) {
	nominal := 0.0
	if q.meter.busy {
		nominal = q.nominalThroughput()
	}
	q.meter.advance(now, nominal)
}

// updateBusy records whether the service is busy from now on: a whole batch waits although all calls that can
// start have been started. The meter must be advanced to now.
func (q *serviceQueue) updateBusy() { q.meter.busy = len(q.waiting) >= q.spec.Batch }

// measureCall adds the pieces of a call that has ended to the meter of its service. Calls during which the
// owner was stalled are left out, as is that time.
func (s *scheduler) measureCall(now time.Time, c *call, o outcome) {
	q := s.services[c.service]
	if q == nil {
		return
	}
	q.advanceMeter(now)
	if !s.unaffectedByStall(c) || c.hedgeOf != nil { // the pieces of a hedge are counted with the call that it repeats
		return
	}
	made := 0
	for _, r := range o.results {
		if r.Handle != "" {
			made++
		}
	}
	q.meter.add(made)
}

// skipMeters leaves the time until now out of all measurements.
func (s *scheduler) skipMeters(now time.Time) {
	for _, q := range s.services {
		q.meter.skip(now)
	}
}

// resetMeters drops what was measured under an earlier ownership.
func (s *scheduler) resetMeters() {
	for _, q := range s.services {
		q.meter = throughputMeter{}
	}
}
