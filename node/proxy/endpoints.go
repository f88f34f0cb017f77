package proxy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/coldstart"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/upstream"
)

const (
	// pauseMin is how long an upstream is passed over after a call that failed,
	// doubled with each failure in a row up to pauseMax.
	pauseMin = 250 * time.Millisecond
	pauseMax = 4 * time.Second
	// fullPause is how long one that was full is passed over.
	fullPause = 50 * time.Millisecond
	// silence is how long an upstream of short calls may leave all of them
	// unanswered until others are preferred. Over ten times a usual call.
	silence = 400 * time.Millisecond
	// darkFor is for how long the owner's word counts that a data centre is dark.
	darkFor = 2 * time.Second
	// affinitySlack is how many more calls an upstream that holds a prompt's
	// prefix may have than the next one by the same hash.
	affinitySlack = 6
)

// endpoints is what this process knows of upstreams by its own calls.
type endpoints struct {
	notices *upstream.Notices // what upstreams say themselves

	mu     sync.Mutex
	lists  map[string][]wire.Member // of the last view
	by     map[wire.Start]*endpoint
	direct coldstart.Direct
	split  *rollout.Split
	dark   map[string]time.Time // data centres whose upstreams are passed over, until then
}

type endpoint struct {
	inFlight int
	failures int
	until    time.Time // passed over until then
	moved    bool      // another upstream has its address
	gone     bool      // it is no member any more: it is forgotten with its last call
	waiting  time.Time // since when calls are unanswered; zero when none is
}

func newEndpoints(n *upstream.Notices) *endpoints {
	return &endpoints{notices: n, by: map[wire.Start]*endpoint{}, split: rollout.NewSplit(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
}

// keep forgets upstreams that are no members. It returns the addresses of those that
// have started again since the last call. Services whose upstreams have not changed are passed over.
func (e *endpoints) keep(announced map[string][]wire.Member) (again []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for service, before := range e.lists {
		if _, there := announced[service]; !there {
			again = append(again, e.replace(before, nil)...)
		}
	}
	for service, list := range announced {
		if before := e.lists[service]; !configsync.SameList(before, list) {
			again = append(again, e.replace(before, list)...)
		}
	}
	e.lists = announced
	return again
}

// replace takes over the next list of a service.
func (e *endpoints) replace(before, list []wire.Member) (again []string) {
	before, list = configsync.ChangedPart(before, list)
	present := make(map[wire.MemberID]int, len(list))
	for i, m := range list {
		present[m.ID] = i
		if ep := e.by[m.Start()]; ep != nil {
			ep.gone = false
		}
	}
	for _, m := range before {
		i, there := present[m.ID]
		if there && list[i].Incarnation == m.Incarnation {
			continue
		}
		if there {
			again = append(again, list[i].Direct)
		}
		if ep := e.by[m.Start()]; ep != nil && ep.inFlight == 0 {
			delete(e.by, m.Start())
		} else if ep != nil {
			ep.gone = true
		}
	}
	return again
}

// choice is what decides between upstreams.
type choice struct {
	tried      []wire.Start
	dataCenter string        // preferred
	affinity   uint64        // hash of a prompt's shared parts; zero for none
	short      bool          // calls are short, so that silence means something
	wanted     wire.MemberID // taken where nothing speaks against it; empty for none
	cold       coldShare
}

// coldShare is what this process may send to upstreams that are cold and that nobody chose for it.
type coldShare struct {
	limit  coldstart.Limit
	rate   float64 // of the service's upstreams; zero: any
	self   wire.MemberID
	nearby []string // processes in this one's data centre
}

// take picks an upstream, and counts the call as its own until release.
func (e *endpoints) take(list []wire.Member, c choice, now time.Time) (wire.Member, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, found := e.pick(list, c, now)
	if !found {
		return m, false
	}
	if m.ID != c.wanted {
		e.split.Sent(m.Service, m.Version)
	}
	if m.Cold && m.ID != c.wanted {
		e.direct.Count(now, string(m.ID))
	}
	ep := e.get(m.Start())
	ep.inFlight++
	if ep.waiting.IsZero() {
		ep.waiting = now
	}
	return m, true
}

// pick picks an upstream of the versions to which the call may go. One that the owner of the
// stages wants was counted there.
func (e *endpoints) pick(list []wire.Member, c choice, now time.Time) (wire.Member, bool) {
	if len(list) == 0 {
		return wire.Member{}, false
	}
	service := list[0].Service
	stable := e.split.Stable(service)
	if stable.Whole() {
		return e.best(list, c, now)
	}
	if wanted := slices.IndexFunc(list, func(m wire.Member) bool { return m.ID == c.wanted }); wanted >= 0 {
		return e.best(append(stable.Choose(list), list[wanted]), c, now)
	}
	if track := e.split.Next(service, e.split.HasTarget(service, list)); track.Target() {
		if m, ok := e.best(track.Choose(list), c, now); ok {
			return m, true
		}
	}
	return e.best(stable.Choose(list), c, now)
}

// hear takes over which data centres are dark, as the owner of the stages says.
func (e *endpoints) hear(dark []string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dark = nil
	for _, dc := range dark {
		if e.dark == nil {
			e.dark = map[string]time.Time{}
		}
		e.dark[dc] = now.Add(darkFor)
	}
}

// follow takes over the roll-outs of a view.
func (e *endpoints) follow(r wire.Rollouts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.split.Follow(r)
}

// peek returns what take would pick.
func (e *endpoints) peek(list []wire.Member, c choice, now time.Time) (wire.Member, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.best(list, c, now)
}

func (e *endpoints) best(list []wire.Member, c choice, now time.Time) (wire.Member, bool) {
	best, found := -1, false
	var bestRank rank
	for i, m := range list {
		ep := e.get(m.Start())
		if ep.moved || slices.Contains(c.tried, m.Start()) || !e.mayWarm(m, c, now) || !e.notices.Accepts(m.Start()) {
			continue
		}
		r := e.rank(ep, m, c, now)
		if m.ID == c.wanted && !r.paused {
			return m, true
		}
		if !found || r.less(bestRank) {
			best, bestRank, found = i, r, true
		}
	}
	if !found {
		return wire.Member{}, false
	}
	return list[best], true
}

// mayWarm reports whether a call may go to the upstream as far as it is cold.
func (e *endpoints) mayWarm(m wire.Member, c choice, now time.Time) bool {
	if !m.Cold || c.cold.rate <= 0 || m.ID == c.wanted {
		return true
	}
	return m.DataCenter == c.dataCenter && e.direct.Allows(now, string(m.ID)) && c.cold.limit.Among(c.cold.rate, string(m.ID), string(c.cold.self), c.cold.nearby)
}

// rank orders upstreams; the least is the best.
type rank struct {
	paused bool
	load   float64
	tie    uint64
}

func (r rank) less(o rank) bool {
	if r.paused != o.paused {
		return !r.paused
	}
	if r.load != o.load {
		return r.load < o.load
	}
	return r.tie < o.tie
}

func (e *endpoints) rank(ep *endpoint, m wire.Member, c choice, now time.Time) rank {
	r := rank{paused: now.Before(ep.until) || m.ID != c.wanted && now.Before(e.dark[m.DataCenter]), load: float64(ep.inFlight)}
	if c.short && !ep.waiting.IsZero() && now.Sub(ep.waiting) > silence {
		r.paused = true
	}
	if c.affinity != 0 {
		r.load, r.tie = float64(ep.inFlight/affinitySlack), upstream.RendezvousWeight(c.affinity, m.ID)
		return r
	}
	if m.DataCenter != c.dataCenter {
		r.load += 0.5 // of a call: another data centre costs less than waiting
	}
	r.tie = upstream.RendezvousWeight(uint64(now.UnixNano()), m.ID)
	return r
}

func (e *endpoints) get(start wire.Start) *endpoint {
	ep := e.by[start]
	if ep == nil {
		ep = &endpoint{}
		e.by[start] = ep
	}
	return ep
}

// heard notes that the upstream answered something.
func (e *endpoints) heard(start wire.Start, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.get(start)
	ep.waiting = time.Time{}
	if ep.inFlight > 1 {
		ep.waiting = now
	}
}

// standing is what the end of a call says of the upstream.
type standing int

const (
	stood    standing = iota // it answered
	failed                   // it did not answer, or broke off
	wasFull                  // it refused the call
	wasMoved                 // another upstream answered at its address
	unknown                  // the caller left, or its time was over
)

// release ends a call.
func (e *endpoints) release(start wire.Start, s standing, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.get(start)
	if ep.inFlight--; ep.inFlight == 0 {
		ep.waiting = time.Time{}
		if ep.gone {
			delete(e.by, start)
			return
		}
	}
	switch s {
	case stood:
		ep.failures = 0
	case failed:
		ep.failures++
		ep.until = now.Add(min(pauseMin<<min(ep.failures-1, 8), pauseMax))
	case wasFull:
		ep.until = now.Add(fullPause)
	case wasMoved:
		ep.moved = true
	}
}

// load returns how many calls this process has at the upstream.
func (e *endpoints) load(start wire.Start) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.get(start).inFlight
}
