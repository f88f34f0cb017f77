package control

import (
	"context"
	"sync"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/internal/periodic"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/state"
)

// RPC methods of rollouts.
const (
	MethodStartRollout  = "control.rollout_start"
	MethodRollout       = "control.rollout"
	MethodVersions      = "control.versions"
	MethodReportRollout = "control.rollout_report"
)

// MaxRolloutSpan limits the duration of a rollout.
const MaxRolloutSpan = 24 * time.Hour

// rolloutInterval is how often the leader evaluates running rollouts.
const rolloutInterval = 100 * time.Millisecond

// rolloutTracker collects the counts of running rollouts on the leader. A new leader starts without any,
// since processes always report all of their counts.
type rolloutTracker struct {
	mu        sync.Mutex
	byService map[string]*trackedRollout // by service
}

type trackedRollout struct {
	order       uint64
	judge       *rollout.Analyzer
	ends        time.Time // by this process's clock
	startedLate bool      // tracking began when the span was over or nearly so
}

// StartRollout commits an order to start a rollout, and returns once a quorum has stored it. An order that
// equals the running rollout joins it.
func (s *Service) StartRollout(ctx context.Context, o *wire.RolloutOrder) (*wire.RolloutResult, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	if err := s.checkRolloutOrder(o); err != nil {
		s.log.Info("rollout refused", "service", o.Service, "target", o.Target, "span", o.Span, "reason", err.Error())
		return nil, err
	}
	res, err := s.cluster.Propose(ctx, state.Command{StartRollout: o})
	if err != nil {
		s.log.Info("rollout not committed", "service", o.Service, "target", o.Target, "error", err.Error())
		return nil, s.leaderError(err)
	}
	r := res.Rollout
	s.log.Info("rollout order committed", "service", o.Service, "target", o.Target, "span", o.Span, "author", o.Author, "base", o.Base,
		"revision", r.Rollout.Revision, "changed", r.Changed, "refusal", r.Refusal, "replaced", r.Rollout.Replaced)
	if r.Refusal != wire.RolloutAccepted {
		return nil, verdict.New(verdict.NotRun, verdict.CodeKeyConflict, "service %s: the roll-out to version %s is %s, revision %d", o.Service, r.Rollout.Target, r.Rollout.State, r.Rollout.Revision)
	}
	if r.Changed {
		s.ring.Record(timeline.Event{Kind: "rollout-started", Detail: o.Service + " to " + o.Target})
	}
	return r, nil
}

func (s *Service) checkRolloutOrder(o *wire.RolloutOrder) error {
	v := s.cluster.View()
	if err := s.checkReadyForOrders(v); err != nil {
		return err
	}
	config, err := s.puts.check(v.Config.Text)
	if err != nil {
		return err // cannot happen: a committed text is valid
	}
	return CheckRollout(config, o)
}

// CheckRollout validates an order against the configuration.
func CheckRollout(c *optext.Config, o *wire.RolloutOrder) error {
	service := c.Services[o.Service]
	switch {
	case service == nil:
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no service %q is configured", o.Service)
	case service.Upstreams != optext.Announced:
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "the upstreams of service %s do not announce themselves, so their versions are not known", o.Service)
	case o.Target == "":
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "the order names no target version")
	case o.Span <= 0 || o.Span > MaxRolloutSpan:
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "a span of %s is not above zero and at most %s", o.Span, MaxRolloutSpan)
	}
	return nil
}

// AbortRollout rolls back a running rollout.
func (s *Service) AbortRollout(ctx context.Context, service, author string) (*wire.RolloutResult, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	current := s.cluster.View().Rollouts.Of(service)
	if !current.Running() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no roll-out of service %q is running", service)
	}
	return s.proposeRolloutStep(ctx, &wire.RolloutStep{Service: service, Base: current.Revision, State: wire.RolloutRolledBack, Reason: "aborted by " + author})
}

// RolloutRequest is a request for the rollout of a service.
type RolloutRequest struct {
	Service string `json:"service"`
}

// readRollout is a linearizable read of a service's rollout.
func (s *Service) readRollout(ctx context.Context, q *RolloutRequest) (*wire.Rollout, error) {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return nil, s.leaderError(err)
	}
	r := s.cluster.View().Rollouts.Of(q.Service)
	if r.Order == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "there was no roll-out of service %q", q.Service)
	}
	return &r, nil
}

// VersionsRequest is a request for the recent software versions of a service.
type VersionsRequest struct {
	Service string `json:"service"`
}

// VersionsReply lists the software versions of a service's upstreams, with those that have gone some time ago.
type VersionsReply struct {
	Versions []string `json:"versions"`
	Complete bool     `json:"complete"` // false: there may have been others
}

// readVersions is a linearizable read of the recent software versions of a service.
func (s *Service) readVersions(ctx context.Context, q *VersionsRequest) (*VersionsReply, error) {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return nil, s.leaderError(err)
	}
	reply := &VersionsReply{}
	reply.Versions, reply.Complete = s.cluster.View().RecentVersions(q.Service)
	return reply, nil
}

// Rollouts returns the rollouts that this process has applied.
func (s *Service) Rollouts() wire.Rollouts { return s.cluster.View().Rollouts }

// reportRollout adds a process's counts to the running rollouts.
func (s *Service) reportRollout(_ context.Context, report *wire.RolloutReport) (*Empty, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	view, now := s.cluster.View(), s.clock.Now()
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	for _, c := range report.Counts {
		if r := view.Rollouts.Of(c.Service); r.Running() && r.Order == c.Order {
			s.rollouts.progress(r, view, now).judge.Add(now, report.From, c.Counts)
		}
	}
	return &Empty{}, nil
}

// progress returns the state of a running rollout, which it creates if needed.
func (t *rolloutTracker) progress(r wire.Rollout, v *state.View, now time.Time) *trackedRollout {
	j := t.byService[r.Service]
	if j == nil || j.order != r.Order {
		passed := time.Duration(now.UnixMilli()-r.Started) * time.Millisecond
		left := rollout.RemainingTime(r.Span, passed, reporters(v.Members))
		j = &trackedRollout{order: r.Order, judge: rollout.NewAnalyzer(r.Target), ends: now.Add(left), startedLate: left > r.Span-passed}
		if t.byService == nil {
			t.byService = map[string]*trackedRollout{}
		}
		t.byService[r.Service] = j
	}
	return j
}

// runRollouts lets the leader advance running rollouts.
func (s *Service) runRollouts(ctx context.Context) {
	periodic.Run(ctx, s.clock, rolloutInterval, func() {
		view := s.cluster.View()
		if !view.Rollouts.AnyRunning() || !s.cluster.IsLeader() {
			s.rollouts.reset()
			return
		}
		for _, r := range view.Rollouts.List {
			if step := s.nextRolloutStep(r, view); step != nil {
				s.applyRolloutStep(ctx, step)
			}
		}
	})
}

// reset discards all counts. Processes report them again to the next leader.
func (t *rolloutTracker) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byService = nil
}

// nextRolloutStep returns the next step of a rollout, or nil.
func (s *Service) nextRolloutStep(r wire.Rollout, view *state.View) *wire.RolloutStep {
	if !r.Running() {
		return nil
	}
	now := s.clock.Now()
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	j := s.rollouts.progress(r, view, now)
	heard := rollout.Evidence{Verdict: j.judge.Verdict(), Target: j.judge.Target.Answers, Baseline: j.judge.Baseline.Answers, LateLeader: j.startedLate}
	return rollout.NextStep(r, j.ends.Sub(now), heard,
		countUpstreams(r, view.Members), rollout.Limits{Share: s.set.Control.RolloutShare})
}

// reporters counts the processes that report counts.
func reporters(members map[wire.MemberID]wire.Member) int {
	n := 0
	for _, m := range members {
		if m.Peer != "" {
			n++
		}
	}
	return n
}

// countUpstreams counts the upstreams with the target version and those with other versions.
func countUpstreams(r wire.Rollout, members map[wire.MemberID]wire.Member) rollout.Upstreams {
	var up rollout.Upstreams
	for _, m := range members {
		switch {
		case m.Service != r.Service || m.Role != wire.AnnouncedRole || m.Leaving:
		case m.Version == r.Target:
			up.Target++
		default:
			up.Baseline++
		}
	}
	return up
}

// applyRolloutStep proposes a step. A step that fails to commit is computed again.
func (s *Service) applyRolloutStep(ctx context.Context, step *wire.RolloutStep) {
	ctx, cancel := context.WithTimeout(ctx, stallThreshold/2)
	defer cancel()
	if _, err := s.proposeRolloutStep(ctx, step); err != nil {
		s.log.Info("rollout step not committed", "service", step.Service, "state", step.State, "error", err.Error())
	}
}

func (s *Service) proposeRolloutStep(ctx context.Context, step *wire.RolloutStep) (*wire.RolloutResult, error) {
	res, err := s.cluster.Propose(ctx, state.Command{StepRollout: step})
	if err != nil {
		return nil, s.leaderError(err)
	}
	r := res.Rollout
	if r.Refusal != wire.RolloutAccepted {
		return nil, verdict.New(verdict.NotRun, verdict.CodeKeyConflict, "the roll-out of service %s has moved on to revision %d", step.Service, r.Rollout.Revision)
	}
	s.log.Info("rollout step committed", "service", step.Service, "target", r.Rollout.Target, "state", r.Rollout.State, "share", r.Rollout.Share, "revision", r.Rollout.Revision, "reason", step.Reason)
	s.ring.Record(timeline.Event{Kind: timeline.Kind("rollout-" + r.Rollout.State), Detail: step.Service + " to " + r.Rollout.Target + ": " + step.Reason})
	return r, nil
}
