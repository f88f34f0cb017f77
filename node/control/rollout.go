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

// Methods of roll-outs.
const (
	MethodStartRollout  = "control.rollout_start"
	MethodRollout       = "control.rollout"
	MethodReportRollout = "control.rollout_report"
)

// MaxRolloutSpan bounds how long a roll-out may take.
const MaxRolloutSpan = 24 * time.Hour

// rolloutInterval is how often the leader looks whether a running roll-out goes on.
const rolloutInterval = 100 * time.Millisecond

// rollouts are what the leader has heard of running roll-outs. A new leader begins with
// nothing; the processes report all that they have counted.
type rollouts struct {
	mu     sync.Mutex
	judges map[string]*judged // by service
}

type judged struct {
	order uint64
	judge *rollout.Judge
	ends  time.Time // by this process's clock
	late  bool      // the span was over, or nearly so, when this process began to listen
}

// StartRollout carries out an order, and returns once a quorum holds it. An order for what runs
// already joins it.
func (s *Service) StartRollout(ctx context.Context, o *wire.RolloutOrder) (*wire.RolloutResult, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	if err := s.mayRollOut(o); err != nil {
		s.log.Info("roll-out refused", "service", o.Service, "target", o.Target, "span", o.Span, "reason", err.Error())
		return nil, err
	}
	res, err := s.cluster.Propose(ctx, state.Command{StartRollout: o})
	if err != nil {
		s.log.Info("roll-out not confirmed", "service", o.Service, "target", o.Target, "error", err.Error())
		return nil, s.leaderError(err)
	}
	r := res.Rollout
	s.log.Info("roll-out ordered", "service", o.Service, "target", o.Target, "span", o.Span, "author", o.Author, "base", o.Base,
		"revision", r.Rollout.Revision, "changed", r.Changed, "refusal", r.Refusal, "replaced", r.Rollout.Replaced)
	if r.Refusal != wire.RolloutAccepted {
		return nil, verdict.New(verdict.NotRun, verdict.CodeKeyConflict, "service %s: the roll-out to version %s is %s, revision %d", o.Service, r.Rollout.Target, r.Rollout.State, r.Rollout.Revision)
	}
	if r.Changed {
		s.ring.Record(timeline.Event{Kind: "rollout-started", Detail: o.Service + " to " + o.Target})
	}
	return r, nil
}

func (s *Service) mayRollOut(o *wire.RolloutOrder) error {
	v := s.cluster.View()
	if err := s.mayOrder(v); err != nil {
		return err
	}
	config, err := s.puts.check(v.Config.Text)
	if err != nil {
		return err // an accepted text is valid
	}
	return CheckRollout(config, o)
}

// CheckRollout reports what is wrong with an order.
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

// AbortRollout rolls a running roll-out back.
func (s *Service) AbortRollout(ctx context.Context, service, author string) (*wire.RolloutResult, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	current := s.cluster.View().Rollouts.Of(service)
	if !current.Running() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no roll-out of service %q is running", service)
	}
	return s.stepRollout(ctx, &wire.RolloutStep{Service: service, Base: current.Revision, State: wire.RolloutRolledBack, Reason: "aborted by " + author})
}

// RolloutRead names the service whose roll-out is read.
type RolloutRead struct {
	Service string `json:"service"`
}

// rollout reads a service's roll-out with a quorum's confirmation.
func (s *Service) rollout(ctx context.Context, q *RolloutRead) (*wire.Rollout, error) {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return nil, s.leaderError(err)
	}
	r := s.cluster.View().Rollouts.Of(q.Service)
	if r.Order == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "there was no roll-out of service %q", q.Service)
	}
	return &r, nil
}

// Rollouts returns what this process knows of roll-outs.
func (s *Service) Rollouts() wire.Rollouts { return s.cluster.View().Rollouts }

// reportRollout takes in what a process has counted.
func (s *Service) reportRollout(_ context.Context, report *wire.RolloutReport) (*Empty, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	view, now := s.cluster.View(), s.clock.Now()
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	for _, c := range report.Counts {
		if r := view.Rollouts.Of(c.Service); r.Running() && r.Order == c.Order {
			s.rollouts.of(r, view, now).judge.Take(now, report.From, c.Counts)
		}
	}
	return &Empty{}, nil
}

// of returns what is known of a running roll-out.
func (l *rollouts) of(r wire.Rollout, v *state.View, now time.Time) *judged {
	j := l.judges[r.Service]
	if j == nil || j.order != r.Order {
		passed := time.Duration(now.UnixMilli()-r.Started) * time.Millisecond
		left := rollout.Left(r.Span, passed, reporters(v.Members))
		j = &judged{order: r.Order, judge: rollout.NewJudge(r.Target), ends: now.Add(left), late: left > r.Span-passed}
		if l.judges == nil {
			l.judges = map[string]*judged{}
		}
		l.judges[r.Service] = j
	}
	return j
}

// rolloutRun lets the leader decide about running roll-outs.
func (s *Service) rolloutRun(ctx context.Context) {
	periodic.Run(ctx, s.clock, rolloutInterval, func() {
		view := s.cluster.View()
		if !view.Rollouts.AnyRunning() || !s.cluster.IsLeader() {
			s.rollouts.forget()
			return
		}
		for _, r := range view.Rollouts.List {
			if step := s.decideRollout(r, view); step != nil {
				s.takeStep(ctx, step)
			}
		}
	})
}

// forget drops what was heard: the next leader, or the next roll-out, begins anew.
func (l *rollouts) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.judges = nil
}

// decideRollout returns the next decision about a roll-out, or nil.
func (s *Service) decideRollout(r wire.Rollout, view *state.View) *wire.RolloutStep {
	if !r.Running() {
		return nil
	}
	now := s.clock.Now()
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	j := s.rollouts.of(r, view, now)
	heard := rollout.Heard{Verdict: j.judge.Verdict(), Target: j.judge.Target.Answers, Others: j.judge.Others.Answers, Late: j.late}
	return rollout.Next(r, j.ends.Sub(now), heard,
		upstreamsOf(r, view.Members), rollout.Limits{Share: s.set.Control.RolloutShare})
}

// reporters counts the processes that report what they count.
func reporters(members map[wire.MemberID]wire.Member) int {
	n := 0
	for _, m := range members {
		if m.Peer != "" {
			n++
		}
	}
	return n
}

// upstreamsOf counts the upstreams of both sides of a roll-out.
func upstreamsOf(r wire.Rollout, members map[wire.MemberID]wire.Member) rollout.Upstreams {
	var up rollout.Upstreams
	for _, m := range members {
		switch {
		case m.Service != r.Service || m.Role != wire.AnnouncedRole || m.Leaving:
		case m.Version == r.Target:
			up.Target++
		default:
			up.Others++
		}
	}
	return up
}

// takeStep proposes a decision. One that is not confirmed is made anew.
func (s *Service) takeStep(ctx context.Context, step *wire.RolloutStep) {
	ctx, cancel := context.WithTimeout(ctx, standstill/2)
	defer cancel()
	if _, err := s.stepRollout(ctx, step); err != nil {
		s.log.Info("decision about a roll-out not confirmed", "service", step.Service, "state", step.State, "error", err.Error())
	}
}

func (s *Service) stepRollout(ctx context.Context, step *wire.RolloutStep) (*wire.RolloutResult, error) {
	res, err := s.cluster.Propose(ctx, state.Command{StepRollout: step})
	if err != nil {
		return nil, s.leaderError(err)
	}
	r := res.Rollout
	if r.Refusal != wire.RolloutAccepted {
		return nil, verdict.New(verdict.NotRun, verdict.CodeKeyConflict, "the roll-out of service %s has moved on to revision %d", step.Service, r.Rollout.Revision)
	}
	s.log.Info("roll-out decided", "service", step.Service, "target", r.Rollout.Target, "state", r.Rollout.State, "share", r.Rollout.Share, "revision", r.Rollout.Revision, "reason", step.Reason)
	s.ring.Record(timeline.Event{Kind: timeline.Kind("rollout-" + r.Rollout.State), Detail: step.Service + " to " + r.Rollout.Target + ": " + step.Reason})
	return r, nil
}
