package pipeline

import (
	"context"
	"net/http"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/retry"
	"caperdrum.org/node/routing"
)

const (
	maxAttempts     = 4
	lateFactor      = 3 // times the 99th percentile: an attempt this late is taken to be lost
	lateQuantile    = 0.99
	minHedgeDelay   = time.Millisecond
	minLateDelay    = 50 * time.Millisecond
	coldShare       = 3    // of the time left, one of this many for an attempt of unknown speed
	usualQuantile   = 0.75 // no attempt is late before
	mostQuantile    = 0.9  // a further attempt is expected to take at most this
	suspectQuantile = 0.75 // of the hedge of an attempt that probes a suspect endpoint
	leastQuantile   = 0.9
	sameEndpointIn  = 25 * time.Millisecond // pause before an endpoint is tried again
)

// race makes attempts of one call until one is answered: one after the other
// when they fail, side by side when one is late and the call is repeatable.
type race struct {
	s       *Service
	ctx     context.Context
	w       *work
	retries *retry.Budget

	tried    map[wire.MemberID]bool
	results  chan result
	cancels  [maxAttempts]context.CancelFunc
	under    [maxAttempts]*routing.Endpoint // of attempts that run
	launched int
	running  int
	hedge    int // number of the attempt that was a hedge; zero for none
	started  time.Time
	size     int // of the first attempt's request, without what its endpoint has cached

	worst verdict.Verdict // over all attempts that ended
	last  *verdict.Error
	bad   *answer // with a status that speaks for another try
}

type result struct {
	number int
	answer *answer
	err    error
	at     *routing.Endpoint
}

// exchange makes attempts until one is answered. After a NotRun it tries
// another endpoint; after any other failure only if the service is repeatable.
func (s *Service) exchange(ctx context.Context, w *work) (*answer, error) {
	r := &race{s: s, ctx: ctx, w: w, retries: s.retryBudget(w.service), tried: map[wire.MemberID]bool{},
		results: make(chan result, maxAttempts), started: time.Now(), worst: verdict.NotRun}
	r.retries.First()
	if w.Repeatable {
		s.hedgeBudget(w.service).First()
	}
	e := r.next()
	if e == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "no upstream of %s can take the call", w.Service).WithRetryAfter(comeBack)
	}
	r.start(e)
	return r.run()
}

func (r *race) run() (*answer, error) {
	defer r.stop()
	timer, first := r.firstTimer()
	defer timer.Stop()
	for {
		select {
		case res := <-r.results:
			r.running--
			r.under[res.number] = nil
			if r.accept(res) {
				return res.answer, nil
			}
			if r.running == 0 && !r.again() {
				return r.failure()
			}
		case <-timer.C:
			r.late(first)
			first = false
			timer.Reset(r.lateDelay())
		case <-r.ctx.Done():
			return nil, r.timeout()
		}
	}
}

// next returns the endpoint of the next attempt, or nil.
func (r *race) next() *routing.Endpoint {
	if r.launched == maxAttempts {
		return nil
	}
	w := r.w
	return r.s.routing.Choose(routing.Request{Service: w.Service, Policy: w.service.RoutingPolicy, Exclude: r.tried, Now: time.Now(),
		Size: w.size, Prefix: w.prefix, Model: w.model})
}

// start begins an attempt.
func (r *race) start(e *routing.Endpoint) {
	r.tried[e.Member.ID] = true
	ctx, cancel := context.WithCancel(r.ctx)
	n := r.launched
	r.cancels[n] = cancel
	r.under[n] = e
	r.launched++
	r.running++
	cached := e.Cached(r.w.prefix)
	size := r.w.size - cached
	if n == 0 {
		r.size = size
	}
	go func() {
		started := time.Now()
		a, err := r.s.attempt(ctx, e, r.w, cached)
		r.s.learn(r.w, size, time.Since(started), err == nil, ctx.Err() != nil)
		r.results <- result{n, a, err, e}
	}()
}

// forget lets endpoints be tried again where no attempt is under way.
func (r *race) forget() {
	clear(r.tried)
	for _, e := range r.under {
		if e != nil {
			r.tried[e.Member.ID] = true
		}
	}
}

// learn notes the time of an answer, and of an attempt that was given up if it
// took longer than usual: without those the estimate would never follow a
// service that becomes slow as a whole.
func (s *Service) learn(w *work, size int, took time.Duration, ok, abandoned bool) {
	est := s.estimates.of(w.estimate())
	if ok {
		est.add(size, took)
		return
	}
	if usual, known := est.quantile(size, admitQuantile); abandoned && known && took > usual {
		est.add(size, took)
	}
}

func (w *work) estimate() string {
	if w.stream {
		return "first byte " + w.Service
	}
	return "whole " + w.Service
}

// accept reports whether the result ends the race; otherwise it is noted.
func (r *race) accept(res result) bool {
	if res.err == nil && !r.tryElsewhere(res) {
		if r.hedge > 0 && res.number == r.hedge {
			hedgesWon.Add(1)
		}
		r.cancels[res.number] = nil // a stream goes on; it is released when it is closed
		return true
	}
	if res.err == nil {
		r.bad = res.answer
		r.last = verdict.From(res.answer.failure())
		r.worst = verdict.Ran
		return false
	}
	r.last = verdict.From(res.err)
	if r.last.Verdict != verdict.NotRun && r.worst != verdict.Ran {
		r.worst = r.last.Verdict
	}
	return false
}

// tryElsewhere reports whether an answer's status speaks for another endpoint.
func (r *race) tryElsewhere(res result) bool {
	status := res.answer.status
	if !r.w.Repeatable || res.answer.stream != nil {
		return false
	}
	if optext.Kind(r.w.service.Kind) == optext.Engine && status == http.StatusNotFound {
		res.at.Lacks(r.w.model)
		return true
	}
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// again starts another attempt after all failed, if that is allowed.
func (r *race) again() bool {
	if r.worst != verdict.NotRun && !r.w.Repeatable || r.launched == maxAttempts || !r.timeLeft() {
		return false
	}
	e := r.next()
	if e == nil && r.pause() {
		e = r.next()
	}
	if e == nil || !r.free() && !r.retries.Take() {
		return false
	}
	r.start(e)
	retriesVar.Add(1)
	r.s.record("retry", &r.w.Call, r.w.Stage)
	return true
}

// free reports whether a retry needs no budget: the failure cost no upstream
// anything and is a sign of a late members list, not of load.
func (r *race) free() bool {
	if r.last.Verdict != verdict.NotRun {
		return false
	}
	return r.last.Code == verdict.CodeUpstreamLeaving || r.last.Code == verdict.CodeNoEndpoint
}

// pause waits before endpoints are tried a second time because there is no
// other one. After a refusal they are not: it came from a gate that knows its
// load.
func (r *race) pause() bool {
	if r.last.Verdict == verdict.NotRun {
		return false
	}
	select {
	case <-time.After(sameEndpointIn):
	case <-r.ctx.Done():
		return false
	}
	r.forget()
	return true
}

func (r *race) timeLeft() bool { return r.ctx.Err() == nil && time.Now().Before(r.w.Deadline) }

// firstTimer returns the timer of the hedge, or of the first late attempt when
// there is nothing to base a hedge on.
func (r *race) firstTimer() (timer *time.Timer, hedge bool) {
	if !r.w.Repeatable || r.s.routing.Size(r.w.Service) < 2 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t, false
	}
	if d, ok := r.hedgeDelay(); ok {
		return time.NewTimer(d), true
	}
	return time.NewTimer(r.lateDelay()), false
}

// hedgeDelay is the percentile that leaves half as many attempts over as the
// budget allows to hedge (Dean and Barroso, "The Tail at Scale", 2013). The
// other half is for times when more of them are late; and an attempt that is
// late costs more than an average one.
func (r *race) hedgeDelay() (time.Duration, bool) {
	percent := r.w.service.HedgePercent
	if percent <= 0 || 2*r.size < r.w.size {
		// Elsewhere the cached prefix would have to be computed again, and its
		// copy would push another one out.
		return 0, false
	}
	q := max(1-float64(percent)/200, leastQuantile)
	if e := r.under[0]; e != nil && e.Suspect(r.started) {
		q = suspectQuantile
	}
	d, ok := r.s.estimates.of(r.w.estimate()).quantile(r.size, q)
	return max(d, minHedgeDelay), ok
}

// lateDelay is the time after which an attempt is taken to be lost: far beyond
// the usual time, or when another one could only just be in time.
func (r *race) lateDelay() time.Duration {
	left := time.Until(r.w.Deadline)
	est := r.s.estimates.of(r.w.estimate())
	d, ok := est.quantile(r.size, lateQuantile)
	if !ok {
		return max(left/coldShare, minLateDelay)
	}
	usual, _ := est.quantile(r.size, usualQuantile)
	most, _ := est.quantile(r.size, mostQuantile)
	return max(min(lateFactor*d, max(left-most, usual)), minLateDelay)
}

// late starts an attempt beside those that run. The earlier ones go on, as one
// of them may still be first.
func (r *race) late(hedge bool) {
	if r.running == 0 || r.launched == maxAttempts || !r.timeLeft() {
		return
	}
	budget := r.retries
	if hedge {
		budget = r.s.hedgeBudget(r.w.service)
	}
	e := r.next()
	if e == nil && !hedge {
		r.forget()
		e = r.next()
	}
	if e == nil && !hedge {
		clear(r.tried) // an attempt hangs at every endpoint; not the next one, perhaps
		e = r.next()
	}
	if e == nil || !budget.Take() {
		return
	}
	r.start(e)
	if hedge {
		r.hedge = r.launched - 1
		hedgesVar.Add(1)
		r.s.record("hedge", &r.w.Call, r.w.Stage)
		return
	}
	retriesVar.Add(1)
	r.s.record("retry", &r.w.Call, r.w.Stage+": late")
}

// stop abandons the attempts that lost.
func (r *race) stop() {
	for _, cancel := range r.cancels {
		if cancel != nil {
			cancel()
		}
	}
	if r.running == 0 {
		return
	}
	go func(n int) {
		for range n {
			if res := <-r.results; res.answer != nil {
				res.answer.close()
			}
		}
	}(r.running)
}

func (r *race) timeout() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "the deadline passed before an answer came").WithRetryAfter(comeBack)
}

// failure is the outcome when all attempts failed: the last error, with the
// verdict that is true of all of them; or the last answer with a bad status.
func (r *race) failure() (*answer, error) {
	if r.bad != nil {
		return r.bad, nil
	}
	e := *r.last
	if e.Verdict == verdict.NotRun {
		e.Verdict = r.worst
	}
	if e.RetryAfter == 0 {
		e.RetryAfter = comeBack
	}
	return nil, &e
}
