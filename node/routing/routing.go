// Package routing chooses the endpoint of an attempt by a chain of small
// plugins, Filter, then Score, then Pick, over a read-only picture of the
// endpoints.
package routing

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/dig"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/settings"
)

// Endpoint is one upstream as this entry sees it. Its counters live as long
// as the agent's incarnation.
type Endpoint struct {
	Member wire.Member

	inFlight  atomic.Int64
	queued    atomic.Int64 // reported by the gate with its last answer
	running   atomic.Int64
	limit     atomic.Int64
	latency   atomic.Uint64 // float64 bits, seconds, moving average
	failures  atomic.Int64  // in a row
	ejectedTo atomic.Int64  // Unix nanoseconds
}

const (
	latencyWeight  = 0.1
	ejectFailures  = 3
	ejectTime      = 5 * time.Second
	assumedLatency = 0.05 // seconds, until one was measured
	assumedLimit   = 8
)

// InFlight returns the attempts that this entry has under way there.
func (e *Endpoint) InFlight() int64 { return e.inFlight.Load() }

// Latency returns the moving average of an attempt's time, in seconds.
func (e *Endpoint) Latency() float64 {
	if l := math.Float64frombits(e.latency.Load()); l > 0 {
		return l
	}
	return assumedLatency
}

// Limit returns the attempts that the gate runs at a time.
func (e *Endpoint) Limit() int64 {
	if l := e.limit.Load(); l > 0 {
		return l
	}
	return assumedLimit
}

// Begin counts an attempt in.
func (e *Endpoint) Begin() { e.inFlight.Add(1) }

// End counts an attempt out. Took is zero when it did not run.
func (e *Endpoint) End(ok bool, took time.Duration) {
	e.inFlight.Add(-1)
	if !ok {
		if e.failures.Add(1) >= ejectFailures {
			e.ejectedTo.Store(time.Now().Add(ejectTime).UnixNano())
		}
		return
	}
	e.failures.Store(0)
	if took <= 0 {
		return
	}
	old := math.Float64frombits(e.latency.Load())
	next := took.Seconds()
	if old > 0 {
		next = old + latencyWeight*(next-old)
	}
	e.latency.Store(math.Float64bits(next))
}

// Report takes in the load that a gate sent with an answer.
func (e *Endpoint) Report(queued, running, limit int64) {
	e.queued.Store(queued)
	e.running.Store(running)
	e.limit.Store(limit)
}

// Ejected reports whether the endpoint failed too often lately.
func (e *Endpoint) Ejected(now time.Time) bool { return e.ejectedTo.Load() > now.UnixNano() }

// Request is what the choice depends on.
type Request struct {
	Service string
	Policy  string
	Exclude map[wire.MemberID]bool // endpoints tried already
	Now     time.Time
}

// Params are what the service needs.
type Params struct {
	dig.In
	Settings *settings.Settings
	Sync     *configsync.Service `name:"configsync"`
}

// Service keeps the endpoints' counters and chooses among them.
type Service struct {
	dataCenter string
	policies   map[string]policy
	table      atomic.Pointer[table]
	mu         sync.Mutex
}

type table struct {
	byService map[string][]*Endpoint
	byID      map[wire.MemberID]*Endpoint
}

// New returns the service, which follows the members that sync publishes.
func New(p Params) *Service {
	s := &Service{dataCenter: p.Settings.Node.DataCenter}
	s.policies = policies(s.dataCenter)
	s.table.Store(&table{})
	p.Sync.OnChange(s.update)
	return s
}

func (s *Service) update(v *configsync.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.table.Load()
	next := &table{byService: map[string][]*Endpoint{}, byID: map[wire.MemberID]*Endpoint{}}
	for service, members := range v.ByService {
		for _, m := range members {
			e := old.byID[m.ID]
			if e == nil || e.Member.Incarnation != m.Incarnation || e.Member.Gate != m.Gate {
				e = &Endpoint{Member: m}
			}
			next.byService[service] = append(next.byService[service], e)
			next.byID[m.ID] = e
		}
	}
	s.table.Store(next)
}

// Choose returns an endpoint, or nil when none passes the filters.
func (s *Service) Choose(r Request) *Endpoint {
	p, ok := s.policies[r.Policy]
	if !ok {
		p = s.policies["predicted"]
	}
	candidates := filter(s.table.Load().byService[r.Service], r)
	if len(candidates) == 0 {
		return nil
	}
	return p.pick(candidates, r)
}

// Size returns how many endpoints the service has.
func (s *Service) Size(service string) int { return len(s.table.Load().byService[service]) }

func random(n int) int { return rand.IntN(n) }
