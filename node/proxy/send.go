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
	"caperdrum.org/node/logging"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/stagework"
	"caperdrum.org/node/upstream"
)

// attempt is one call of an upstream.
type attempt struct {
	member   wire.Member
	response *upstream.Response // nil when there was none
	err      *verdict.Error     // why there was none, or why it counts as none
	took     time.Duration      // until the answer began
}

// notRun reports whether the upstream has not run the call and never will.
func (a *attempt) notRun() bool { return a.err != nil && a.err.Verdict == verdict.NotRun }

// moved reports whether another upstream answered at the address.
func (a *attempt) moved() bool {
	return a.response != nil && a.response.Status == http.StatusMisdirectedRequest
}

// maxUnsent bounds how many upstreams that cannot be reached, or that left
// their address, a call tries beside those it is sent to.
const maxUnsent = 3

// send sends the call to an upstream. One that could not be reached at all is
// replaced by another; one that has left its address, which has got the call, as far as the
// quota of repeats goes.
func (x *exchange) send(ctx context.Context, tried *[]wire.Start, c choice, lastEvent string) *attempt {
	for unsent := 0; ; unsent++ {
		if err := x.barred(); err != nil {
			return &attempt{err: err}
		}
		c.tried = *tried
		// The stages may have taken seconds: an upstream may have left meanwhile.
		list := x.upstreams(x.service.Name)
		m, ok := x.s.endpoints.take(list, c, time.Now())
		if !ok {
			return &attempt{err: x.nobody()}
		}
		*tried = append(*tried, m.Start())
		a := x.sendTo(ctx, m, len(list), lastEvent)
		if a.moved() {
			x.drop(a, wasMoved)
			x.s.inquiries.Ended(m.Start())
			x.report(m, stagework.EngineFailed)
			a = &attempt{member: m, err: verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "another upstream has the address of %s", m.ID).WithRetryAfter(comeBack)}
			if unsent < maxUnsent && ctx.Err() == nil && x.maySend(addressMoved) {
				continue
			}
		} else if unsent < maxUnsent && ctx.Err() == nil && a.notRun() && a.response == nil {
			continue
		}
		x.sends++
		return a
	}
}

func (x *exchange) sendTo(ctx context.Context, m wire.Member, candidates int, lastEvent string) *attempt {
	header := x.r.Header.Clone()
	dropHopByHop(header)
	told := upstream.Told{Left: time.Until(x.deadline), Instance: m.ID, LastEvent: lastEvent, Inputs: x.inputs}
	if x.customer != nil {
		told.Customer = x.customer.Name
	}
	if m.ID == x.engine {
		told.FetchFrom = x.fetchFrom
	}
	x.s.protocol.Tell(header, told)
	began := time.Now()
	x.s.log.V(logging.Routine).Info("attempt sent", "request", x.call.ID, "upstream", m.ID, "address", m.Direct, "data_center", m.DataCenter, "candidates", candidates,
		"in_flight", x.s.endpoints.load(m.Start()), "tried", x.sends, "again", x.again, "last_event", lastEvent, "inputs", len(x.inputs), "fetch_from", told.FetchFrom, "left", told.Left, "members_seq", x.s.table.Load().seq)
	resp, err := x.s.pool.Do(ctx, &upstream.Request{Upstream: m.Start(), Address: m.Direct, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: header, Body: x.body, ID: x.call.ID, Limit: x.connections()})
	now := time.Now()
	sendsVar.Add(x.service.Name, 1)
	if err != nil {
		a := &attempt{member: m, err: verdict.From(err)}
		failedSendsVar.Add(x.service.Name, 1)
		how := failed
		switch {
		case ctx.Err() != nil || a.err.Code == verdict.CodeOverloaded:
			how = unknown
		case !a.notRun():
			x.broke(m)
		}
		if how == failed {
			x.report(m, outcomeOf(err))
		}
		x.s.endpoints.release(m.Start(), how, now)
		if how == failed && !a.notRun() || x.outOfTime(ctx) {
			x.s.counter.Add(m, x.route.Name, rollout.Failed, 0)
		}
		x.s.log.Info("attempt failed", "request", x.call.ID, "upstream", m.ID, "address", m.Direct, "sent", !a.notRun(),
			"left", time.Until(x.deadline), "verdict", a.err.Verdict, "error", a.err.Message)
		return a
	}
	x.s.endpoints.heard(m.Start(), now)
	x.answering.Store(!resp.Answer.NotRun)
	a := &attempt{member: m, response: resp, took: now.Sub(began)}
	if resp.Answer.NotRun {
		a.err = verdict.New(verdict.NotRun, verdict.CodeOverloaded, "upstream %s refused the call", m.ID).WithRetryAfter(max(comeBack, x.pause()))
	}
	return a
}

// report notes what the owner of the stages is told of the engine that it chose, also where another one takes the call.
func (x *exchange) report(m wire.Member, how stagework.EngineOutcome) {
	if m.ID == x.engine {
		x.engineOutcome = how
	}
}

// outcomeOf is what the owner of the stages is told of an engine at which an attempt failed.
func outcomeOf(err error) stagework.EngineOutcome {
	if upstream.Unreached(err) {
		return stagework.EngineUnreached
	}
	return stagework.EngineFailed
}

// pause is how long it takes until an upstream of the service wants calls again, where none does.
func (x *exchange) pause() time.Duration {
	return x.s.notices.LeastPause(x.s.table.Load().announced[x.service.Name])
}

// hopeless returns why there is no use in having the stages of the call done, or nil.
func (x *exchange) hopeless() *verdict.Error {
	if err := x.barred(); err != nil {
		return err
	}
	if pause := x.pause(); pause > 0 && pause >= time.Until(x.deadline) {
		return x.nobody()
	}
	return x.nowhere()
}

// upstreams are those of a service that may serve the call, as far as is known now.
func (x *exchange) upstreams(service string) []wire.Member {
	list := x.s.table.Load().announced[service]
	if !x.within.Bound {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(m wire.Member) bool { return !x.within.Has(m.DataCenter) })
}

// nowhere returns why no upstream may serve a call that is bound to regions, or nil.
func (x *exchange) nowhere() *verdict.Error {
	if !x.within.Bound {
		return nil
	}
	services := []string{x.service.Name}
	for i, st := range x.route.Stages {
		if i < len(x.call.Pieces) && x.call.Pieces[i] > 0 {
			services = append(services, st.Service)
		}
	}
	for _, service := range services {
		if len(x.upstreams(service)) == 0 {
			return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "service %s has no upstream in the data centres %v, where the call may be served", service, x.within.DataCenters).WithRetryAfter(comeBack)
		}
	}
	return nil
}

// nobody returns why there is no upstream to try.
func (x *exchange) nobody() *verdict.Error {
	if pause := x.pause(); pause > 0 {
		return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "all upstreams of service %s have asked for a pause", x.service.Name).WithRetryAfter(pause)
	}
	return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "service %s has no upstream to try", x.service.Name).WithRetryAfter(comeBack)
}

// connections is this process's part of the connections to one upstream. It is divided by the
// most processes lately: one that is cut off serves on for some seconds with the connections
// that it has, while the others no longer see it.
func (x *exchange) connections() int {
	if x.service.MaxConnections <= 0 {
		return 0
	}
	return max(2, x.service.MaxConnections/(x.s.peers.Most()+1))
}

// drop ends an attempt whose answer is not used.
func (x *exchange) drop(a *attempt, how standing) {
	a.response.Close()
	x.s.endpoints.release(a.member.Start(), how, time.Now())
	x.count(a, how)
}

// count counts how the attempt ended, while the service is rolled out.
func (x *exchange) count(a *attempt, how standing) {
	switch {
	case how == failed, how == stood && a.response.Status >= http.StatusInternalServerError:
		x.s.counter.Add(a.member, x.route.Name, rollout.Failed, 0)
	case how == stood && !a.inputsGone():
		x.s.counter.Add(a.member, x.route.Name, rollout.Answered, a.took)
	}
}

// outOfTime reports whether the call's time is over while its caller still waits.
func (x *exchange) outOfTime(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) && x.r.Context().Err() == nil
}

// refusal is the body of a call that got no upstream's answer.
type refusal struct {
	Message string          `json:"message"`
	Code    verdict.Code    `json:"code"`
	Verdict verdict.Verdict `json:"verdict"`
}

// note remembers whether an attempt may have run: a later one that was refused does
// not make the call one that has not run.
func (x *exchange) note(err *verdict.Error) {
	x.mayRan = x.mayRan || err.Verdict != verdict.NotRun
}

// refuse answers a call that got no upstream's answer.
func (x *exchange) refuse(err error) {
	e := *verdict.From(err)
	if x.mayRan && e.Verdict == verdict.NotRun {
		e.Verdict, e.Status, e.RetryAfter = verdict.MayHaveRun, http.StatusBadGateway, 0
	}
	if x.r.Context().Err() != nil {
		leftVar.Add(1)
		x.s.log.Info("caller left", "request", x.call.ID, "route", x.routeName(), "sends", x.sends, "after", time.Since(x.began), "left", time.Until(x.deadline), "reason", e.Message)
		panic(http.ErrAbortHandler)
	}
	if e.Verdict == verdict.NotRun && e.Status >= http.StatusInternalServerError {
		e.Status = http.StatusServiceUnavailable
	} else if e.Status == http.StatusServiceUnavailable {
		e.Status = http.StatusBadGateway // 503 would promise that it has not run
	}
	refusedVar.Add(string(e.Code)+"/"+e.Verdict.String(), 1)
	x.s.log.Info("call refused", "request", x.call.ID, "route", x.routeName(), "status", e.Status, "code", e.Code, "verdict", e.Verdict,
		"reason", e.Message, "sends", x.sends, "after", time.Since(x.began), "left", time.Until(x.deadline), "config_version", x.version(), "stamp_age", logging.Age(x.s.sync.StampAge()))
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	if x.s.notReady() != "" {
		h.Set("Connection", "close") // the caller comes back through the balancer
	}
	if e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests {
		wait := e.RetryAfter
		if wait <= 0 {
			wait = comeBack
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

func (x *exchange) version() uint64 {
	if x.table == nil {
		return 0
	}
	return x.table.version
}
