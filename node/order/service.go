package order

import (
	"context"
	"expvar"
	"reflect"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/gate"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/settings"
)

// Params are the dependencies of the Service.
type Params struct {
	dig.In
	Settings *settings.Settings
	Log      logr.Logger
	Ring     *timeline.Ring
	Dial     peer.Dialer
	Sync     *configsync.Service `name:"configsync"`
	Gate     *gate.Service       `name:"gate"`
}

// Service executes the control leader's orders at one upstream.
type Service struct {
	settings settings.AgentRole
	log      logr.Logger
	ring     *timeline.Ring
	sync     *configsync.Service
	gate     *gate.Service
	control  *peer.LeaderClient
	engine   *engine
	cancel   context.CancelFunc
	done     chan struct{}
	wakeup   chan struct{} // requests a poll at once: an order ended, the configuration changed or a hint arrived

	// Owned by run.
	meter       usageMeter
	takesOrders bool            // the upstream takes orders
	lastRefresh time.Time       // when the engine's state was last read
	lastPoll    *wire.OrderPoll // the last poll that a leader answered, or nil
	lastPollAt  time.Time       // when it was sent

	refreshMu sync.Mutex // serializes refresh: an older state must not overwrite a newer one

	mu         sync.Mutex
	dispatcher *Dispatcher
	state      wire.EngineState
	draining   bool
}

const (
	gateCheckInterval   = time.Second      // between two checks of the gate's load, which are local
	engineCheckInterval = 2 * time.Second  // between two reads of the engine's state
	maxPollInterval     = 10 * time.Second // between two polls without a change
	pollTimeout         = 5 * time.Second
	drainCheckInterval  = 20 * time.Millisecond
)

var (
	passedVar = expvar.NewInt("orders_passed")
	failedVar = expvar.NewInt("orders_failed")
)

// New returns the Service. It polls at once when the configuration changes or a hint arrives.
func New(p Params) *Service {
	s := &Service{settings: p.Settings.Agent, log: p.Log, ring: p.Ring, sync: p.Sync, gate: p.Gate,
		control: peer.NewLeaderClient(p.Settings.Peers.Control, p.Dial), engine: newEngine(p.Settings.Agent.Upstream),
		done: make(chan struct{}), wakeup: make(chan struct{}, 1), dispatcher: NewDispatcher(wire.MemberID(p.Settings.Node.Name))}
	version := uint64(0)
	p.Sync.OnChange(func(v *configsync.View) {
		if v.Version != version {
			version = v.Version
			s.wake()
		}
	})
	p.Sync.OnHint(s.wake)
	return s
}

func (s *Service) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.refresh(ctx)
	go s.run(ctx)
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	<-s.done
	s.control.Close()
	return nil
}

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(gateCheckInterval)
	defer ticker.Stop()
	for woken := true; ; {
		s.tick(ctx, woken)
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
			woken = true
		case <-ticker.C:
			woken = false
		}
	}
}

// tick polls the leader if there is something to report or to fetch.
func (s *Service) tick(ctx context.Context, woken bool) {
	if now := time.Now(); woken || now.Sub(s.lastRefresh) >= engineCheckInterval {
		s.lastRefresh, s.takesOrders = now, s.refresh(ctx)
	}
	p := s.buildPoll()
	held, waking := s.meter.advance(time.Now(), p.Engine)
	heldVar.Add(held)
	wakeVar.Add(waking)
	if !s.takesOrders || !woken && !s.pollDue(p) {
		return
	}
	if err := s.sendPoll(ctx, p); err != nil {
		s.lastPoll = nil
		s.log.V(logging.Detail).Info("cannot poll for orders", "error", err.Error())
	}
}

// pollDue reports whether p differs from what the leader knows, an order is ready to fetch, or the last poll
// is long ago.
func (s *Service) pollDue(p *wire.OrderPoll) bool {
	return s.lastPoll == nil || time.Since(s.lastPollAt) >= maxPollInterval || s.sync.Hint().Fence > p.Seen || !reflect.DeepEqual(p, s.lastPoll)
}

// refresh reads the engine's state, announces the artifacts that it holds and parks or unparks the gate. It
// reports whether the upstream takes orders. An unreachable engine keeps its last state but counts as busy:
// its health check decides whether it gets traffic.
func (s *Service) refresh(ctx context.Context) bool {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	var st wire.EngineState
	var err error
	if s.hasModels() {
		st, err = s.engine.state(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		st = s.state
		st.Busy = true
	}
	s.state = st
	s.sync.SetHolds(wire.JoinArtifacts(st.Holds))
	s.gate.SetModelUnavailable(st.TakesOrders && (len(st.Holds) == 0 || s.draining))
	return st.TakesOrders
}

// hasModels reports whether the configuration names models for the service.
func (s *Service) hasModels() bool {
	v := s.sync.View()
	if v == nil {
		return false
	}
	sv := v.Config.Services[s.settings.Service]
	return sv != nil && len(sv.Models) > 0
}

func (s *Service) buildPoll() *wire.OrderPoll {
	t := s.gate.Traffic()
	p := &wire.OrderPoll{Service: s.settings.Service, Incarnation: s.sync.Self().Incarnation, Arrived: t.Arrived,
		Queued: t.Queued, InFlight: t.InFlight, Limit: t.Limit}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Engine = s.state
	s.dispatcher.FillPoll(p)
	return p
}

// sendPoll sends p and starts the order in the reply, if any.
func (s *Service) sendPoll(ctx context.Context, p *wire.OrderPoll) error {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := time.Now()
	var reply wire.OrderPollReply
	if err := s.control.CallLeader(callCtx, wire.MethodOrders, p, &reply); err != nil {
		return errors.Trace(err)
	}
	s.lastPoll, s.lastPollAt = p, sent
	s.mu.Lock()
	o := s.dispatcher.HandleReply(p, &reply, time.Since(sent), s.state.Busy)
	s.mu.Unlock()
	if o != nil {
		go s.executeOrder(ctx, o)
	}
	if !p.Established {
		s.wake() // the reply has set the fence; an order may be waiting
	}
	return nil
}

// executeOrder executes one order and records its outcome. An order other than a load, which may take a model
// away, waits until the gate's attempts have ended.
func (s *Service) executeOrder(ctx context.Context, o *wire.Order) {
	s.log.Info("executing order", "token", o.Token, "kind", o.Kind, "artifact", o.Artifact.String(), "role", o.Role)
	s.ring.Record(timeline.Event{Kind: "order-passed", Detail: string(o.Kind) + " " + o.Artifact.String() + o.Role})
	passedVar.Add(1)
	err := s.drain(ctx, o)
	if err == nil {
		err = s.engine.execute(ctx, o)
	}
	if ctx.Err() != nil {
		return // the agent is stopping: its next start reads the outcome from the engine
	}
	s.setDraining(false)
	s.refresh(ctx) // before the outcome is recorded, so that no poll combines it with an older state
	state, detail := wire.OrderDone, ""
	if err != nil {
		failedVar.Add(1)
		state, detail = wire.OrderFailed, err.Error()
		s.log.Info("order failed", "token", o.Token, "error", detail)
	}
	s.mu.Lock()
	s.dispatcher.Finish(o.Token, state, detail)
	s.mu.Unlock()
	s.wake()
}

func (s *Service) setDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
	if draining {
		s.gate.SetModelUnavailable(true)
	}
}

func (s *Service) drain(ctx context.Context, o *wire.Order) error {
	if o.Kind == wire.OrderLoad {
		return nil
	}
	s.setDraining(true)
	deadline := time.Now().Add(o.Timeout)
	for {
		t := s.gate.Traffic()
		if t.Queued+t.InFlight == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("%d attempts did not end in time", t.Queued+t.InFlight)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainCheckInterval):
		}
	}
}
