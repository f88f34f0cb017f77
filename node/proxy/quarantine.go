package proxy

import (
	"context"
	"net/http"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/quarantine"
)

// comeBackBarred is when the caller of a barred call is told to come back: there is no use in
// it until an operator lifts the bar.
const comeBackBarred = time.Minute

// noReports stands for the leader until the service has control.
func noReports(context.Context, *wire.CrashReport) error { return nil }

// reportTo sends reports by send, and logs those that were not acknowledged; they are sent again.
func (s *Service) reportTo(send func(context.Context, *wire.CrashReport) error) func(context.Context, *wire.CrashReport) error {
	return func(ctx context.Context, r *wire.CrashReport) error {
		err := send(ctx, r)
		if err != nil {
			s.log.Info("report of crashes not acknowledged", "crashes", len(r.Crashes), "answered", len(r.Answered), "error", err.Error())
		}
		return err
	}
}

// copied is what other tries of the same call share with this one.
func (x *exchange) copied() quarantine.Call {
	return quarantine.Call{Customer: x.customerName(), Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Body: x.body}
}

// broke has it found out why the call broke off at the upstream.
func (x *exchange) broke(m wire.Member) {
	x.s.inquiries.Broke(quarantine.Broken{Call: x.copied(), Request: x.call.ID, Route: x.route.Name, Upstream: m})
}

// endedUnder reports that an upstream's process ended while it had a call. One that had said that
// it leaves may end with calls.
func (s *Service) endedUnder(b quarantine.Broken) {
	if s.table.Load().leaving(b.Upstream.Start()) {
		return
	}
	endedUnderVar.Add(b.Upstream.Service, 1)
	sketch := b.Call.Sketch(b.Route)
	s.log.Info("upstream ended under a call", "request", b.Request, "route", b.Route, "customer", b.Call.Customer, "fingerprint", sketch.Fingerprint,
		"upstream", b.Upstream.ID, "address", b.Upstream.Direct, "service", b.Upstream.Service)
	if s.answers.Take(b.Call) {
		s.report(&wire.CrashReport{Answered: []wire.CallSummary{sketch}})
		return
	}
	s.report(&wire.CrashReport{Crashes: []wire.Crash{{Upstream: b.Upstream.Start(), Calls: []wire.CallSummary{sketch}}}})
}

func (s *Service) report(r *wire.CrashReport) {
	s.guard.Seen(r, time.Now())
	s.reporter.Add(r)
}

// barred returns why the call must not reach an upstream, or nil.
func (x *exchange) barred() *verdict.Error {
	if x.s.guard.Quiet() {
		return nil
	}
	standing, f := x.s.guard.Check(x.copied(), x.s.stale())
	if standing != quarantine.Barred {
		return nil
	}
	barredVar.Add(x.route.Name, 1)
	return verdict.New(verdict.NotRun, verdict.CodeQuarantined, "several upstreams have ended while they ran this call; it is in quarantine as %s", f).WithRetryAfter(comeBackBarred)
}

// suspected reports whether several upstreams have ended under the call. It then reaches one at most
// each time that its caller sends it: each may be another one that ends.
func (x *exchange) suspected() bool {
	standing, _ := x.s.guard.Check(x.copied(), true)
	return standing != quarantine.Unsuspected
}

// clear remembers that an upstream has answered the call, and tells everybody where it is a suspect.
func (x *exchange) clear(a *attempt) {
	if a.response.Status/100 != http.StatusOK/100 || !a.response.Framed() {
		return // an answer that ends with its connection may be one that was cut
	}
	x.s.answers.Add(x.copied())
	standing, f := x.s.guard.Check(x.copied(), true)
	if standing == quarantine.Unsuspected {
		return
	}
	x.s.log.Info("suspect answered", "request", x.call.ID, "route", x.route.Name, "customer", x.customerName(), "fingerprint", f, "upstream", a.member.ID)
	x.s.report(&wire.CrashReport{Answered: []wire.CallSummary{x.copied().Sketch(x.route.Name)}})
}
