package ingress

import (
	"fmt"
	"testing"
	"time"
)

// modelProcess is a process whose link or processor does a certain amount of work a second, in order of arrival. A call
// brings half of its work when it arrives and the rest evenly while it lasts, as a stream does.
type modelProcess struct {
	capacity float64 // calls per second
	lasts    time.Duration
	limiter  limiter

	now      time.Time
	backlog  float64 // calls' worth of work that waits
	calls    []modelCall
	readings []time.Duration // delays of the last ticks, as probes learn of them late
	lowered  time.Time
	refused  int
	taken    int
	late     int // of taken, those that waited longer than lateAfter at their arrival
}

// modelCall is a call in progress.
type modelCall struct {
	ends   time.Time // when it brings no more work
	leaves time.Time // when that work is done
}

const (
	tick        = 10 * time.Millisecond
	readingLag  = 30 // ticks
	lateAfter   = 100 * time.Millisecond
	modelSettle = 3 * time.Second
)

func newModel(capacity float64, lasts time.Duration) *modelProcess {
	return &modelProcess{capacity: capacity, lasts: lasts, now: time.Unix(1000, 0)}
}

func (m *modelProcess) delay() time.Duration {
	return time.Duration(m.backlog / m.capacity * float64(time.Second))
}

// run has callers connect at a rate for a time. It returns the longest time without a new connection that was taken.
func (m *modelProcess) run(d time.Duration, perSecond float64, room bool) (longestWithout time.Duration) {
	due, lastTaken := 0.0, m.now
	for range d / tick {
		m.now = m.now.Add(tick)
		for len(m.calls) > 0 && !m.now.Before(m.calls[0].leaves) {
			m.calls = m.calls[1:]
		}
		for _, c := range m.calls {
			if !m.now.After(c.ends) {
				m.backlog += 0.5 * tick.Seconds() / m.lasts.Seconds()
			}
		}
		m.backlog = max(0, m.backlog-m.capacity*tick.Seconds())
		m.readings = append(m.readings, m.delay())
		m.read(room)
		for due += perSecond * tick.Seconds(); due >= 1; due-- {
			if !m.limiter.admits(m.now, len(m.calls)) {
				m.refused++
				continue
			}
			lastTaken = m.now
			m.taken++
			m.backlog += 0.5
			m.calls = append(m.calls, modelCall{ends: m.now.Add(m.lasts), leaves: m.now.Add(m.lasts + m.delay())})
			if m.delay() > lateAfter {
				m.late++
			}
		}
		longestWithout = max(longestWithout, m.now.Sub(lastTaken))
	}
	return longestWithout
}

// read gives the limiter a reading of the delay, which must have been measured since it lowered the limit.
func (m *modelProcess) read(room bool) {
	n := len(m.readings)
	if n%5 != 0 || n < readingLag || m.now.Sub(m.lowered) < readingLag*tick {
		return
	}
	if m.limiter.update(m.now, load{known: true, roundTrip: m.readings[n-readingLag/2], roomElsewhere: room}, len(m.calls)) {
		m.lowered = m.now
	}
}

// TestCallsAreServedUnderMostNewConnections guards against a process that takes more calls than its link or its processor
// can serve, whatever its size and however long calls last: overload of one process in a fleet that has room (load shedding
// by adaptive concurrency). Of those that it takes, nine in ten must not wait longer than a fraction of the goals of short
// calls, and it must use at least half of its capacity.
func TestCallsAreServedUnderMostNewConnections(t *testing.T) {
	for _, lasts := range []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond} {
		for _, capacity := range []float64{60, 250, 1000} {
			for _, factor := range []float64{1.3, 3, 10} {
				t.Run(fmt.Sprintf("%v,%v/s,%vx", lasts, capacity, factor), func(t *testing.T) {
					m := newModel(capacity, lasts)
					m.run(4*time.Second, 0.3*capacity, true)
					if m.refused > 0 {
						t.Errorf("%d connections were refused in calm", m.refused)
					}
					m.run(modelSettle, factor*capacity, true)
					m.taken, m.late = 0, 0
					const measured = 10 * time.Second
					without := m.run(measured, factor*capacity, true)
					if share := float64(m.late) / float64(m.taken); share > 0.1 {
						t.Errorf("%.2f of %d calls waited longer than %v", share, m.taken, lateAfter)
					}
					if used := float64(m.taken) / (capacity * measured.Seconds()); used < 0.5 {
						t.Errorf("%.2f of the capacity was used", used)
					}
					if without > minInterval+tick {
						t.Errorf("no connection was taken for %v", without)
					}
					m.run(30*time.Second, 0.3*capacity, true)
					if m.limiter.limited() {
						t.Error("the limit stays after the overload")
					}
				})
			}
		}
	}
}

// TestNoLimitWithoutRoomElsewhere guards against callers that are turned away by all processes of an overloaded fleet.
func TestNoLimitWithoutRoomElsewhere(t *testing.T) {
	m := newModel(100, 300*time.Millisecond)
	m.run(5*time.Second, 300, false)
	if m.refused > 0 || m.limiter.limited() {
		t.Errorf("%d connections were refused", m.refused)
	}
	m.run(5*time.Second, 300, true)
	if m.refused == 0 {
		t.Error("no connection was refused although there was room elsewhere")
	}
	refused := m.refused
	m.run(10*time.Second, 300, false)
	if m.refused > refused+100 {
		t.Errorf("%d connections were refused after the others had become congested too", m.refused-refused)
	}
}

// TestLimitTakesEffectBeforeItIsLoweredAgain guards against a limit that follows the calls taken before it was set.
func TestLimitTakesEffectBeforeItIsLoweredAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &limiter{}
	slow := load{known: true, roundTrip: 4 * maxDelay, roomElsewhere: true}
	if !l.update(now, slow, 100) || l.limit != 100*minDecrease {
		t.Fatalf("limit %v of 100 calls", l.limit)
	}
	before := l.limit
	if l.update(now, slow, 90) || l.limit != before {
		t.Errorf("limit %v with 90 calls still in progress, want %v", l.limit, before)
	}
	if !l.update(now, slow, int(before)) || l.limit >= before {
		t.Errorf("limit %v with %v calls in progress", l.limit, before)
	}
}
