package proxy

import (
	"context"
	"net/http"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/quarantine"
	"caperdrum.org/node/upstream"
)

// barredRetryAfter is the Retry-After of barred calls, which are refused until an operator lifts the bar.
const barredRetryAfter = time.Minute

// noReports is the report function until the service has a connection to control.
func noReports(context.Context, *wire.CrashReport) error { return nil }

// reportTo wraps send to log reports that were not acknowledged. They are sent again.
func (s *Service) reportTo(send func(context.Context, *wire.CrashReport) error) func(context.Context, *wire.CrashReport) error {
	return func(ctx context.Context, r *wire.CrashReport) error {
		err := send(ctx, r)
		if err != nil {
			s.log.Info("crash report not acknowledged", "crashes", len(r.Crashes), "answered", len(r.Answered), "error", err.Error())
		}
		return err
	}
}

// quarantineCall returns the part of the call that is the same in all its copies.
func (x *exchange) quarantineCall() quarantine.Call {
	return quarantine.Call{Customer: x.customerName(), Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Body: x.body, Service: x.service.Name, Parts: x.sharedParts()}
}

// investigateBreak starts a check of why the call's connection to the upstream broke.
func (x *exchange) investigateBreak(m wire.Member) {
	x.s.crashDetector.Check(quarantine.InterruptedCall{Call: x.quarantineCall(), Request: x.call.ID, Route: x.route.Name, Upstream: m, Running: x.runningFor()})
}

// runningFor returns the time since the first event of the attempt in progress; zero if none has arrived.
func (x *exchange) runningFor() time.Duration {
	if x.firstEventAt.IsZero() {
		return 0
	}
	return time.Since(x.firstEventAt)
}

// sharedParts returns the parts of the call's prompt that other calls may share: all but the last one.
func (x *exchange) sharedParts() (out []string) {
	for i := range max(0, len(x.call.Prefix)-1) {
		out = append(out, x.call.Prefix[i].ID)
	}
	return out
}

// upstreamCrashed reports that an upstream's process ended while it had a call. An upstream that announced that it
// leaves may end with calls in progress.
func (s *Service) upstreamCrashed(b quarantine.InterruptedCall) {
	if s.table.Load().leaving(b.Upstream.Start()) {
		return
	}
	upstreamCrashesVar.Add(b.Upstream.Service, 1)
	s.log.Info("upstream crashed during a call", "request", b.Request, "route", b.Route, "customer", b.Call.Customer, "fingerprint", b.Call.Fingerprint(),
		"upstream", b.Upstream.ID, "address", b.Upstream.Direct, "service", b.Upstream.Service, "parts", b.Call.Parts, "running", b.Running)
	s.reportCrash(s.evidence.Crashed(b, time.Now()))
}

func (s *Service) reportCrash(r *wire.CrashReport) {
	s.guard.RecordLocal(r, time.Now())
	s.reporter.Add(r)
}

// checkBarred returns an error if the call is barred from upstreams, else nil.
func (x *exchange) checkBarred() *verdict.Error {
	if x.s.guard.Empty() {
		return nil
	}
	call := x.quarantineCall()
	standing, fingerprint := x.s.guard.Check(call, x.s.stale())
	if standing != quarantine.Barred || x.isTrial() {
		return nil
	}
	barredVar.Add(x.route.Name, 1)
	reason := "several upstreams have ended while they ran this call; it is in quarantine as %s"
	if call.HasPart(fingerprint) {
		reason = "several upstreams have ended while they ran calls that share a part of its prompt, which is in quarantine as %s"
	}
	return verdict.New(verdict.NotRun, verdict.CodeQuarantined, reason, fingerprint).WithRetryAfter(barredRetryAfter)
}

// isTrial reports whether the call is sent although a common part of its prompt is barred; see quarantine.Trials.
func (x *exchange) isTrial() bool {
	part, since, found := x.s.guard.OnlyBarredPart(x.quarantineCall())
	if !found {
		return false
	}
	if x.trial.Load() == nil && x.s.evidence.IsCommon(part) && x.s.trials.Take(part, since, time.Now(), string(x.s.views.Self().ID), x.s.table.Load().proxies()) {
		x.s.log.Info("barred part tried", "request", x.call.ID, "route", x.route.Name, "customer", x.customerName(), "fingerprint", part)
		x.trial.Store(&part)
	}
	tried := x.trial.Load()
	return tried != nil && *tried == part
}

// isSuspect reports whether several upstreams crashed during the call, or during calls that share a part of its prompt.
// It is then sent to at most one upstream each time that its caller sends it, as it may crash every one.
func (x *exchange) isSuspect() bool {
	standing, _ := x.s.guard.Check(x.quarantineCall(), true)
	return standing != quarantine.Unsuspected
}

// reportAnswered records that an upstream answered the call, and reports it if the call is a suspect.
func (x *exchange) reportAnswered(a *attempt, ending upstream.Ending) {
	if a.response.Status/100 != http.StatusOK/100 || !ending.Survived() {
		return
	}
	x.reportEvidence(x.s.evidence.Answered(x.quarantineCall(), x.route.Name, time.Now()), a.member)
}

// reportBegun records, once an attempt, that an upstream answers the call and has not crashed.
func (x *exchange) reportBegun(m wire.Member) {
	if x.begunReported || !quarantine.HasBegun(x.runningFor()) {
		return
	}
	x.begunReported = true
	x.reportEvidence(x.s.evidence.Begun(x.quarantineCall(), x.route.Name, time.Now()), m)
}

// reportEvidence reports that the upstream did not crash under suspects; r is nil if there are none.
func (x *exchange) reportEvidence(r *wire.CrashReport, m wire.Member) {
	if r == nil {
		return
	}
	for _, suspect := range r.Answered {
		x.s.log.Info("suspect call answered", "request", x.call.ID, "route", x.route.Name, "customer", x.customerName(), "fingerprint", suspect.Fingerprint, "part", suspect.Part, "upstream", m.ID)
	}
	x.s.reportCrash(r)
}
