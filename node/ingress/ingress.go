// Package ingress decides which new connections of callers a process takes. A load balancer may send most of them to few
// processes, which then get more than their link or their processor can serve, while others are idle. A connection that is
// closed before its call was read costs its caller a round trip: the caller may try again at another process, whatever the
// call does.
package ingress

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/control"
	"caperdrum.org/node/discovery"
	"caperdrum.org/node/internal/boottime"
	"caperdrum.org/node/peer"
)

// methodProbe is the peer method of probes.
const methodProbe = "ingress.probe"

const (
	// calmInterval and busyInterval are the times between probes, while round trips take up to probeFasterFrom longer than
	// usual and while they take more. There are none while no calls arrive.
	calmInterval    = 500 * time.Millisecond
	busyInterval    = 100 * time.Millisecond
	probeFasterFrom = 8 * time.Millisecond
	probeTimeout    = time.Second
	// maxNearTargets and maxFarTargets bound the processes of the same and of other data centres that are probed, and with
	// them the connections between processes.
	maxNearTargets = 5
	maxFarTargets  = 3
	// retryInterval is the time between two probes of a process that does not answer.
	retryInterval = time.Second
	// evaluateInterval is the shortest time between two readings of the load.
	evaluateInterval = 50 * time.Millisecond
	// reportInterval is the time between two log lines on refused connections.
	reportInterval = time.Second
)

// Params are the dependencies of New.
type Params struct {
	dig.In
	Log        logr.Logger
	Dial       peer.Dialer
	ConfigSync *configsync.Service `name:"configsync"`
	Discovery  *discovery.Service  `name:"discovery"`
	Control    *control.Service    `name:"control" optional:"true"`
}

// reason is why a connection is refused. Its text is a label of metrics and logs.
type reason string

const (
	reasonCongested   reason = "congested"   // this process cannot serve more calls; see limiter
	reasonMemory      reason = "memory"      // the calls in progress take all memory that bodies may use
	reasonDescriptors reason = "descriptors" // callers have as many connections as this process may have for them
)

// Service measures whether this process is congested and limits the connections that it takes. It is safe for concurrent
// use.
type Service struct {
	log            logr.Logger
	dial           peer.Dialer
	clock          clockwork.Clock
	maxConnections int
	wake           chan struct{} // has a token when calls have arrived since the last probe
	ctx            context.Context
	cancel         context.CancelFunc

	mu          sync.Mutex
	processes   []wire.Member
	targets     []*target
	next        int // counts the probes of targets that answer
	congestion  *congestion
	last        load // last reading, at evaluated
	limiter     limiter
	canary      *canary           // nil before Start
	connections map[string]*waits // of calls for connections to upstreams, by service
	evaluated   time.Time
	loweredAt   time.Time // when the limit was lowered last; what was measured before does not count
	counts      counts
	refused     refusals
}

// target is a process that is probed.
type target struct {
	member   wire.Member
	client   *peer.Client
	probedAt time.Time
}

// probeReply is the answer to a probe.
type probeReply struct {
	Congested bool `json:"congested,omitempty"`
}

// New returns the service and registers its method with the process's peer server.
func New(p Params) *Service {
	s := newService(p.Log, p.Dial, boottime.System(), maxCallerConnections())
	server := p.Discovery.Server()
	if server == nil {
		server = p.Control.Server()
	}
	s.register(server)
	p.ConfigSync.OnChange(func(v *configsync.View) { s.setProcesses(p.ConfigSync.Self(), v.Proxies) })
	return s
}

func newService(log logr.Logger, dial peer.Dialer, clock clockwork.Clock, maxConnections int) *Service {
	s := &Service{log: log, dial: dial, clock: clock, maxConnections: maxConnections, wake: make(chan struct{}, 1), congestion: newCongestion(), counts: newCounts(), connections: map[string]*waits{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *Service) register(server *peer.Server) {
	peer.Handle(server, methodProbe, func(context.Context, *struct{}) (*probeReply, error) {
		return &probeReply{Congested: s.Congested()}, nil
	})
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	c, err := newCanary(s.clock)
	if err != nil {
		return errors.Trace(err)
	}
	s.mu.Lock()
	s.canary = c
	s.mu.Unlock()
	go s.run()
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		t.client.Close()
	}
	s.targets = nil
	if s.canary != nil {
		s.canary.close()
	}
	return nil
}

// Congested reports whether calls wait too long here for this process to take more of them. A process to which no calls
// come is not congested, whatever its last reading was.
func (s *Service) Congested() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Since(s.evaluated) <= unlimitedAfter && (s.limiter.limited() || s.last.delay() > maxDelay)
}

// Limited reports whether this process turns away callers, so that those with open connections should leave too.
func (s *Service) Limited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.limited()
}

// NoteConnectionWait records how long a call waited for one of the connections that this process may have to the upstreams
// of a service.
func (s *Service) NoteConnectionWait(service string, took time.Duration) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.connections[service]
	if w == nil {
		w = new(waits)
		s.connections[service] = w
	}
	w.add(now, took)
}

// setProcesses applies a member list of the processes.
func (s *Service) setProcesses(self wire.Member, processes []wire.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if configsync.SameList(s.processes, processes) {
		return
	}
	s.processes = processes
	chosen := chooseTargets(self, processes)
	previous := s.targets
	s.targets = nil
	for _, m := range chosen {
		i := slices.IndexFunc(previous, func(t *target) bool { return t.member.Start() == m.Start() })
		if i >= 0 {
			s.targets = append(s.targets, previous[i])
			previous = slices.Delete(slices.Clone(previous), i, i+1)
			continue
		}
		s.targets = append(s.targets, &target{member: m, client: peer.NewClient(m.Peer, s.dial)})
	}
	for _, t := range previous {
		t.client.Close()
	}
	s.congestion.setTargets(self.DataCenter, chosen)
}

// chooseTargets returns the processes to probe: ones of the same data centre, to which the load balancer sends the callers
// that are turned away here, and some of other data centres, in case those are lost. Different processes probe different
// ones.
func chooseTargets(self wire.Member, processes []wire.Member) []wire.Member {
	var near, far []wire.Member
	for _, m := range processes {
		switch {
		case m.ID == self.ID || m.Leaving || m.Peer == "":
		case m.DataCenter == self.DataCenter:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	byHash := func(list []wire.Member) []wire.Member {
		hash := func(m wire.Member) uint64 { return xxhash.Sum64String(string(self.ID) + "/" + string(m.ID)) }
		slices.SortFunc(list, func(a, b wire.Member) int {
			if hash(a) < hash(b) {
				return -1
			}
			return 1
		})
		return list
	}
	near, far = byHash(near), byHash(far)
	return append(near[:min(len(near), maxNearTargets)], far[:min(len(far), maxFarTargets)]...)
}

// run probes other processes while calls arrive.
func (s *Service) run() {
	for {
		select {
		case <-s.wake:
		case <-s.ctx.Done():
			return
		}
		for _, t := range s.nextTargets() {
			go s.probe(t)
		}
		select {
		case <-s.clock.After(s.probeInterval()):
		case <-s.ctx.Done():
			return
		}
	}
}

// requestProbe has run probe now, or when the time between probes is over.
func (s *Service) requestProbe() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// nextTargets returns the processes to probe now: one in turn of those that answer, and those of which nothing is known.
func (s *Service) nextTargets() []*target {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out, answering []*target
	for _, t := range s.targets {
		if s.congestion.known(now, t.member.ID) {
			answering = append(answering, t)
		} else if now.Sub(t.probedAt) >= retryInterval {
			out = append(out, t)
		}
	}
	if len(answering) > 0 {
		s.next++
		out = append(out, answering[s.next%len(answering)])
	}
	for _, t := range out {
		t.probedAt = now
	}
	return out
}

// probe asks a process for an answer and records how long it took.
func (s *Service) probe(t *target) {
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	var reply probeReply
	began := s.clock.Now()
	err := t.client.CallWithin(ctx, methodProbe, struct{}{}, &reply)
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil || answeredWithError(err):
		probesVar.Add("answered", 1)
		s.congestion.answered(now, t.member.ID, now.Sub(began), reply.Congested)
	case ctx.Err() == nil:
		probesVar.Add("unreachable", 1)
		s.congestion.outOfReach(t.member.ID)
	default:
		probesVar.Add("unanswered", 1)
	}
}

// evaluate reads the load and applies it to the limit, at most once in evaluateInterval. It is called where connections
// arrive, as a goroutine of its own would run late when the processor is what is short. The caller must hold the lock.
func (s *Service) evaluate(now time.Time) {
	if now.Sub(s.evaluated) < evaluateInterval {
		return
	}
	s.evaluated = now
	l := s.congestion.load(now, s.loweredAt)
	if s.canary != nil {
		processor, known := s.canary.median(now, s.loweredAt)
		l.processor, l.known = processor, l.known || known
	}
	for service, w := range s.connections {
		connections, known := w.median(now, s.loweredAt)
		l.connections, l.known = max(l.connections, connections), l.known || known
		if len(*w) == 0 {
			delete(s.connections, service)
		}
	}
	s.last = l
	s.last = l
	was, inProgress := s.limiter.limited(), s.counts.inProgress()
	if s.limiter.update(now, l, inProgress) {
		s.loweredAt = now
	}
	roundTripVar.Set(l.roundTrip.Microseconds())
	processorVar.Set(l.processor.Microseconds())
	connectionsVar.Set(l.connections.Microseconds())
	limitVar.Set(int64(s.limiter.limit))
	if limited := s.limiter.limited(); limited != was {
		s.log.Info("connections limited", "limited", limited, "round_trip", l.roundTrip, "processor_wait", l.processor, "connection_wait", l.connections, "room_elsewhere", l.roomElsewhere, "calls_in_progress", inProgress, "limit", int(s.limiter.limit))
	}
	s.reportRefused(now)
}

// probeInterval returns the time until the next probe.
func (s *Service) probeInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter.limited() || s.congestion.latest > probeFasterFrom {
		return busyInterval
	}
	return calmInterval
}

// measure begins a measurement of the processor and evaluates those that have ended. The caller must hold the lock.
func (s *Service) measure(now time.Time) {
	if s.canary != nil {
		s.canary.start(now)
	}
	s.evaluate(now)
}

// take decides on a new connection of a caller, which it counts if it is taken. MemoryFull says that there is no memory
// for further bodies.
func (s *Service) take(c net.Conn, memoryFull bool) bool {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.measure(now)
	var why reason
	switch {
	case s.maxConnections > 0 && s.counts.open() >= s.maxConnections:
		why = reasonDescriptors
	case memoryFull && now.Sub(s.limiter.lastTaken) < minInterval:
		why = reasonMemory
	case !s.limiter.admits(now, s.counts.inProgress()):
		why = reasonCongested
	default:
		s.limiter.lastTaken = now
		takenVar.Add(1)
		s.counts.opened(c)
		return true
	}
	refusedVar.Add(string(why), 1)
	s.refused.add(why)
	s.requestProbe()
	s.reportRefused(now)
	return false
}
