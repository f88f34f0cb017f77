package control

import (
	"context"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// MethodCrashes takes over what a process has seen of calls that end upstreams.
const MethodCrashes = "control.crashes"

// crashes returns once a quorum holds the report: what is barred outlives the processes.
func (s *Service) crashes(ctx context.Context, report *wire.CrashReport) (*Empty, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	res, err := s.cluster.Propose(ctx, state.Command{Crashes: report})
	if err != nil {
		s.log.Info("report of crashes not confirmed", "crashes", len(report.Crashes), "answered", len(report.Answered), "error", err.Error())
		return nil, s.leaderError(err)
	}
	s.tellQuarantine(res.Quarantine)
	return &Empty{}, nil
}

func (s *Service) tellQuarantine(c *wire.QuarantineChange) {
	for _, e := range c.Barred {
		s.log.Info("call barred", "fingerprint", e.Call.Fingerprint, "customer", e.Call.Customer, "route", e.Call.Route, "bytes", e.Call.Bytes, "upstreams", e.Upstreams)
		s.ring.Record(timeline.Event{Kind: "call-barred", Detail: string(e.Call.Fingerprint) + " of " + e.Call.Customer + " on " + e.Call.Route})
	}
	for _, f := range c.Cleared {
		s.log.Info("call cleared", "fingerprint", f)
	}
	for _, f := range c.Lifted {
		s.log.Info("bar lifted", "fingerprint", f)
		s.ring.Record(timeline.Event{Kind: "bar-lifted", Detail: string(f)})
	}
}

// LiftBar ends the quarantine of a call and forgets what it was accused of.
func (s *Service) LiftBar(ctx context.Context, f wire.Fingerprint) error {
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
	s.tellQuarantine(res.Quarantine)
	return nil
}

// Quarantine returns what this process knows of calls that end upstreams.
func (s *Service) Quarantine() []wire.QuarantineEntry { return s.cluster.View().Quarantine }
