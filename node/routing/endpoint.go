package routing

import (
	"time"

	"caperdrum.org/api/wire"
)

// Endpoint is one upstream as this entry sees it. Its counters live as long
// as the agent's incarnation. The zero value with a Member can be used for
// calls outside of a table.
type Endpoint struct {
	Member wire.Member

	index  uint16 // position in the prefix index
	group  *group // what the endpoints of the service share; nil outside of a table
	load   load
	speed  speed
	health health
	offer  offer
	cache  cacheAccuracy
}

// Outcome is how an attempt ended, as far as routing is concerned.
type Outcome uint8

const (
	// Answered is a whole answer.
	Answered Outcome = iota
	// Failed is any failure that speaks against the endpoint.
	Failed
	// Refused did not run for a reason that is no fault, such as a full queue.
	Refused
	// Abandoned was given up by this entry; it took at least as long as it ran.
	Abandoned
)

// Flight is one attempt under way at an endpoint.
type Flight struct {
	endpoint *Endpoint
	class    int
	queue    float64 // factor by which the load at the start was expected to stretch the answer
	started  time.Time
}

// Start counts an attempt in. Size is the request's work in bytes, without
// the part whose result the endpoint has cached.
func (e *Endpoint) Start(size int) Flight {
	now := time.Now()
	f := Flight{endpoint: e, class: sizeClass(size), queue: e.load.queueFactor(now), started: now}
	e.load.begin()
	e.speed.begin(now, e.expected(f.class))
	e.health.begin(now)
	return f
}

// Resize corrects the size by what the endpoint turned out to have cached.
func (f *Flight) Resize(size int) { f.class = sizeClass(size) }

// End counts the attempt out.
func (f Flight) End(o Outcome) {
	e := f.endpoint
	now := time.Now()
	took := now.Sub(f.started)
	e.load.end()
	e.speed.end()
	if o != Abandoned {
		e.speed.progress(now)
	}
	switch o {
	case Answered:
		e.learn(f, took, now)
		e.health.succeeded()
	case Failed:
		e.failed(now)
	case Abandoned:
		if took.Seconds() > f.queue*e.expected(f.class) {
			e.learn(f, took, now)
		}
		e.health.release()
	case Refused:
		e.health.release()
	}
}

// learn takes in the time of an answer, and ejects the endpoint when it has
// become far slower than the others of its service.
func (e *Endpoint) learn(f Flight, took time.Duration, now time.Time) {
	sample := took.Seconds() / f.queue
	if e.group == nil {
		return
	}
	e.speed.learn(now, sample/e.expected(f.class))
	e.group.learn(f.class, sample)
	e.ejectIfSlow(now)
}

func (e *Endpoint) expected(class int) float64 {
	if e.group == nil {
		return defaultLatency
	}
	return e.group.expected(class)
}

// InFlight returns the attempts that this entry has under way there.
func (e *Endpoint) InFlight() int64 { return e.load.inFlight.Load() }

// Latency returns the expected time of an average attempt without a queue, in
// seconds.
func (e *Endpoint) Latency() float64 { return e.expected(0) * e.speed.ratio(time.Now()) }

// Limit returns the attempts that the gate runs at a time.
func (e *Endpoint) Limit() int64 { return e.load.capacity() }

// Begin counts in an attempt of unknown size; End counts it out.
func (e *Endpoint) Begin() {
	now := time.Now()
	e.load.begin()
	e.speed.begin(now, e.expected(0))
	e.health.begin(now)
}

// End counts an attempt of unknown size out. Took is zero when it did not run.
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

// Report takes in the load that a gate sent with an answer.
func (e *Endpoint) Report(queued, running, limit int64) {
	e.load.report(queued, running, limit, time.Now())
}
