package stagework

import (
	"math"
	"time"
)

// rateWindow is the time constant of the decay. It spans several calls of an upstream, which take up to half a second
// each, and is shorter than the time that callers have, so that they are judged by the present load.
const rateWindow = 2 * time.Second

// rate is an exponentially decaying count of events. Its zero value is ready to use.
type rate struct {
	events float64
	at     time.Time
}

// count adds an event.
func (r *rate) count(now time.Time) {
	r.decay(now)
	r.events++
}

// lately is the decayed number of events.
func (r *rate) lately(now time.Time) float64 {
	r.decay(now)
	return r.events
}

func (r *rate) decay(now time.Time) {
	r.events *= math.Exp(-now.Sub(r.at).Seconds() / rateWindow.Seconds())
	r.at = now
}

// leftoverWindow is the time constant of what services had left over: about as long as late callers wait.
const leftoverWindow = 4 * time.Second

// leftover is a rate of events over leftoverWindow. Its zero value is ready to use.
type leftover struct {
	events float64
	at     time.Time
}

func (l *leftover) decay(now time.Time) {
	l.events *= math.Exp(-now.Sub(l.at).Seconds() / leftoverWindow.Seconds())
	l.at = now
}

// count adds events.
func (l *leftover) count(now time.Time, n float64) {
	l.decay(now)
	l.events += n
}

// perSecond is the rate of the events.
func (l *leftover) perSecond(now time.Time) float64 {
	l.decay(now)
	return l.events / leftoverWindow.Seconds()
}

// idleMeter measures how busy the upstreams of a service were over leftoverWindow. Its zero value is ready to use.
type idleMeter struct {
	busy float64 // the mean share of upstreams that were busy
	last float64 // the share since at
	at   time.Time
}

// set records the share of upstreams that are busy from now on.
func (m *idleMeter) set(now time.Time, busy float64) {
	m.advance(now)
	m.last = busy
}

func (m *idleMeter) advance(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		keep := math.Exp(-d.Seconds() / leftoverWindow.Seconds())
		m.busy = keep*m.busy + (1-keep)*m.last
		m.at = now
	}
}

// idleShare is the share of the service's upstreams that were idle lately.
func (q *serviceQueue) idleShare(now time.Time) float64 {
	q.idle.advance(now)
	return max(0, 1-q.idle.busy)
}

// updateIdle records how many upstreams are busy from now on. While work waits nothing is left over.
func (q *serviceQueue) updateIdle(now time.Time, workWaits bool) {
	healthy, busy := 0, 0
	for _, w := range q.list {
		if w.healthy() {
			healthy++
			if w.runningCalls > 0 || workWaits {
				busy++
			}
		}
	}
	q.idle.set(now, float64(busy)/float64(max(1, healthy)))
}
