package stagework

import (
	"cmp"
	"slices"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/coldstart"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/eligibility"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/upstream"
)

const (
	// maxParts bounds the prompt parts that are tracked for one engine: 40 times what an engine
	// with a cache of 320,000 tokens holds in parts of 3,000, and about 200 kB for each engine.
	maxParts = 4096
	// assignmentTTL is how long a call counts in the load of its engine if its end is never
	// reported, as when its process crashed. Three times the 90th percentile of the time to the
	// first event in a burst.
	assignmentTTL = 5 * time.Second
	// maxCandidates bounds the engines that a choice considers, besides as many that hold the
	// prompt's shared parts: a choice among 6,000 took a millisecond, and the best of 64 is on
	// average among the best sixtieth of them.
	maxCandidates = 64
	// goalFactor is how many times the expected time at an engine must fit into the time left to
	// the goal for the engine to count as in time: prompts in one queue differ widely in length,
	// and one call in ten takes twice the average.
	goalFactor = 2
)

// Prompt is what the choice of an engine needs to know of a call.
type Prompt struct {
	Service string                `json:"service"` // of which the engines are upstreams
	Parts   []upstream.PromptPart `json:"parts"`   // in order, shared parts first
	eligibility.Constraint
}

// engines chooses engines by the prefill work before a call's first event: the prompts of the
// calls queued there, and the parts of the call's own prompt that the engine has not cached.
// Shared parts are fetched from an engine that holds them where that is faster than prefilling
// them. The owner of the stage queues sees all prompts and first events; a process by itself
// sees a seventh of them in a cluster of seven. Choosing by the hash of the prefix alone gave long
// prompts 0.2 s to 0.4 s to their first event on average, and 1 s for one in ten, as prompts
// differ widely in length; their results meanwhile occupied the result memory of the stages.
type engines struct {
	members       map[string][]wire.Member // by service
	allVersions   map[string][]wire.Member // like members, and those of versions that rollouts exclude
	services      map[string]*optext.Service
	loads         map[wire.MemberID]*engineLoad
	holders       holders
	cold          coldstart.Limit   // on the calls that a cold engine gets
	nextCandidate int               // offset of the next candidates among the members
	split         *rollout.Splitter // of the calls for which this owner chooses engines
	ttft          ttftModel         // fitted over all engines
	lastStall     *stall
	reachability  *reachability // of data centres; shared with the stage queues
	permits       *permits      // shared with the stage queues
}

// engineLoad is the known state of one engine.
type engineLoad struct {
	member       wire.Member
	waiting      prefill                // of calls whose first event has not come
	calls        int                    // whose first event has not come
	parts        map[string]*promptPart // that it has cached, or will with a call sent there
	relativePace relativePace
	sendingUntil time.Time // its link is busy until then with parts sent to other engines
	failures     int
	backoffUntil time.Time // backs off until then
	coldChooser  coldstart.ChooserLimiter
}

// plan is an engine for a call, and its work before the call's first event.
type plan struct {
	engine  wire.Member   // its ID is empty if there is no engine
	prefill prefill       // of the call's prompt
	fetch   fetch         // of the other parts
	ttft    time.Duration // predicted time to the first event
}

// assignment is a call at an engine that has not started to answer.
type assignment struct {
	engine       wire.MemberID
	incarnation  uint64 // of the engine that took the call
	prefill      prefill
	prefillAhead prefill // until its first event, its own prompt included
	fetch        fetch
	sharedParts  []upstream.PromptPart // of its prompt
	sentAt       time.Time
	permitted    bool // it is within the engine's request limit
}

func newEngines() *engines {
	return &engines{loads: map[wire.MemberID]*engineLoad{}, holders: holders{}, ttft: newTTFTModel(), split: newSplit(), reachability: newReachability(), permits: newPermits(), lastStall: &stall{}}
}

// setMembers applies the current services and engines.
func (e *engines) setMembers(services map[string]*optext.Service, announced map[string][]wire.Member) {
	e.replaceLists(e.members, announced)
	e.services, e.members = services, announced
}

// setAllVersions applies the current engines with those of versions that rollouts exclude.
func (e *engines) setAllVersions(announced map[string][]wire.Member) {
	e.replaceLists(e.allVersions, announced)
	e.allVersions = announced
}

func (e *engines) replaceLists(before, after map[string][]wire.Member) {
	for service, list := range before {
		if !configsync.SameList(list, after[service]) {
			e.replaceMembers(list, after[service])
		}
	}
}

// eligible returns the engines that may take the call with the prompt. A stream that has begun goes on at its
// version, also if a rollout excludes that version from new calls.
func (e *engines) eligible(p *Prompt) []wire.Member {
	if p.Pinned() {
		return p.Filter(e.allVersions[p.Service])
	}
	return p.Filter(e.members[p.Service])
}

// replaceMembers applies a new list of a service's engines.
func (e *engines) replaceMembers(before, list []wire.Member) {
	before, list = configsync.ChangedPart(before, list)
	present := make(map[wire.MemberID]int, len(list))
	for i, m := range list {
		present[m.ID] = i
	}
	for _, m := range before {
		l := e.loads[m.ID]
		if l == nil {
			continue
		}
		if i, there := present[m.ID]; there && l.member.Start() == list[i].Start() {
			l.member = list[i]
			continue
		}
		e.holders.forget(l) // a restarted engine has an empty cache
		delete(e.loads, m.ID)
	}
}

// choose returns the engine for a prompt whose first event is due by the goal. Among the
// engines expected in time it takes the one with the least cost of prefill and transfer, else
// one that starts soon at a moderate cost. bytes are the sizes of the results that the engine
// will fetch, by data centre.
func (e *engines) choose(now, goal time.Time, p *Prompt, bytes map[string]int64) plan {
	if p.Pinned() {
		return e.chooseFromTrack(rollout.Track{}, now, goal, p, bytes)
	}
	if track := e.split.NextTrack(p.Service, e.split.HasTarget(p.Service, e.members[p.Service])); track.Target() {
		if x := e.chooseFromTrack(track, now, goal, p, bytes); x.engine.ID != "" {
			return x
		}
	}
	return e.chooseFromTrack(e.split.StableTrack(p.Service), now, goal, p, bytes)
}

// chooseFromTrack chooses among the engines of the versions that the track admits.
func (e *engines) chooseFromTrack(track rollout.Track, now, goal time.Time, p *Prompt, bytes map[string]int64) plan {
	first, sources, spec := e.defaultHolder(p), fetchSources{}, e.services[p.Service]
	all := int64(0)
	for _, n := range bytes {
		all += n
	}
	var best plan
	var least rank
	for _, l := range e.candidates(p, first, track) {
		m := l.member
		if m.Cold && spec != nil && !l.coldChooser.Allows(now, e.cold, spec.ColdRate) {
			continue
		}
		if !e.permits.available(now, m) {
			continue
		}
		missing, own := prefillOf(p.Parts, func(id string) bool { return m.ID == first || l.hasPart(id) })
		x := plan{engine: m, prefill: own}
		if f, ok := e.planFetch(now, spec, l, sources.find(e, now, p, m.Version), missing); ok {
			x.fetch, missing = f, prefill{}
		}
		x.prefill = own.plus(missing)
		x.ttft = x.fetch.duration + e.timeToFirstEvent(l, x.prefill)
		r := rank{unavailable: now.Before(l.backoffUntil) || e.reachability.blocked(now, m.DataCenter), ttft: x.ttft, id: m.ID}
		r.late = now.Add(goalFactor * x.ttft).After(goal)
		r.moved = all - bytes[m.DataCenter]
		r.cost = x.fetch.transfer + e.cost(r, l, missing, linkTime(spec, r.moved))
		if best.engine.ID == "" || r.compare(least) < 0 {
			best, least = x, r
		}
	}
	return best
}

// timeToFirstEvent predicts the time to the first event of a call with that much prefill work,
// behind the calls queued at the engine.
func (e *engines) timeToFirstEvent(l *engineLoad, read prefill) time.Duration {
	return time.Duration(l.relativePace.factor() * float64(e.ttft.timeFor(l.waiting.plus(read))))
}

// cost is the time that the choice of an engine takes of it and of callers: to prefill the missing parts, and to move the
// results that are in other data centres. For an engine that is late it includes the time that the caller waits, and
// the prefill of the missing parts counts for each call that waits behind it: as many as wait there now.
func (e *engines) cost(r rank, l *engineLoad, missing prefill, moved time.Duration) time.Duration {
	again := e.ttft.prefillTime(missing)
	if !r.late {
		return again + moved
	}
	return r.ttft + moved + time.Duration(l.calls)*again
}

// linkTime is how long an engine's link takes for that many bytes; zero where its speed is not configured.
func linkTime(spec *optext.Service, bytes int64) time.Duration {
	if spec == nil || spec.EngineLink <= 0 {
		return 0
	}
	return toDuration(float64(bytes) * 8 / float64(spec.EngineLink))
}

// rank orders engines; the least is the best.
type rank struct {
	unavailable bool
	late        bool
	cost        time.Duration
	moved       int64         // bytes of results from other data centres
	ttft        time.Duration // time to the call's first event
	id          wire.MemberID
}

func (r rank) compare(o rank) int {
	return cmp.Or(compareBool(r.unavailable, o.unavailable), compareBool(r.late, o.late), cmp.Compare(r.cost, o.cost), cmp.Compare(r.moved, o.moved), cmp.Compare(r.ttft, o.ttft), cmp.Compare(r.id, o.id))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// defaultHolder returns the engine that is assumed to hold the shared parts while none is known
// to. The choice by hash is the same for every owner and for processes that choose on their own,
// so cached parts are found again after a change of owner. It is empty when a holder is known.
func (e *engines) defaultHolder(p *Prompt) wire.MemberID {
	if len(sharedParts(p.Parts)) == 0 || len(e.holders.find(p)) > 0 {
		return ""
	}
	m, _ := upstream.SelectByPrefix(p.Parts, e.members[p.Service])
	return m.ID
}

// candidates are the engines of a prompt's service to consider: all if there are few, else the
// holders of its shared parts, its default holder, and some others in rotation.
func (e *engines) candidates(p *Prompt, first wire.MemberID, track rollout.Track) []*engineLoad {
	members := track.Filter(e.eligible(p))
	n := min(len(members), maxCandidates)
	out := make([]*engineLoad, 0, 2*n)
	if n < len(members) {
		for _, l := range e.holders.find(p) {
			if l.member.Service == p.Service && track.Allows(l.member.Version) && p.Allows(l.member) {
				out = append(out, l)
			}
		}
	}
	for i := range n {
		out = append(out, e.load(members[(e.nextCandidate+i)%len(members)]))
	}
	if n < len(members) {
		e.nextCandidate = (e.nextCandidate + n) % len(members)
		if i := slices.IndexFunc(members, func(m wire.Member) bool { return m.ID == first }); i >= 0 {
			out = append(out, e.load(members[i]))
		}
	}
	return out
}

// assign records that a call with the prompt is sent to the engine.
func (e *engines) assign(now time.Time, p *Prompt, x plan) *assignment {
	l := e.load(x.engine)
	l.waiting = l.waiting.plus(x.prefill)
	l.calls++
	l.coldChooser.Count(now)
	e.reachability.recordCall(now, x.engine.DataCenter)
	if !p.Pinned() {
		e.split.RecordSent(p.Service, x.engine.Version)
	}
	e.addParts(now, l, sharedParts(p.Parts))
	if x.fetch.source != nil {
		x.fetch.start(now)
		fetchesVar.Add(1)
	}
	return &assignment{engine: x.engine.ID, incarnation: x.engine.Incarnation, prefill: x.prefill, prefillAhead: l.waiting, fetch: x.fetch, sharedParts: sharedParts(p.Parts), sentAt: now, permitted: e.permits.takeLimited(now, x.engine)}
}

// finishAssignment records that a call no longer waits at the engine.
func (e *engines) finishAssignment(now time.Time, p *assignment, how EngineOutcome) {
	l := e.loads[p.engine]
	if l == nil || l.member.Incarnation != p.incarnation {
		return
	}
	l.waiting = l.waiting.minus(p.prefill)
	l.calls--
	switch how {
	case EngineStarted:
		e.reachability.recordAnswer(l.member.DataCenter)
		l.failures = 0
		l.markPrefilled(p.sharedParts)
		if e.lastStall.endedBefore(p.sentAt) {
			e.observe(l, p.prefillAhead, now.Sub(p.sentAt)-p.fetch.duration)
		}
	case EngineFailed:
		l.recordFailure(now)
	case EngineUnreachable:
		l.recordFailure(now)
		e.reachability.recordFailure(now, l.member)
	}
}

// observe records a measured time to a first event. Times of a cold engine are ignored, as they
// say nothing about later ones.
func (e *engines) observe(l *engineLoad, r prefill, took time.Duration) {
	if l.member.Cold {
		return
	}
	expected := e.ttft.timeFor(r).Seconds()
	e.ttft.observe(r, took.Seconds()/l.relativePace.factor())
	l.relativePace.observe(took.Seconds(), expected)
}

func (e *engines) load(m wire.Member) *engineLoad {
	l := e.loads[m.ID]
	if l == nil {
		l = &engineLoad{member: m, parts: map[string]*promptPart{}}
		e.loads[m.ID] = l
	}
	return l
}

// recordFailure makes calls avoid the engine for a while.
func (l *engineLoad) recordFailure(now time.Time) {
	l.failures++
	l.backoffUntil = now.Add(backoffAfter(l.failures))
}

func (l *engineLoad) hasPart(part string) bool { return l.parts[part] != nil }

// evictOldestPart forgets the least recently used part of an engine.
func (e *engines) evictOldestPart(l *engineLoad) {
	oldest := ""
	for id, part := range l.parts {
		if oldest == "" || part.lastUsed.Before(l.parts[oldest].lastUsed) {
			oldest = id
		}
	}
	delete(l.parts, oldest)
	e.holders.remove(oldest, l)
}
