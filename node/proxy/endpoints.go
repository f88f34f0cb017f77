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
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// fullPause is how long one that was full is passed over.
	refusalBackoff = 50 * time.Millisecond
	// silence is how long an upstream of short calls may leave all of them
	// unanswered until others are preferred. Over ten times a usual call.
	maxSilence = 400 * time.Millisecond
	// darkFor is for how long the owner's word counts that a data centre is dark.
	unreachableTTL = 2 * time.Second
	// affinitySlack is how many more calls an upstream that holds a prompt's
	// prefix may have than the next one by the same hash.
	affinitySlack = 6
)

// endpoints is what this process knows of upstreams by its own calls.
type endpoints struct {
	notices *upstream.Notices // what upstreams say themselves

	mu               sync.Mutex
	announced        map[string][]wire.Member // of the last view
	byStart          map[wire.Start]*endpoint
	direct           coldstart.Direct
	split            *rollout.Split
	unreachableUntil map[string]time.Time // data centres whose upstreams are passed over, until then
}

type endpoint struct {
	inFlight     int
	failures     int
	avoidUntil   time.Time // passed over until then
	addressTaken bool      // another upstream has its address
	removed      bool      // it is no member any more: it is forgotten with its last call
	silentSince  time.Time // since when calls are unanswered; zero when none is
}

func newEndpoints(n *upstream.Notices) *endpoints {
	return &endpoints{notices: n, byStart: map[wire.Start]*endpoint{}, split: rollout.NewSplit(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
}

// keep forgets upstreams that are no members. It returns the addresses of those that
// have started again since the last call. Services whose upstreams have not changed are passed over.
func (e *endpoints) update(announced map[string][]wire.Member) (again []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for service, before := range e.announced {
		if _, there := announced[service]; !there {
			again = append(again, e.updateService(before, nil)...)
		}
	}
	for service, list := range announced {
		if before := e.announced[service]; !configsync.SameList(before, list) {
			again = append(again, e.updateService(before, list)...)
		}
	}
	e.announced = announced
	return again
}

// replace takes over the next list of a service.
func (e *endpoints) updateService(before, list []wire.Member) (again []string) {
	before, list = configsync.ChangedPart(before, list)
	present := make(map[wire.MemberID]int, len(list))
	for i, m := range list {
		present[m.ID] = i
		if ep := e.byStart[m.Start()]; ep != nil {
			ep.removed = false
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
		if ep := e.byStart[m.Start()]; ep != nil && ep.inFlight == 0 {
			delete(e.byStart, m.Start())
		} else if ep != nil {
			ep.removed = true
		}
	}
	return again
}

// choice is what decides between upstreams.
type criteria struct {
	tried      []wire.Start
	dataCenter string        // preferred
	affinity   uint64        // hash of a prompt's shared parts; zero for none
	shortCalls bool          // calls are short, so that silence means something
	chosen     wire.MemberID // taken where nothing speaks against it; empty for none
	cold       coldPolicy
}

// coldShare is what this process may send to upstreams that are cold and that nobody chose for it.
type coldPolicy struct {
	limit  coldstart.Limit
	rate   float64 // of the service's upstreams; zero: any
	self   wire.MemberID
	nearby []string // processes in this one's data centre
}

// take picks an upstream, and counts the call as its own until release.
func (e *endpoints) acquire(list []wire.Member, c criteria, now time.Time) (wire.Member, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, found := e.pickVersion(list, c, now)
	if !found {
		return m, false
	}
	if m.ID != c.chosen {
		e.split.Sent(m.Service, m.Version)
	}
	if m.Cold && m.ID != c.chosen {
		e.direct.Count(now, string(m.ID))
	}
	ep := e.get(m.Start())
	ep.inFlight++
	if ep.silentSince.IsZero() {
		ep.silentSince = now
	}
	return m, true
}

// pick picks an upstream of the versions to which the call may go. One that the owner of the
// stages wants was counted there.
func (e *endpoints) pickVersion(list []wire.Member, c criteria, now time.Time) (wire.Member, bool) {
	if len(list) == 0 {
		return wire.Member{}, false
	}
	service := list[0].Service
	stable := e.split.Stable(service)
	if stable.Whole() {
		return e.pickBest(list, c, now)
	}
	if wanted := slices.IndexFunc(list, func(m wire.Member) bool { return m.ID == c.chosen }); wanted >= 0 {
		return e.pickBest(append(stable.Choose(list), list[wanted]), c, now)
	}
	if track := e.split.Next(service, e.split.HasTarget(service, list)); track.Target() {
		if m, ok := e.pickBest(track.Choose(list), c, now); ok {
			return m, true
		}
	}
	return e.pickBest(stable.Choose(list), c, now)
}

// hear takes over which data centres are dark, as the owner of the stages says.
func (e *endpoints) setUnreachable(dark []string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unreachableUntil = nil
	for _, dc := range dark {
		if e.unreachableUntil == nil {
			e.unreachableUntil = map[string]time.Time{}
		}
		e.unreachableUntil[dc] = now.Add(unreachableTTL)
	}
}

// follow takes over the roll-outs of a view.
func (e *endpoints) setRollouts(r wire.Rollouts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.split.Follow(r)
}

// peek returns what take would pick.
func (e *endpoints) peek(list []wire.Member, c criteria, now time.Time) (wire.Member, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pickBest(list, c, now)
}

func (e *endpoints) pickBest(list []wire.Member, c criteria, now time.Time) (wire.Member, bool) {
	best, found := -1, false
	var bestRank rank
	for i, m := range list {
		ep := e.get(m.Start())
		if ep.addressTaken || slices.Contains(c.tried, m.Start()) || !e.allowsCold(m, c, now) || !e.notices.Wants(m.Start()) {
			continue
		}
		r := e.rank(ep, m, c, now)
		if m.ID == c.chosen && !r.avoided {
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
func (e *endpoints) allowsCold(m wire.Member, c criteria, now time.Time) bool {
	if !m.Cold || c.cold.rate <= 0 || m.ID == c.chosen {
		return true
	}
	return m.DataCenter == c.dataCenter && e.direct.Allows(now, string(m.ID)) && c.cold.limit.Among(c.cold.rate, string(m.ID), string(c.cold.self), c.cold.nearby)
}

// rank orders upstreams; the least is the best.
type rank struct {
	avoided bool
	load    float64
	tie     uint64
}

func (r rank) less(o rank) bool {
	if r.avoided != o.avoided {
		return !r.avoided
	}
	if r.load != o.load {
		return r.load < o.load
	}
	return r.tie < o.tie
}

func (e *endpoints) rank(ep *endpoint, m wire.Member, c criteria, now time.Time) rank {
	r := rank{avoided: now.Before(ep.avoidUntil) || m.ID != c.chosen && now.Before(e.unreachableUntil[m.DataCenter]), load: float64(ep.inFlight)}
	if c.shortCalls && !ep.silentSince.IsZero() && now.Sub(ep.silentSince) > maxSilence {
		r.avoided = true
	}
	if c.affinity != 0 {
		r.load, r.tie = float64(ep.inFlight/affinitySlack), upstream.Weight(c.affinity, m.ID)
		return r
	}
	if m.DataCenter != c.dataCenter {
		r.load += 0.5 // of a call: another data centre costs less than waiting
	}
	r.tie = upstream.Weight(uint64(now.UnixNano()), m.ID)
	return r
}

func (e *endpoints) get(start wire.Start) *endpoint {
	ep := e.byStart[start]
	if ep == nil {
		ep = &endpoint{}
		e.byStart[start] = ep
	}
	return ep
}

// heard notes that the upstream answered something.
func (e *endpoints) noteAnswer(start wire.Start, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.get(start)
	ep.silentSince = time.Time{}
	if ep.inFlight > 1 {
		ep.silentSince = now
	}
}

// standing is what the end of a call says of the upstream.
type callOutcome int

const (
	callAnswered callOutcome = iota // it answered
	callFailed                      // it did not answer, or broke off
	callRefused                     // it refused the call
	callMoved                       // another upstream answered at its address
	callUnknown                     // the caller left, or its time was over
)

// release ends a call.
func (e *endpoints) release(start wire.Start, s callOutcome, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.get(start)
	if ep.inFlight--; ep.inFlight == 0 {
		ep.silentSince = time.Time{}
		if ep.removed {
			delete(e.byStart, start)
			return
		}
	}
	switch s {
	case callAnswered:
		ep.failures = 0
	case callFailed:
		ep.failures++
		ep.avoidUntil = now.Add(min(minBackoff<<min(ep.failures-1, 8), maxBackoff))
	case callRefused:
		ep.avoidUntil = now.Add(refusalBackoff)
	case callMoved:
		ep.addressTaken = true
	}
}

// load returns how many calls this process has at the upstream.
func (e *endpoints) callsInFlight(start wire.Start) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.get(start).inFlight
}
