// Package ingress decides which new connections of callers a process takes. A load balancer may send most of them to few
// processes, which then get more than their link or their processor can serve, while others are idle. A connection that is
// closed before its call was read costs its caller a round trip: the caller may try again at another process, whatever the
// call does.
package ingress

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/connlimit"
	"caperdrum.org/node/control"
	"caperdrum.org/node/discovery"
	"caperdrum.org/node/internal/boottime"
	"caperdrum.org/node/peer"
)

const (
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

// New returns the service and registers its method with the process's peer server.
func New(p Params) *Service {
	s := newService(p.Log, p.Dial, boottime.System(), maxCallerConnections())
	s.register(control.PeerServer(p.Discovery, p.Control))
	p.ConfigSync.OnChange(func(v *configsync.View) { s.setProcesses(p.ConfigSync.Self(), v.Proxies) })
	return s
}

func newService(log logr.Logger, dial peer.Dialer, clock clockwork.Clock, maxConnections int) *Service {
	s := &Service{log: log, dial: dial, clock: clock, maxConnections: maxConnections, wake: make(chan struct{}, 1), congestion: newCongestion(), counts: newCounts(), connections: map[string]*waits{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
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
		if connections > l.connections {
			l.connections, l.service = connections, service
		}
		l.known = l.known || known
		if len(*w) == 0 {
			delete(s.connections, service)
		}
	}
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
		s.log.Info("connections limited", "limited", limited, "round_trip", l.roundTrip, "processor_wait", l.processor, "connection_wait", l.connections, "service", l.service, "room_elsewhere", l.roomElsewhere, "calls_in_progress", inProgress, "limit", int(s.limiter.limit))
	}
	s.reportRefused(now)
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
	case !s.makeRoom(now):
		why = reasonDescriptors
	case memoryFull && now.Sub(s.limiter.lastTaken) < minInterval:
		why = reasonMemory
	case !s.limiter.admits(now, s.counts.inProgress()):
		why = reasonCongested
	default:
		takenVar.Add(1)
		s.counts.opened(c, now)
		return true
	}
	refusedVar.Add(string(why), 1)
	s.refused.add(why)
	s.requestProbe()
	s.reportRefused(now)
	return false
}

// makeRoom reports whether callers may have one more connection. If they have all, an idle one is closed for it. The caller
// must hold the lock.
func (s *Service) makeRoom(now time.Time) bool {
	if s.maxConnections <= 0 || s.counts.open() < s.maxConnections {
		return true
	}
	idle := s.counts.takeIdle(now)
	if idle == nil {
		return false
	}
	idleClosedVar.Add(1)
	connlimit.Unwrap(idle).Close() // below TLS, whose own close may wait for its caller
	return true
}
