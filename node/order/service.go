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

// Params are what the service needs.
type Params struct {
	dig.In
	Settings *settings.Settings
	Log      logr.Logger
	Ring     *timeline.Ring
	Dial     peer.Dialer
	Sync     *configsync.Service `name:"configsync"`
	Gate     *gate.Service       `name:"gate"`
}

// Service carries out orders at one upstream.
type Service struct {
	set     settings.AgentRole
	log     logr.Logger
	ring    *timeline.Ring
	sync    *configsync.Service
	gate    *gate.Service
	control *peer.Control
	engine  *engine
	cancel  context.CancelFunc
	done    chan struct{}
	hurry   chan struct{} // an order ended, the text changed or a hint came: poll at once

	// Owned by run.
	meter    meter
	takes    bool            // the upstream takes orders
	looked   time.Time       // when the engine was asked last
	reported *wire.OrderPoll // the last one that a leader answered, or nil
	asked    time.Time       // when it was sent

	refreshing sync.Mutex // a picture of the engine is stored before a newer one is asked for

	mu       sync.Mutex
	carrier  *Carrier
	state    wire.EngineState
	draining bool
}

const (
	checkInterval = time.Second      // between two looks at the gate's load, which cost no message
	lookInterval  = 2 * time.Second  // between two looks at the engine
	idleReport    = 10 * time.Second // between two polls that say the same
	pollTimeout   = 5 * time.Second
	drainPause    = 20 * time.Millisecond
)

var (
	passedVar = expvar.NewInt("orders_passed")
	failedVar = expvar.NewInt("orders_failed")
)

// New returns the service.
func New(p Params) *Service {
	s := &Service{set: p.Settings.Agent, log: p.Log, ring: p.Ring, sync: p.Sync, gate: p.Gate,
		control: peer.NewControl(p.Settings.Peers.Control, p.Dial), engine: newEngine(p.Settings.Agent.Upstream),
		done: make(chan struct{}), hurry: make(chan struct{}, 1), carrier: NewCarrier(wire.MemberID(p.Settings.Node.Name))}
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
	case s.hurry <- struct{}{}:
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
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for woken := true; ; {
		s.turn(ctx, woken)
		select {
		case <-ctx.Done():
			return
		case <-s.hurry:
			woken = true
		case <-ticker.C:
			woken = false
		}
	}
}

// turn asks the leader when there is something to say or to fetch.
func (s *Service) turn(ctx context.Context, woken bool) {
	if now := time.Now(); woken || now.Sub(s.looked) >= lookInterval {
		s.looked, s.takes = now, s.refresh(ctx)
	}
	p := s.poll()
	held, waking := s.meter.advance(time.Now(), p.Engine)
	heldVar.Add(held)
	wakeVar.Add(waking)
	if !s.takes || !woken && !s.due(p) {
		return
	}
	if err := s.ask(ctx, p); err != nil {
		s.reported = nil
		s.log.V(logging.Detail).Info("no orders read", "error", err.Error())
	}
}

// due reports whether p differs from what the leader knows, there is an order
// to fetch, or the leader has not heard from here for long.
func (s *Service) due(p *wire.OrderPoll) bool {
	return s.reported == nil || time.Since(s.asked) >= idleReport || s.sync.Hint().Fence > p.Seen || !reflect.DeepEqual(p, s.reported)
}

// refresh reads what the engine holds and announces it. It reports whether the
// upstream takes orders. An engine that cannot be asked counts as busy: its
// health check decides on its traffic.
func (s *Service) refresh(ctx context.Context) bool {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
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

// hasModels reports whether the operators' text names models for the service.
func (s *Service) hasModels() bool {
	v := s.sync.View()
	if v == nil {
		return false
	}
	sv := v.Config.Services[s.set.Service]
	return sv != nil && len(sv.Models) > 0
}

func (s *Service) poll() *wire.OrderPoll {
	t := s.gate.Traffic()
	p := &wire.OrderPoll{Service: s.set.Service, Incarnation: s.sync.Self().Incarnation, Arrived: t.Arrived,
		Queued: t.Queued, InFlight: t.InFlight, Limit: t.Limit}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Engine = s.state
	s.carrier.Fill(p)
	return p
}

// ask sends p and begins the order that the answer brings.
func (s *Service) ask(ctx context.Context, p *wire.OrderPoll) error {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := time.Now()
	var reply wire.OrderPollReply
	if err := s.control.CallLeader(callCtx, wire.MethodOrders, p, &reply); err != nil {
		return errors.Trace(err)
	}
	s.reported, s.asked = p, sent
	s.mu.Lock()
	o := s.carrier.Take(p, &reply, time.Since(sent), s.state.Busy)
	s.mu.Unlock()
	if o != nil {
		go s.carryOut(ctx, o)
	}
	if !p.Established {
		s.wake() // the fence is known now: an order may wait behind it
	}
	return nil
}

// carryOut passes one order on and remembers its outcome. What takes something
// away from the engine waits until the gate's attempts have ended.
func (s *Service) carryOut(ctx context.Context, o *wire.Order) {
	s.log.Info("order passed on", "token", o.Token, "kind", o.Kind, "artifact", o.Artifact.String(), "role", o.Role)
	s.ring.Record(timeline.Event{Kind: "order-passed", Detail: string(o.Kind) + " " + o.Artifact.String() + o.Role})
	passedVar.Add(1)
	err := s.drain(ctx, o)
	if err == nil {
		err = s.engine.pass(ctx, o)
	}
	if ctx.Err() != nil {
		return // stopping: the next start learns the outcome from the engine
	}
	s.setDraining(false)
	s.refresh(ctx) // before the report, so that no poll pairs it with an old picture
	state, detail := wire.OrderDone, ""
	if err != nil {
		failedVar.Add(1)
		state, detail = wire.OrderFailed, err.Error()
		s.log.Info("order failed", "token", o.Token, "error", detail)
	}
	s.mu.Lock()
	s.carrier.Finish(o.Token, state, detail)
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
		case <-time.After(drainPause):
		}
	}
}
