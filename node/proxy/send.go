package proxy

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/eligibility"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/stagework"
	"caperdrum.org/node/upstream"
)

// attempt is one call sent to an upstream.
type attempt struct {
	member   wire.Member
	response *upstream.Response // nil if there was none
	err      *verdict.Error     // why there is no usable response; nil if there is one
	latency  time.Duration      // time until the response began
}

// notRun reports whether the upstream has not run the call and never will.
func (a *attempt) notRun() bool { return a.err != nil && a.err.Verdict == verdict.NotRun }

// moved reports whether another upstream answered at the address.
func (a *attempt) moved() bool {
	return a.response != nil && a.response.Status == http.StatusMisdirectedRequest
}

// maxUnsentAttempts bounds how many unreachable or replaced upstreams a call tries in addition to its attempts.
const maxUnsentAttempts = 3

// send sends the call to an upstream. If the upstream cannot be reached, another one is tried. If another upstream
// answers at its address, which has then received the call, another one is tried as far as the repeat quota allows.
func (x *exchange) send(ctx context.Context, tried *[]wire.Start, c criteria, lastEvent string) *attempt {
	var waited time.Duration
	for unsent := 0; ; unsent++ {
		if err := x.checkBarred(); err != nil {
			return &attempt{err: err}
		}
		c.tried = *tried
		// Read again each time: upstreams may have left during the stages, which can take seconds.
		list := x.eligibleUpstreams()
		m, ok := x.acquire(ctx, list, c)
		for !ok {
			again, err := x.awaitConnection(ctx, list, c, &waited)
			if !again {
				return &attempt{err: err}
			}
			list = x.eligibleUpstreams()
			m, ok = x.acquire(ctx, list, c)
		}
		x.s.noteConnectionWait(x.service.Name, waited)
		*tried = append(*tried, m.Start())
		a := x.sendTo(ctx, m, len(list), lastEvent)
		if a.moved() {
			x.discard(a, callMoved)
			x.s.crashDetector.MarkCrashed(m.Start())
			x.setEngineOutcome(m, stagework.EngineFailed)
			a = &attempt{member: m, err: verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "another upstream has the address of %s", m.ID).WithRetryAfter(defaultRetryAfter)}
			if unsent < maxUnsentAttempts && ctx.Err() == nil && x.allowRepeat(addressMoved) {
				continue
			}
		} else if unsent < maxUnsentAttempts && ctx.Err() == nil && a.notRun() && a.response == nil {
			continue
		}
		x.sends++
		return a
	}
}

func (x *exchange) sendTo(ctx context.Context, m wire.Member, candidates int, lastEvent string) *attempt {
	header := x.r.Header.Clone()
	dropHopByHop(header)
	metadata := upstream.CallMetadata{Remaining: time.Until(x.deadline), Instance: m.ID, LastEventID: lastEvent, Inputs: x.inputs}
	if x.customer != nil {
		metadata.Customer = x.customer.Name
	}
	if m.ID == x.engine {
		metadata.FetchFrom = x.fetchFrom
	}
	x.s.protocol.SetHeaders(header, metadata)
	began := time.Now()
	x.firstEventAt, x.begunReported = time.Time{}, false
	x.s.log.V(logging.Routine).Info("attempt sent", "request", x.call.ID, "upstream", m.ID, "address", m.Direct, "version", m.Version, "data_center", m.DataCenter, "candidates", candidates,
		"in_flight", x.s.endpoints.callsInFlight(m.Start()), "tried", x.sends, "again", x.repeatReason, "last_event", lastEvent, "inputs", len(x.inputs), "fetch_from", metadata.FetchFrom, "left", metadata.Remaining, "members_seq", x.s.table.Load().membersSeq)
	resp, err := x.s.pool.Do(ctx, &upstream.Request{Upstream: m.Start(), Address: m.Direct, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: header, Body: x.body, ID: x.call.ID, MaxConnections: x.maxConnections(), Permit: x.permit, Silence: x.silenceCheck()})
	x.permit, x.permitted = upstream.Permit{}, "" // it was for one request
	now := time.Now()
	sendsVar.Add(x.service.Name, 1)
	if err != nil {
		a := &attempt{member: m, err: verdict.From(err)}
		failedSendsVar.Add(x.service.Name, 1)
		outcome := callFailed
		switch {
		case ctx.Err() != nil || a.err.Code == verdict.CodeOverloaded:
			outcome = callUnknown
		case !a.notRun():
			x.investigateBreak(m)
		}
		if outcome == callFailed {
			x.setEngineOutcome(m, engineOutcomeOf(err))
		}
		x.s.endpoints.release(m.Start(), outcome, now)
		if !x.resumed && (outcome == callFailed && !a.notRun() || x.outOfTime(ctx)) {
			x.s.counter.Add(m, x.route.Name, rollout.Failed, 0)
		}
		x.s.log.Info("attempt failed", "request", x.call.ID, "upstream", m.ID, "address", m.Direct, "sent", !a.notRun(),
			"left", time.Until(x.deadline), "verdict", a.err.Verdict, "error", a.err.Message)
		return a
	}
	x.s.endpoints.noteResponse(m.Start(), now)
	x.answering.Store(!resp.Info.NotRun)
	a := &attempt{member: m, response: resp, latency: now.Sub(began)}
	if resp.Info.NotRun {
		a.err = verdict.New(verdict.NotRun, verdict.CodeOverloaded, "upstream %s refused the call", m.ID).WithRetryAfter(max(defaultRetryAfter, x.upstreamPause()))
	}
	return a
}

const (
	// minSilence is the shortest pause of a stream after which its connection is checked.
	minSilence = time.Second
	// maxGapsToSilence is the number of the route's longest gaps that such a pause takes at least. Callers leave after twice
	// as long a pause.
	maxGapsToSilence = 4
)

// silenceCheck says when the connection of a stream that may go on elsewhere is checked for silence: after a pause far above
// what the route allows.
func (x *exchange) silenceCheck() upstream.SilenceCheck {
	if !x.route.Streaming || !x.route.Repeatable() || x.route.Attempts < 2 || x.route.MaxGap <= 0 {
		return upstream.SilenceCheck{}
	}
	return upstream.SilenceCheck{After: max(minSilence, 2*x.route.Goal, maxGapsToSilence*x.route.MaxGap), Path: x.service.HealthPath, MaxConnections: x.maxConnections()}
}

// setEngineOutcome records what is reported to the stage owner about the engine that it chose, even if another engine
// serves the call.
func (x *exchange) setEngineOutcome(m wire.Member, outcome stagework.EngineOutcome) {
	if m.ID == x.engine {
		x.engineOutcome = outcome
	}
}

// engineOutcomeOf returns what is reported to the stage owner about an engine at which an attempt failed.
func engineOutcomeOf(err error) stagework.EngineOutcome {
	if upstream.IsUnreachable(err) {
		return stagework.EngineUnreachable
	}
	return stagework.EngineFailed
}

// upstreamPause returns when callers should come back to a service whose upstreams accept no calls now, or zero if one
// does.
func (x *exchange) upstreamPause() time.Duration {
	return x.s.endpoints.shortestWait(x.eligibleUpstreams(), time.Now())
}

// checkServable returns an error if running the stages of the call would be pointless, else nil.
func (x *exchange) checkServable() *verdict.Error {
	if err := x.checkBarred(); err != nil {
		return err
	}
	if pause := x.upstreamPause(); pause > 0 && pause >= time.Until(x.deadline) {
		return x.noUpstreamError()
	}
	if x.version != nil && len(x.eligibleUpstreams()) == 0 {
		return x.noUpstreamError()
	}
	return x.checkRegions()
}

// constraint restricts the upstreams that may take the call.
func (x *exchange) constraint() eligibility.Constraint {
	return eligibility.Constraint{Within: x.allowed, Version: x.version}
}

// eligibleUpstreams returns the currently announced upstreams that may take the call. A stream that has begun goes on
// at its version, also if a rollout excludes that version from new calls. It does not go on at an upstream that has
// crashed: what listens at its address now may be of another version, which nothing says before its record arrives.
func (x *exchange) eligibleUpstreams() []wire.Member {
	t, c := x.s.table.Load(), x.constraint()
	if c.Pinned() {
		return slices.DeleteFunc(c.Filter(t.allVersions[x.service.Name]), func(m wire.Member) bool { return x.s.crashDetector.Crashed(m.Start()) })
	}
	return c.Filter(t.announced[x.service.Name])
}

// hasUpstream reports whether a service has an upstream in the data centres that the call may use.
func (x *exchange) hasUpstream(service string) bool {
	return len(eligibility.Constraint{Within: x.allowed}.Filter(x.s.table.Load().announced[service])) > 0
}

// checkRegions returns an error if a service of the call has no upstream in the regions to which the call is restricted.
func (x *exchange) checkRegions() *verdict.Error {
	if !x.allowed.Restricted {
		return nil
	}
	var services []string
	if x.version == nil {
		services = append(services, x.service.Name)
	}
	for i, st := range x.route.Stages {
		if i < len(x.call.Pieces) && x.call.Pieces[i] > 0 {
			services = append(services, st.Service)
		}
	}
	for _, service := range services {
		if !x.hasUpstream(service) {
			return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "service %s has no upstream in the data centres %v, where the call may be served", service, x.allowed.DataCenters).WithRetryAfter(defaultRetryAfter)
		}
	}
	return nil
}

// noUpstreamError returns the error for a call that has no upstream to try.
func (x *exchange) noUpstreamError() *verdict.Error {
	if pause := x.upstreamPause(); pause > 0 {
		x.s.endpoints.countRefused(x.service.Name)
		return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "all upstreams of service %s have asked for a pause or limit their requests", x.service.Name).WithRetryAfter(pause)
	}
	if x.version != nil {
		return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "service %s has no upstream to try of version %q, at which the stream began", x.service.Name, *x.version).WithRetryAfter(outageRetryAfter())
	}
	return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "service %s has no upstream to try", x.service.Name).WithRetryAfter(defaultRetryAfter)
}

// maxConnections returns this process's share of the connections to one upstream; zero means no limit. The limit is
// divided by the largest recent number of processes: one that is partitioned keeps serving on its connections for some
// seconds while the others no longer see it.
func (x *exchange) maxConnections() int {
	if x.service.MaxConnections <= 0 {
		return 0
	}
	return max(2, x.service.MaxConnections/(x.s.peers.MaxMembers()+1))
}

// discard closes an attempt's response and ends the attempt.
func (x *exchange) discard(a *attempt, outcome callOutcome) {
	a.response.Close()
	x.s.endpoints.release(a.member.Start(), outcome, time.Now())
	x.countOutcome(a, outcome)
}

// countOutcome counts the attempt's outcome during a rollout of the service.
func (x *exchange) countOutcome(a *attempt, outcome callOutcome) {
	switch {
	case x.resumed: // its version was not chosen, so it says nothing about the share of one
	case outcome == callFailed, outcome == callAnswered && a.response.Status >= http.StatusInternalServerError:
		x.s.counter.Add(a.member, x.route.Name, rollout.Failed, 0)
	case outcome == callAnswered && !a.inputsGone():
		x.s.counter.Add(a.member, x.route.Name, rollout.Answered, a.latency)
	}
}

// outOfTime reports whether the deadline passed while the caller still waits.
func (x *exchange) outOfTime(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) && x.r.Context().Err() == nil
}

// refusal is the body of the response to a call that no upstream answered.
type refusal struct {
	Message string          `json:"message"`
	Code    verdict.Code    `json:"code"`
	Verdict verdict.Verdict `json:"verdict"`
}

// noteFailure records whether a failed attempt may have run: a later attempt that is refused does not change that.
func (x *exchange) noteFailure(err *verdict.Error) {
	x.mayHaveRun = x.mayHaveRun || err.Verdict != verdict.NotRun
}

// refuse answers a call that no upstream answered.
func (x *exchange) refuse(err error) {
	e := *verdict.From(err)
	if x.mayHaveRun && e.Verdict == verdict.NotRun {
		e.Verdict, e.Status, e.RetryAfter = verdict.MayHaveRun, http.StatusBadGateway, 0
	}
	if x.r.Context().Err() != nil && e.Status != http.StatusRequestTimeout { // a body that is late ends the context too
		callersLeftVar.Add(1)
		x.s.log.Info("caller left", "request", x.call.ID, "route", x.routeName(), "sends", x.sends, "after", time.Since(x.began), "left", time.Until(x.deadline), "reason", e.Message)
		panic(http.ErrAbortHandler)
	}
	if e.Verdict == verdict.NotRun && e.Status >= http.StatusInternalServerError {
		e.Status = http.StatusServiceUnavailable
	} else if e.Status == http.StatusServiceUnavailable {
		e.Status = http.StatusBadGateway // 503 would promise that the call has not run
	}
	if !x.bodyRead {
		x.setBodyDeadline(time.Now().Add(unreadBodyTime)) // the server reads the rest before it answers
	}
	refusedVar.Add(string(e.Code)+"/"+e.Verdict.String(), 1)
	x.s.log.Info("call refused", "request", x.call.ID, "route", x.routeName(), "status", e.Status, "code", e.Code, "verdict", e.Verdict,
		"reason", e.Message, "sends", x.sends, "after", time.Since(x.began), "left", time.Until(x.deadline), "config_version", x.configVersion(), "stamp_age", logging.Age(x.stampAge))
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	if x.s.notReady() != "" {
		h.Set("Connection", "close") // the caller reconnects through the load balancer
	}
	if e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests {
		wait := e.RetryAfter
		if wait <= 0 {
			wait = defaultRetryAfter
		}
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 2, 64))
	}
	x.w.WriteHeader(e.Status)
	json.NewEncoder(x.w).Encode(refusal{e.Message, e.Code, e.Verdict})
}

func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

func (x *exchange) configVersion() uint64 {
	if x.table == nil {
		return 0
	}
	return x.table.version
}
