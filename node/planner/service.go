package planner

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/dig"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/control"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/replica"
	"caperdrum.org/node/state"
)

// Params are the dependencies of the Service.
type Params struct {
	dig.In
	Log     logr.Logger
	Ring    *timeline.Ring
	Control *control.Service `name:"control"`
}

// Service runs a Planner while this process is the control leader.
type Service struct {
	log     logr.Logger
	ring    *timeline.Ring
	control *control.Service
	replica *replica.Replica
	start   time.Time
	cancel  context.CancelFunc
	wakeup  chan struct{}

	mu     sync.Mutex
	term   uint64 // leadership term to which the fields below belong
	polls  map[wire.MemberID]*agentPoll
	misses map[string]int64

	// Owned by run.
	planner    *Planner
	storeRetry time.Time // loads wait until then, as the weight store's budget was used up
	lastStep   time.Time
	cfg        *optext.Config // version of cfg
	cfgVersion uint64
}

// agentPoll is the last report of one agent.
type agentPoll struct {
	wire.OrderPoll
	at              time.Time
	countedArrivals int64 // part of Arrived that a plan has counted
	reportsPending  bool  // its order reports are being replicated
}

const (
	stepInterval = time.Second
	minStepPause = 100 * time.Millisecond // minimum time between two plans
	// pollExpiry is the age from which a report is ignored. An idle agent reports every 10 s; one that has
	// died loses its lease much sooner.
	pollExpiry     = 25 * time.Second
	proposeTimeout = 2 * time.Second
)

var (
	issuedVar  = expvar.NewInt("orders_issued")
	endedVar   = expvar.NewMap("orders_ended")        // by state
	heldVar    = expvar.NewMap("engine_seconds_held") // by service: engine-seconds in which an engine held a model
	targetVar  = expvar.NewMap("engines_wanted")      // by service
	refusedVar = expvar.NewMap("orders_refused")      // by reason
)

// New returns the Service and registers its methods with the control role's server.
func New(p Params) *Service {
	s := &Service{log: p.Log, ring: p.Ring, control: p.Control, replica: p.Control.Replica(), start: time.Now(), wakeup: make(chan struct{}, 1)}
	s.reset(0)
	peer.Handle(p.Control.Server(), wire.MethodOrders, s.poll)
	peer.Handle(p.Control.Server(), wire.MethodDemand, s.demand)
	return s
}

func (s *Service) reset(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term, s.polls, s.misses = term, map[wire.MemberID]*agentPoll{}, map[string]int64{}
	s.planner, s.lastStep = NewPlanner(), time.Time{}
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.run(ctx)
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wakeup:
			time.Sleep(minStepPause)
		}
		status := s.replica.Status()
		if !s.replica.IsLeader() {
			continue
		}
		if status.Term != s.term {
			s.reset(status.Term)
		}
		s.step(ctx, status.Term)
	}
}

func (s *Service) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// poll records an agent's report and returns its open order, if any. The reply is built after a read barrier,
// so a leader that is cut off from its quorum never returns an order.
func (s *Service) poll(ctx context.Context, req *wire.OrderPoll) (*wire.OrderPollReply, error) {
	if !s.replica.IsLeader() {
		return nil, s.control.NotLeader()
	}
	if err := s.replicateReports(ctx, req); err != nil {
		return nil, s.control.LeaderError(err)
	}
	s.storePoll(req)
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return nil, s.control.LeaderError(err)
	}
	return buildReply(s.replica.View(), req, time.Now()), nil
}

// replicateReports replicates the outcomes of orders. They must be committed before the poll that carried
// them counts as a report of the engine.
func (s *Service) replicateReports(ctx context.Context, req *wire.OrderPoll) error {
	if len(req.Reports) == 0 {
		return nil
	}
	s.mu.Lock()
	if old := s.polls[req.Upstream]; old != nil {
		old.reportsPending = true
	}
	s.mu.Unlock()
	_, err := s.replica.Propose(ctx, state.Command{Orders: &state.OrderCommand{End: req.Reports}})
	for _, r := range req.Reports {
		endedVar.Add(string(r.State), 1)
		s.ring.Record(timeline.Event{Kind: "order-ended", Detail: string(r.Upstream) + " " + string(r.State) + " " + r.Detail})
	}
	return err
}

func (s *Service) storePoll(req *wire.OrderPoll) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.polls[req.Upstream]
	next := &agentPoll{OrderPoll: *req, at: time.Now(), countedArrivals: req.Arrived}
	if old != nil {
		if old.Incarnation > req.Incarnation {
			return // a delayed message of an earlier incarnation
		}
		if old.Incarnation == req.Incarnation {
			next.countedArrivals = min(old.countedArrivals, req.Arrived)
		}
	}
	s.polls[req.Upstream] = next
	if req.Queued > 0 || len(req.Reports) > 0 || old == nil {
		s.wake()
	}
}

func buildReply(v *state.View, req *wire.OrderPoll, now time.Time) *wire.OrderPollReply {
	reply := &wire.OrderPollReply{Fence: v.Fences[req.Upstream]}
	rec := v.Orders[req.Upstream]
	if req.Established && rec.State == wire.OrderOpen && rec.Order.Token > req.Seen {
		reply.Order = &rec.Order
		reply.Age = max(0, now.Sub(time.UnixMilli(rec.Issued)))
	}
	return reply
}

func (s *Service) demand(_ context.Context, req *wire.DemandReport) (*control.Empty, error) {
	if !s.replica.IsLeader() {
		return nil, s.control.NotLeader()
	}
	s.mu.Lock()
	for service, n := range req.Misses {
		s.misses[service] += n
	}
	s.mu.Unlock()
	s.wake()
	return &control.Empty{}, nil
}
