// Package routing chooses the endpoint of each attempt. A chain of small plugins filters,
// scores and picks from an immutable table of endpoints with atomic counters.
package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/dig"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/settings"
)

// Request holds the inputs of a choice.
type Request struct {
	Service string
	Policy  string
	Exclude map[wire.MemberID]bool // endpoints already tried
	Now     time.Time
	Size    int      // bytes of the prompt or body
	Prefix  []uint64 // see PrefixHashes
	Model   string
	Adapter string
	Role    string
}

// Params are the dependencies of New.
type Params struct {
	dig.In
	Settings *settings.Settings
	Sync     *configsync.Service `name:"configsync"`
}

// Service keeps the endpoints' counters and chooses among them.
type Service struct {
	entry      string
	dataCenter string
	policies   map[string]policy
	table      atomic.Pointer[table]
	mu         sync.Mutex // serializes Update
	choicePool sync.Pool
	onEmpty    func(service string)
	random     func(n int) int // returns a number in [0, n)
}

// OnEmpty registers f, which is called when the first attempt of a request finds no
// endpoint, and must not block. It must be registered before requests are served.
func (s *Service) OnEmpty(f func(service string)) { s.onEmpty = f }

type table struct {
	byService map[string]*serviceTable
	byID      map[wire.MemberID]*Endpoint
}

type serviceTable struct {
	endpoints []*Endpoint
	byIndex   map[uint16]*Endpoint
	group     *group
	ring      ring // empty for services whose endpoints cache no prefixes
}

// New returns the service, which follows the members that configsync publishes.
func New(p Params) *Service {
	s := NewTable(p.Settings.Node.Name, p.Settings.Node.DataCenter)
	p.Sync.OnChange(s.Update)
	return s
}

// NewTable returns a service for the named entry whose members are set by Update.
func NewTable(entry, dataCenter string) *Service {
	s := &Service{entry: entry, dataCenter: dataCenter, policies: policies(dataCenter), random: rand.IntN}
	s.choicePool.New = func() any { return &choice{} }
	s.table.Store(&table{byService: map[string]*serviceTable{}})
	return s
}

// Seed makes random choices reproducible, for simulations. It must be called before the
// first choice.
func (s *Service) Seed(seed uint64) {
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(seed, seed))
	s.random = func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}
}

// Update publishes the table of a new view. Endpoints whose member is unchanged except
// for the artifacts that it holds keep their counters.
func (s *Service) Update(v *configsync.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.table.Load()
	next := &table{byService: map[string]*serviceTable{}, byID: map[wire.MemberID]*Endpoint{}}
	for name, members := range v.Agents {
		sv := v.Config.Services[name]
		st := &serviceTable{group: old.groupOf(name, sv), byIndex: map[uint16]*Endpoint{}}
		size := 0
		named := map[string]bool{}
		if sv != nil {
			size = sv.Subset
			st.group.ejectionEnabled.Store(sv.Ejection)
			named = servedNames(sv.ModelList())
		}
		for _, m := range subset(members, s.entry, s.dataCenter, size) {
			e := old.byID[m.ID]
			if e == nil || !equalExceptHolds(e.Member, m) || e.group != st.group {
				st.group.nextIndex++
				e = &Endpoint{Member: m, group: st.group, index: st.group.nextIndex}
			}
			e.SetOffer(offerOf(m, named))
			st.endpoints = append(st.endpoints, e)
			st.byIndex[e.index] = e
			next.byID[m.ID] = e
		}
		st.group.endpoints.Store(&st.endpoints)
		if st.group.prefixes != nil {
			st.ring = newRing(st.endpoints)
		}
		next.byService[name] = st
	}
	s.table.Store(next)
}

func (t *table) groupOf(name string, sv *optext.Service) *group {
	if st := t.byService[name]; st != nil {
		return st.group
	}
	g := &group{}
	g.ejectionEnabled.Store(true)
	if sv != nil && optext.Kind(sv.Kind) == optext.Engine {
		g.prefixes = &prefixIndex{}
	}
	return g
}

// Size returns the number of the service's endpoints.
func (s *Service) Size(service string) int {
	if st := s.table.Load().byService[service]; st != nil {
		return len(st.endpoints)
	}
	return 0
}
