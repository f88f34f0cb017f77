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
	maxAttempts       = 4
	lateFactor        = 3 // times the 99th percentile: an attempt slower than this counts as lost
	lateQuantile      = 0.99
	minHedgeDelay     = time.Millisecond
	minLateDelay      = 50 * time.Millisecond
	unknownSpeedShare = 3    // an attempt of unknown speed counts as lost after the time left divided by this
	usualQuantile     = 0.75 // no attempt counts as late before this quantile
	highQuantile      = 0.9  // expected duration of a further attempt
	suspectQuantile   = 0.75 // delay before hedging an attempt that probes a suspect endpoint
	minHedgeQuantile  = 0.9
	sameEndpointDelay = 25 * time.Millisecond // before the same endpoint is tried again
)

// race makes attempts of one call until one succeeds: sequentially when they fail, and concurrently when one
// is late and the call is repeatable.
type race struct {
	s       *Service
	ctx     context.Context
	w       *callSpec
	retries *retry.Budget

	tried    map[wire.MemberID]bool
	results  chan result
	cancels  [maxAttempts]context.CancelFunc
	inFlight [maxAttempts]*routing.Endpoint // endpoints of the running attempts, by attempt number
	launched int
	running  int
	hedge    int // number of the hedged attempt; zero if there is none
	started  time.Time
	size     int // of the first attempt's request, without the part cached by its endpoint

	strongestVerdict verdict.Verdict // over all attempts that ended
	last             *verdict.Error
	errorResponse    *response // has a status that calls for another attempt
}

type result struct {
	number   int
	response *response
	err      error
	endpoint *routing.Endpoint
}

// exchange makes attempts until one succeeds. After NotRun it tries another endpoint; after any other failure
// it does so only if the service is repeatable.
func (s *Service) exchange(ctx context.Context, w *callSpec) (*response, error) {
	r := &race{s: s, ctx: ctx, w: w, retries: s.retryBudget(w.service), tried: map[wire.MemberID]bool{},
		results: make(chan result, maxAttempts), started: time.Now(), strongestVerdict: verdict.NotRun}
	r.retries.First()
	if w.Repeatable {
		s.hedgeBudget(w.service).First()
	}
	e := r.nextEndpoint()
	if e == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "no upstream of %s can take the call", w.Service).WithRetryAfter(defaultRetryAfter)
	}
	r.start(e)
	return r.run()
}

func (r *race) run() (*response, error) {
	defer r.stop()
	timer, first := r.firstTimer()
	defer timer.Stop()
	for {
		select {
		case res := <-r.results:
			r.running--
			r.inFlight[res.number] = nil
			if r.accept(res) {
				return res.response, nil
			}
			if r.running == 0 && !r.retry() {
				return r.failure()
			}
		case <-timer.C:
			r.startExtra(first)
			first = false
			timer.Reset(r.lateDelay())
		case <-r.ctx.Done():
			return nil, r.timeout()
		}
	}
}

// nextEndpoint selects the endpoint of the next attempt, or returns nil.
func (r *race) nextEndpoint() *routing.Endpoint {
	if r.launched == maxAttempts {
		return nil
	}
	w := r.w
	return r.s.routing.Choose(routing.Request{Service: w.Service, Policy: w.service.RoutingPolicy, Exclude: r.tried, Now: time.Now(),
		Size: w.size, Prefix: w.prefix, Model: w.model})
}

// start starts an attempt at the endpoint.
func (r *race) start(e *routing.Endpoint) {
	r.tried[e.Member.ID] = true
	ctx, cancel := context.WithCancel(r.ctx)
	n := r.launched
	r.cancels[n] = cancel
	r.inFlight[n] = e
	r.launched++
	r.running++
	cached := e.CachedBytes(r.w.prefix)
	size := r.w.size - cached
	if n == 0 {
		r.size = size
	}
	go func() {
		started := time.Now()
		a, err := r.s.attempt(ctx, e, r.w, cached)
		r.s.recordDuration(r.w, size, time.Since(started), err == nil, ctx.Err() != nil)
		r.results <- result{n, a, err, e}
	}()
}

// allowRepeats allows endpoints to be tried again if no attempt runs there.
func (r *race) allowRepeats() {
	clear(r.tried)
	for _, e := range r.inFlight {
		if e != nil {
			r.tried[e.Member.ID] = true
		}
	}
}

// recordDuration records the duration of a successful attempt, and of an abandoned one if it exceeds the
// median. Without the latter the estimate would never follow a service that becomes slow as a whole.
func (s *Service) recordDuration(w *callSpec, size int, took time.Duration, ok, abandoned bool) {
	est := s.estimates.get(w.estimateName())
	if ok {
		est.add(size, took)
		return
	}
	if usual, known := est.quantile(size, admitQuantile); abandoned && known && took > usual {
		est.add(size, took)
	}
}

func (w *callSpec) estimateName() string {
	if w.stream {
		return "first byte " + w.Service
	}
	return "whole " + w.Service
}

// accept reports whether the result ends the race; otherwise it records it.
func (r *race) accept(res result) bool {
	if res.err == nil && !r.tryElsewhere(res) {
		if r.hedge > 0 && res.number == r.hedge {
			hedgesWon.Add(1)
		}
		r.cancels[res.number] = nil // the stream goes on; closing it releases the context
		return true
	}
	if res.err == nil {
		r.errorResponse = res.response
		r.last = verdict.From(res.response.statusError())
		r.strongestVerdict = verdict.Ran
		return false
	}
	r.last = verdict.From(res.err)
	if r.last.Verdict != verdict.NotRun && r.strongestVerdict != verdict.Ran {
		r.strongestVerdict = r.last.Verdict
	}
	return false
}

// tryElsewhere reports whether a response's status calls for another endpoint.
func (r *race) tryElsewhere(res result) bool {
	status := res.response.status
	if !r.w.Repeatable || res.response.stream != nil {
		return false
	}
	if optext.Kind(r.w.service.Kind) == optext.Engine && status == http.StatusNotFound {
		res.endpoint.SetModelMissing(r.w.model)
		return true
	}
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// retry starts another attempt after all have failed, if that is allowed.
func (r *race) retry() bool {
	if r.strongestVerdict != verdict.NotRun && !r.w.Repeatable || r.launched == maxAttempts || !r.timeLeft() {
		return false
	}
	e := r.nextEndpoint()
	if e == nil && r.waitToRepeat() {
		e = r.nextEndpoint()
	}
	if e == nil || !r.budgetExempt() && !r.retries.Take() {
		return false
	}
	r.start(e)
	retriesVar.Add(1)
	r.s.recordEvent("retry", &r.w.Call, r.w.Stage)
	return true
}

// budgetExempt reports whether a retry takes nothing from the budget, because the failure cost no upstream
// anything and points to an outdated member list, not to load.
func (r *race) budgetExempt() bool {
	if r.last.Verdict != verdict.NotRun {
		return false
	}
	return r.last.Code == verdict.CodeUpstreamLeaving || r.last.Code == verdict.CodeNoEndpoint
}

// waitToRepeat waits before endpoints are tried again for lack of others. It returns false after a refusal,
// which came from a gate that knows its load.
func (r *race) waitToRepeat() bool {
	if r.last.Verdict == verdict.NotRun {
		return false
	}
	select {
	case <-time.After(sameEndpointDelay):
	case <-r.ctx.Done():
		return false
	}
	r.allowRepeats()
	return true
}

func (r *race) timeLeft() bool { return r.ctx.Err() == nil && time.Now().Before(r.w.Deadline) }

// firstTimer returns the timer of the hedge, or of the first late attempt if there is no estimate for a
// hedge.
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

// hedgeDelay returns the delay after which the first attempt is hedged, and false if it is not. The delay is the
// quantile that half as many attempts exceed as the budget allows to hedge (Dean and Barroso, "The Tail at
// Scale", 2013). The other half is for times when more attempts are late, and because a late attempt costs more
// than an average one.
func (r *race) hedgeDelay() (time.Duration, bool) {
	percent := r.w.service.HedgePercent
	if percent <= 0 || 2*r.size < r.w.size {
		// Another endpoint would have to compute the cached prefix again, and caching it there would evict
		// another one.
		return 0, false
	}
	q := max(1-float64(percent)/200, minHedgeQuantile)
	if e := r.inFlight[0]; e != nil && e.Suspect(r.started) {
		q = suspectQuantile
	}
	d, ok := r.s.estimates.get(r.w.estimateName()).quantile(r.size, q)
	return max(d, minHedgeDelay), ok
}

// lateDelay is the time after which an attempt counts as lost: far beyond the usual duration, or the latest
// time at which another attempt could still finish within the deadline.
func (r *race) lateDelay() time.Duration {
	left := time.Until(r.w.Deadline)
	est := r.s.estimates.get(r.w.estimateName())
	d, ok := est.quantile(r.size, lateQuantile)
	if !ok {
		return max(left/unknownSpeedShare, minLateDelay)
	}
	usual, _ := est.quantile(r.size, usualQuantile)
	most, _ := est.quantile(r.size, highQuantile)
	return max(min(lateFactor*d, max(left-most, usual)), minLateDelay)
}

// startExtra starts an attempt beside those that run. The earlier ones continue, since one of them may still
// finish first.
func (r *race) startExtra(hedge bool) {
	if r.running == 0 || r.launched == maxAttempts || !r.timeLeft() {
		return
	}
	budget := r.retries
	if hedge {
		budget = r.s.hedgeBudget(r.w.service)
	}
	e := r.nextEndpoint()
	if e == nil && !hedge {
		r.allowRepeats()
		e = r.nextEndpoint()
	}
	if e == nil && !hedge {
		clear(r.tried) // an attempt hangs at every endpoint; a new one may not
		e = r.nextEndpoint()
	}
	if e == nil || !budget.Take() {
		return
	}
	r.start(e)
	if hedge {
		r.hedge = r.launched - 1
		hedgesVar.Add(1)
		r.s.recordEvent("hedge", &r.w.Call, r.w.Stage)
		return
	}
	retriesVar.Add(1)
	r.s.recordEvent("retry", &r.w.Call, r.w.Stage+": late")
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
			if res := <-r.results; res.response != nil {
				res.response.close()
			}
		}
	}(r.running)
}

func (r *race) timeout() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "the deadline passed before an answer came").WithRetryAfter(defaultRetryAfter)
}

// failure returns the outcome if all attempts failed: the last response with an error status, or else the
// last error, with the verdict that holds for all attempts.
func (r *race) failure() (*response, error) {
	if r.errorResponse != nil {
		return r.errorResponse, nil
	}
	e := *r.last
	if e.Verdict == verdict.NotRun {
		e.Verdict = r.strongestVerdict
	}
	if e.RetryAfter == 0 {
		e.RetryAfter = defaultRetryAfter
	}
	return nil, &e
}
