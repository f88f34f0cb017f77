package routing

import (
	"time"

	"caperdrum.org/api/wire"
)

// Endpoint is one upstream as seen by this entry process. Its counters live as long as
// the member's incarnation. An Endpoint with only Member set can be used outside of a
// table.
type Endpoint struct {
	Member wire.Member

	index  uint16 // identifies the endpoint in the prefix index
	group  *group // state shared by the service's endpoints; nil outside of a table
	load   load
	speed  speed
	health health
	offer  offer
	cache  cacheAccuracy
}

// Outcome is the result of an attempt as far as routing is concerned.
type Outcome uint8

const (
	// Answered means a complete answer.
	Answered Outcome = iota
	// Failed means a failure that counts against the endpoint.
	Failed
	// Refused means not run for a reason that is not a fault, such as a full queue.
	Refused
	// Abandoned means cancelled by this entry; the elapsed time is a lower bound of the latency.
	Abandoned
)

// Attempt is an attempt in progress at an endpoint.
type Attempt struct {
	endpoint *Endpoint
	class    int
	queue    float64 // factor by which the load at the start was expected to lengthen the answer
	started  time.Time
}

// Start counts a new attempt. Size is the request's work in bytes, without the part
// whose result the endpoint has cached.
func (e *Endpoint) Start(size int) Attempt {
	now := time.Now()
	a := Attempt{endpoint: e, class: sizeClass(size), queue: e.load.queueFactor(now), started: now}
	e.load.begin()
	e.speed.begin(now, e.expected(a.class))
	e.health.begin(now)
	return a
}

// Resize corrects the size once it is known how much the endpoint had cached.
func (a *Attempt) Resize(size int) { a.class = sizeClass(size) }

// End ends the attempt and updates the endpoint's statistics.
func (a Attempt) End(o Outcome) {
	e := a.endpoint
	now := time.Now()
	took := now.Sub(a.started)
	e.load.end()
	e.speed.end()
	if o != Abandoned {
		e.speed.progress(now)
	}
	switch o {
	case Answered:
		e.learn(a, took, now)
		e.health.succeeded()
	case Failed:
		e.failed(now)
	case Abandoned:
		if took.Seconds() > a.queue*e.expected(a.class) {
			e.learn(a, took, now)
		}
		e.health.release()
	case Refused:
		e.health.release()
	}
}

// learn records the latency of an answer, and ejects the endpoint if it has become far
// slower than the others of its service.
func (e *Endpoint) learn(a Attempt, took time.Duration, now time.Time) {
	sample := took.Seconds() / a.queue
	if e.group == nil {
		return
	}
	e.speed.learn(now, sample/e.expected(a.class))
	e.group.learn(a.class, sample)
	e.ejectIfSlow(now)
}

func (e *Endpoint) expected(class int) float64 {
	if e.group == nil {
		return defaultLatency
	}
	return e.group.expected(class)
}

// InFlight returns the number of this entry's attempts in progress at the endpoint.
func (e *Endpoint) InFlight() int64 { return e.load.inFlight.Load() }

// Latency returns the expected latency of an average attempt without queueing, in
// seconds.
func (e *Endpoint) Latency() float64 { return e.expected(0) * e.speed.ratio(time.Now()) }

// Limit returns how many attempts the gate runs concurrently.
func (e *Endpoint) Limit() int64 { return e.load.capacity() }

// Begin counts a new attempt of unknown size; Endpoint.End ends it.
func (e *Endpoint) Begin() {
	now := time.Now()
	e.load.begin()
	e.speed.begin(now, e.expected(0))
	e.health.begin(now)
}

// End ends an attempt of unknown size. Took is zero when it did not run.
func (e *Endpoint) End(ok bool, took time.Duration) {
	now := time.Now()
	e.load.end()
	e.speed.end()
	e.speed.progress(now)
	if !ok {
		e.failed(now)
		return
	}
	e.health.succeeded()
}

// Report records the load that a gate sent with an answer.
func (e *Endpoint) Report(queued, running, limit int64) {
	e.load.report(queued, running, limit, time.Now())
}
