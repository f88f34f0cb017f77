package proxy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/coldstart"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/requestlimit"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/upstream"
)

const (
	// minBackoff is how long an upstream is avoided after a failed call. It doubles with each
	// consecutive failure up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// refusalBackoff is how long an upstream is avoided after it refused a call as full.
	refusalBackoff = 50 * time.Millisecond
	// maxSilence is how long an upstream of short calls may answer none of them before others are
	// preferred. It is more than ten times the usual duration of a call.
	maxSilence = 400 * time.Millisecond
	// unreachableTTL is how long the stage owner's report of an unreachable data centre counts.
	unreachableTTL = 2 * time.Second
	// affinitySlack is how many more calls the upstream that holds a prompt's prefix may have than
	// the next one by the same hash.
	affinitySlack = 6
)

// endpoints is this process's state of upstreams, learned from its own calls.
type endpoints struct {
	notices *upstream.Notices // what upstreams announce in their responses, such as pauses

	mu               sync.Mutex
	announced        map[string][]wire.Member // of the last view, by service
	byStart          map[wire.Start]*endpoint
	direct           coldstart.DirectLimiter
	denials          requestlimit.Denials // of permits for upstreams that limit their requests
	refused          map[string]int       // callers refused for want of a permit since the last request for one, by service
	split            *rollout.Splitter
	unreachableUntil map[string]time.Time        // by data centre: its upstreams are avoided until then
	queues           map[string]*connectionQueue // by service
	skippedFull      bool                        // the last pick passed over an upstream only for its number of calls
}

type endpoint struct {
	service      string
	inFlight     int
	failures     int
	avoidUntil   time.Time // avoided until then after failures and refusals
	addressTaken bool      // another upstream answered at its address
	removed      bool      // no longer a member; deleted when its last call ends
	silentSince  time.Time // start of the time without any response to its calls; zero if there is none
}

func newEndpoints(n *upstream.Notices) *endpoints {
	return &endpoints{notices: n, byStart: map[wire.Start]*endpoint{}, queues: map[string]*connectionQueue{}, refused: map[string]int{}, split: rollout.NewSplitter(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
}

// update applies the announced upstreams of a view and deletes the state of removed ones. It returns the
// addresses of upstreams that restarted since the last update. Services without changes are skipped.
func (e *endpoints) update(announced map[string][]wire.Member) (restarted []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for service, previous := range e.announced {
		if _, there := announced[service]; !there {
			restarted = append(restarted, e.updateService(previous, nil)...)
		}
	}
	for service, list := range announced {
		if previous := e.announced[service]; !configsync.SameList(previous, list) {
			restarted = append(restarted, e.updateService(previous, list)...)
		}
	}
	e.announced = announced
	return restarted
}

// updateService applies the new list of a service's upstreams.
func (e *endpoints) updateService(previous, list []wire.Member) (restarted []string) {
	previous, list = configsync.ChangedPart(previous, list)
	present := make(map[wire.MemberID]int, len(list))
	for i, m := range list {
		present[m.ID] = i
		if ep := e.byStart[m.Start()]; ep != nil {
			ep.removed = false
		}
	}
	for _, m := range previous {
		i, there := present[m.ID]
		if there && list[i].Incarnation == m.Incarnation {
			continue
		}
		if there {
			restarted = append(restarted, list[i].Direct)
		}
		if ep := e.byStart[m.Start()]; ep != nil && ep.inFlight == 0 {
			delete(e.byStart, m.Start())
		} else if ep != nil {
			ep.removed = true
		}
	}
	return restarted
}

// criteria are the inputs of the choice between upstreams.
type criteria struct {
	tried      []wire.Start
	dataCenter string        // preferred
	affinity   uint64        // hash of the prompt's shared parts; zero if none
	shortCalls bool          // calls are short, so that a silent upstream is suspicious
	chosen     wire.MemberID // by the stage owner; taken unless it is avoided; empty if none
	permitted  wire.MemberID // upstream for which the call has a permit; empty if none
	pinned     bool          // all upstreams are of the version at which the call's stream began; rollouts do not count it
	maxCalls   int           // of this process at one upstream, as each takes a connection; zero: no limit
	cold       coldPolicy
}

// coldPolicy limits the calls to cold upstreams that this process chooses by itself.
type coldPolicy struct {
	limit  coldstart.Limit
	rate   float64 // calls per second that the service's upstreams sustain; zero: no limit
	self   wire.MemberID
	nearby []string // processes in this process's data centre
}

// acquire selects an upstream and counts the call there until release. If the upstream limits its requests and
// the call has no permit, it returns needsPermit and counts nothing.
func (e *endpoints) acquire(list []wire.Member, c criteria, now time.Time) (m wire.Member, needsPermit, found bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, found = e.pick(list, c, now)
	if !found {
		return m, false, false
	}
	if e.needsPermit(m, c) {
		return m, true, true
	}
	if m.ID != c.chosen && !c.pinned {
		e.split.RecordSent(m.Service, m.Version)
	}
	if m.Cold && m.ID != c.chosen {
		e.direct.Count(now, string(m.ID))
	}
	ep := e.get(m.Start())
	ep.service = m.Service
	ep.inFlight++
	e.queue(m.Service).inUse++
	if ep.silentSince.IsZero() {
		ep.silentSince = now
	}
	return m, false, true
}

// pick selects an upstream without counting a call there. It sets skippedFull.
func (e *endpoints) pick(list []wire.Member, c criteria, now time.Time) (wire.Member, bool) {
	e.skippedFull = false
	if m, found := e.pickPermitted(list, c, now); found {
		return m, true
	}
	return e.pickVersion(list, c, now)
}

// needsPermit reports whether the upstream limits its requests and the call has no permit for it.
func (e *endpoints) needsPermit(m wire.Member, c criteria) bool {
	_, limited := e.notices.Limit(m.Start())
	return limited && m.ID != c.permitted
}

// pickVersion selects an upstream among the versions that the call may use during a rollout. An upstream
// that the stage owner chose was counted against the rollout's share there.
func (e *endpoints) pickVersion(list []wire.Member, c criteria, now time.Time) (wire.Member, bool) {
	if len(list) == 0 {
		return wire.Member{}, false
	}
	if c.pinned {
		return e.pickBest(list, c, now)
	}
	service := list[0].Service
	stable := e.split.StableTrack(service)
	if stable.Unrestricted() {
		return e.pickBest(list, c, now)
	}
	if chosen := slices.IndexFunc(list, func(m wire.Member) bool { return m.ID == c.chosen }); chosen >= 0 {
		return e.pickBest(append(stable.Filter(list), list[chosen]), c, now)
	}
	if track := e.split.NextTrack(service, e.split.HasTarget(service, list)); track.Target() {
		if m, ok := e.pickBest(track.Filter(list), c, now); ok {
			return m, true
		}
	}
	return e.pickBest(stable.Filter(list), c, now)
}

// setUnreachable sets the data centres that the stage owner reports as unreachable.
func (e *endpoints) setUnreachable(dataCenters []string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unreachableUntil = nil
	for _, dc := range dataCenters {
		if e.unreachableUntil == nil {
			e.unreachableUntil = map[string]time.Time{}
		}
		e.unreachableUntil[dc] = now.Add(unreachableTTL)
	}
}

// setRollouts applies the rollouts of a view.
func (e *endpoints) setRollouts(r wire.Rollouts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.split.Update(r)
}

// peek returns the best upstream without counting a call, whatever its version.
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
		if ep.addressTaken || slices.Contains(c.tried, m.Start()) || !e.allowsCold(m, c, now) || !e.notices.Accepts(m.Start()) {
			continue
		}
		if _, denied := e.denied(m, now); denied && m.ID != c.permitted {
			continue
		}
		if c.maxCalls > 0 && ep.inFlight >= c.maxCalls {
			e.skippedFull = true
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

// allowsCold reports whether the limits for cold upstreams allow the call.
func (e *endpoints) allowsCold(m wire.Member, c criteria, now time.Time) bool {
	if !m.Cold || c.cold.rate <= 0 || m.ID == c.chosen {
		return true
	}
	return m.DataCenter == c.dataCenter && e.direct.Allows(now, string(m.ID)) && c.cold.limit.MayCall(c.cold.rate, string(m.ID), string(c.cold.self), c.cold.nearby)
}

// rank orders upstreams; the lowest is the best.
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
		r.load, r.tie = float64(ep.inFlight/affinitySlack), upstream.RendezvousWeight(c.affinity, m.ID)
		return r
	}
	if m.DataCenter != c.dataCenter {
		r.load += 0.5 // in calls: using another data centre costs less than queueing
	}
	r.tie = upstream.RendezvousWeight(uint64(now.UnixNano()), m.ID)
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

// noteResponse records that the upstream answered a call.
func (e *endpoints) noteResponse(start wire.Start, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.get(start)
	ep.silentSince = time.Time{}
	if ep.inFlight > 1 {
		ep.silentSince = now
	}
}

// callOutcome is what the end of a call says about the upstream.
type callOutcome int

const (
	callAnswered callOutcome = iota // it answered
	callFailed                      // no response, or the connection broke
	callRefused                     // it refused the call
	callMoved                       // another upstream answered at its address
	callUnknown                     // the caller left, or the deadline passed
)

// release ends a call and applies its outcome.
func (e *endpoints) release(start wire.Start, s callOutcome, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.get(start)
	e.queue(ep.service).release()
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

// callsInFlight returns the number of this process's calls at the upstream.
func (e *endpoints) callsInFlight(start wire.Start) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.get(start).inFlight
}
