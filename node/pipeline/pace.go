package pipeline

import (
	"time"

	"caperdrum.org/node/routing"
)

// pace is how fast a stream's events came from one engine.
type pace struct {
	usual time.Duration // between two events when the stream began; zero if not known
	sum   time.Duration
	count int
	paid  bool // another engine is asked, and the retry budget was charged
	moved bool // this engine took over from a slow one
}

const (
	slowEvents = 4 // gaps, fewer say nothing
	slowFactor = 4 // times the usual gap
	slowTime   = 300 * time.Millisecond
)

func (p *pace) add(gap time.Duration) {
	p.sum += gap
	p.count++
}

// slow reports whether the engine lags far behind what is usual.
func (p *pace) slow() bool {
	return p.usual > 0 && p.count >= slowEvents && p.sum > slowTime && p.sum > time.Duration(slowFactor*p.count)*p.usual
}

// leaveSlow reports whether the stream is to go on elsewhere because its engine
// is slow, and abandons the attempt if so. A stream is moved once for that
// reason: where the next engine is slow as well, the text is.
func (r *resumer) leaveSlow() bool {
	if r.ended || r.pace.moved || !r.pace.slow() || !r.elsewhere() {
		return false
	}
	p := r.passed.read()
	if p.finished || !p.resumable || !r.s.retryBudget(r.w.service).Take() {
		r.pace.moved = true // not asked again
		return false
	}
	r.pace.paid = true
	r.cur.fail()
	return true
}

// elsewhere reports whether another engine could go on.
func (r *resumer) elsewhere() bool {
	w := r.w
	return r.s.routing.Size(w.Service) > 1 && r.s.routing.Choose(routing.Request{Service: w.Service, Policy: w.service.RoutingPolicy, Now: time.Now(), Size: w.size,
		Prefix: w.prefix, Model: w.model}) != nil
}
