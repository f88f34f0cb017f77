package control

import (
	"context"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// MethodReportCrashes reports calls under which upstreams crashed.
const MethodReportCrashes = "control.crashes"

// reportCrashes returns once a quorum has stored the report, so that barred calls stay barred when processes
// fail.
func (s *Service) reportCrashes(ctx context.Context, report *wire.CrashReport) (*Empty, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	res, err := s.cluster.Propose(ctx, state.Command{Crashes: report})
	if err != nil {
		s.log.Info("crash report not committed", "crashes", len(report.Crashes), "answered", len(report.Answered), "error", err.Error())
		return nil, s.leaderError(err)
	}
	s.logQuarantine(res.Quarantine)
	return &Empty{}, nil
}

func (s *Service) logQuarantine(c *wire.QuarantineChange) {
	for _, e := range c.Barred {
		s.log.Info("call barred", "kind", e.Call.Kind.Name(), "part", e.Call.Part, "service", e.Call.Service, "fingerprint", e.Call.Fingerprint, "customer", e.Call.Customer, "route", e.Call.Route, "bytes", e.Call.Bytes, "upstreams", e.Upstreams)
		s.ring.Record(timeline.Event{Kind: "call-barred", Detail: e.Call.Kind.Name() + " " + string(e.Call.Fingerprint) + " of " + e.Call.Customer + " on " + e.Call.Route})
	}
	for _, e := range c.Joint {
		s.log.Info("part joint with others", "part", e.Call.Part, "service", e.Call.Service, "fingerprint", e.Call.Fingerprint, "customer", e.Call.Customer, "route", e.Call.Route, "upstreams", e.Upstreams)
	}
	for _, f := range c.Cleared {
		s.log.Info("call cleared", "fingerprint", f)
	}
	for _, f := range c.Lifted {
		s.log.Info("bar lifted", "fingerprint", f)
		s.ring.Record(timeline.Event{Kind: "bar-lifted", Detail: string(f)})
	}
}

// LiftQuarantine ends the quarantine of a call and deletes the evidence against it.
func (s *Service) LiftQuarantine(ctx context.Context, f wire.Fingerprint) error {
	if !s.cluster.IsLeader() {
		return s.notLeader()
	}
	res, err := s.cluster.Propose(ctx, state.Command{Lift: f})
	if err != nil {
		return s.leaderError(err)
	}
	if len(res.Quarantine.Lifted) == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no call with fingerprint %q is in quarantine", f)
	}
	s.logQuarantine(res.Quarantine)
	return nil
}

// Quarantine returns the suspected and quarantined calls that this process has applied.
func (s *Service) Quarantine() []wire.QuarantineEntry { return s.cluster.View().Quarantine }
