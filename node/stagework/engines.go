package stagework

import (
	"cmp"
	"slices"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/coldstart"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/residency"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/upstream"
)

const (
	// maxParts bounds the prompt parts that are remembered of one engine: 40 times what one
	// of 320,000 tokens keeps of parts of 3,000. Some 200 kB an engine.
	maxParts = 4096
	// pickTTL is how long a pick counts for an engine whose call is never heard of again,
	// since its process died. Three times the slowest tenth of first events in a burst.
	pickTTL = 5 * time.Second
	// mostLooked bounds the engines that a choice looks at, besides as many that keep the
	// prompt's shared parts: a choice among 6,000 took a millisecond, and the best of 64 is
	// among the best sixtieth of them.
	mostLooked = 64
	// goalPart is how often a call's expected time at its engine must fit into what is left
	// of its goal for the engine to be taken as in time: prompts in the same queue are of
	// very different lengths, and one call in ten takes twice the average.
	goalPart = 2
	// readWeight is how much more a token counts that an engine has to read than one that
	// waits there, once no engine is in time: it also delays the calls that come after.
	readWeight = 3
	// leastGain is how much sooner a call must begin at an engine that has to read its
	// shared parts, once no engine is in time: about the time that a first event takes in
	// any case. It saves a tenth of the tokens that are read again, on three sites of three;
	// what callers get did not differ by more than the days do.
	leastGain = 100 * time.Millisecond
	// movedTokens is how many tokens to be read a megabyte of results counts that has to
	// come from another data centre: by the prices of one customer's sheet it costs as much.
	// Others have other prices; the text does not say them.
	movedTokens = 200
)

// Prompt is what the choice of an engine needs of a call.
type Prompt struct {
	Service string                `json:"service"` // whose upstreams the engines are
	Parts   []upstream.PromptPart `json:"parts"`   // in order, shared ones first
	Within  residency.Within      `json:"within,omitzero"`
}

// engines chooses engines by what they have to read before a call's first event: the
// prompts of calls that wait there, and what the engine has not read of its own. Shared
// parts are fetched from an engine that keeps them where that is sooner than reading. The
// owner of the stage queues hears of all prompts and of each first event; a process alone
// sees a seventh of that on a site of seven. By hash alone the first event of a long prompt
// took 0.2 s to 0.4 s on average and 1 s for one in ten, since prompts are of very different
// lengths, and their results filled the room of the stages meanwhile.
type engines struct {
	members  map[string][]wire.Member // by service
	services map[string]*optext.Service
	by       map[wire.MemberID]*engineLoad
	holders  holders
	cold     coldstart.Limit // of what a cold engine gets
	turn     int             // of candidates
	split    *rollout.Split  // of the calls that this owner chooses engines for
	pace     pace            // of all engines
	still    *standstill
	reach    *reach // of data centres; shared with the stages
}

// engineLoad is what is known of one engine.
type engineLoad struct {
	member   wire.Member
	waiting  reading                // of calls whose first event has not come
	parts    map[string]*promptPart // that it has read, or will with a call that was sent there
	own      ownPace
	sending  time.Time // until when its link is busy with parts for others
	failures int
	until    time.Time // passed over until then
	chosen   coldstart.Chooser
}

// plan is an engine for a call, and what it does before the call's first event.
type plan struct {
	engine wire.Member   // its ID is empty where there is none
	read   reading       // of the call's prompt
	fetch  fetch         // of the rest
	begins time.Duration // until the first event, as foreseen
}

// pick is a call at an engine that has not begun to answer.
type pick struct {
	engine wire.MemberID
	start  uint64 // incarnation of the engine that took the call
	read   reading
	behind reading // until its first event, its own included
	fetch  fetch
	shared []upstream.PromptPart // parts of its prompt
	at     time.Time
}

func newEngines() *engines {
	return &engines{by: map[wire.MemberID]*engineLoad{}, holders: holders{}, pace: newPace(), split: newSplit(), reach: newReach(), still: &standstill{}}
}

// follow takes over the services and the engines that are there.
func (e *engines) follow(services map[string]*optext.Service, announced map[string][]wire.Member) {
	for service, before := range e.members {
		if list := announced[service]; !configsync.SameList(before, list) {
			e.replace(before, list)
		}
	}
	e.services, e.members = services, announced
}

// replace takes over the next list of a service's engines.
func (e *engines) replace(before, list []wire.Member) {
	before, list = configsync.ChangedPart(before, list)
	present := make(map[wire.MemberID]int, len(list))
	for i, m := range list {
		present[m.ID] = i
	}
	for _, m := range before {
		l := e.by[m.ID]
		if l == nil {
			continue
		}
		if i, there := present[m.ID]; there && l.member.Start() == list[i].Start() {
			l.member = list[i]
			continue
		}
		e.holders.forget(l) // one that has started again has read nothing
		delete(e.by, m.ID)
	}
}

// choose returns the engine for a prompt whose first event is due by the goal. Among
// engines that should be in time it is the one that costs least to read and to move, else
// the one that should begin soon at no great cost. bytes are where the results that it
// fetches lie, by data centre.
func (e *engines) choose(now, goal time.Time, p *Prompt, bytes map[string]int64) plan {
	if track := e.split.Next(p.Service, e.split.HasTarget(p.Service, e.members[p.Service])); track.Target() {
		if x := e.chooseOn(track, now, goal, p, bytes); x.engine.ID != "" {
			return x
		}
	}
	return e.chooseOn(e.split.Stable(p.Service), now, goal, p, bytes)
}

// chooseOn chooses among the engines of the versions that the track admits.
func (e *engines) chooseOn(track rollout.Track, now, goal time.Time, p *Prompt, bytes map[string]int64) plan {
	first, source, spec := e.first(p), e.source(now, p), e.services[p.Service]
	all := int64(0)
	for _, n := range bytes {
		all += n
	}
	var best plan
	var least rank
	for _, l := range e.candidates(p, first, track) {
		m := l.member
		if m.Cold && spec != nil && !l.chosen.Allows(now, e.cold, spec.ColdRate) {
			continue
		}
		missing, own := readingOf(p.Parts, func(id string) bool { return m.ID == first || l.has(id) })
		x := plan{engine: m, read: own}
		if f, ok := e.fetchTime(now, spec, l, source, missing); ok {
			x.fetch, missing = f, reading{}
		}
		x.read = own.plus(missing)
		x.begins = x.fetch.takes + e.beginsIn(l, x.read)
		r := rank{paused: now.Before(l.until) || e.reach.closed(now, m.DataCenter), begins: x.begins, id: m.ID}
		r.late = now.Add(goalPart * x.begins).After(goal)
		r.cost = x.fetch.transfer + e.cost(r, missing, all-bytes[m.DataCenter])
		if best.engine.ID == "" || r.compare(least) < 0 {
			best, least = x, r
		}
	}
	return best
}

// beginsIn is how long an engine takes to the first event of a call that has so much to
// be read, behind those that wait there.
func (e *engines) beginsIn(l *engineLoad, read reading) time.Duration {
	return time.Duration(l.own.factor() * float64(e.pace.timeFor(l.waiting.plus(read))))
}

// cost is what taking an engine costs in time of engines: to read what it is missing, and
// to move the bytes that lie in other data centres. Of one that is late it is in time of
// the call too.
func (e *engines) cost(r rank, missing reading, bytes int64) time.Duration {
	again := e.pace.readTime(missing)
	moved := e.pace.readTime(reading{tokens: movedTokens * bytes / 1_000_000})
	if !r.late {
		return again + moved
	}
	cost := r.begins + (readWeight-1)*again + readWeight*moved
	if missing.tokens > 0 {
		cost += leastGain
	}
	return cost
}

// rank orders engines; the least is the best.
type rank struct {
	paused bool
	late   bool
	cost   time.Duration
	begins time.Duration // until the call's first event
	id     wire.MemberID
}

func (r rank) compare(o rank) int {
	return cmp.Or(compareBool(r.paused, o.paused), compareBool(r.late, o.late), cmp.Compare(r.cost, o.cost), cmp.Compare(r.begins, o.begins), cmp.Compare(r.id, o.id))
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// first returns the engine that counts as one that has read the shared parts while none
// is known to have: it is the same for every owner and every process that chooses by
// itself, so that what an engine has read is found again when the owner changes. It is
// empty when an engine is known.
func (e *engines) first(p *Prompt) wire.MemberID {
	if len(shared(p.Parts)) == 0 || len(e.holders.of(p)) > 0 {
		return ""
	}
	m, _ := upstream.SelectByPrefix(p.Parts, e.members[p.Service])
	return m.ID
}

// candidates are the engines of a prompt's service that are looked at: all of a few, else
// those that keep its shared parts, or count as such, and some others, by turns.
func (e *engines) candidates(p *Prompt, first wire.MemberID, track rollout.Track) []*engineLoad {
	members := track.Choose(e.members[p.Service])
	if p.Within.Bound {
		members = slices.DeleteFunc(slices.Clone(members), func(m wire.Member) bool { return !p.Within.Has(m.DataCenter) })
	}
	n := min(len(members), mostLooked)
	out := make([]*engineLoad, 0, 2*n)
	if n < len(members) {
		for _, l := range e.holders.of(p) {
			if l.member.Service == p.Service && track.Admits(l.member.Version) && p.Within.Has(l.member.DataCenter) {
				out = append(out, l)
			}
		}
	}
	for i := range n {
		out = append(out, e.get(members[(e.turn+i)%len(members)]))
	}
	if n < len(members) {
		e.turn = (e.turn + n) % len(members)
		if i := slices.IndexFunc(members, func(m wire.Member) bool { return m.ID == first }); i >= 0 {
			out = append(out, e.get(members[i]))
		}
	}
	return out
}

// send notes that a call with the prompt goes to the engine.
func (e *engines) send(now time.Time, p *Prompt, x plan) *pick {
	l := e.get(x.engine)
	l.waiting = l.waiting.plus(x.read)
	l.chosen.Count(now)
	e.reach.sent(now, x.engine.DataCenter)
	e.split.Sent(p.Service, x.engine.Version)
	e.sendParts(now, l, shared(p.Parts))
	if x.fetch.source != nil {
		x.fetch.begin(now)
		fetchesVar.Add(1)
	}
	return &pick{engine: x.engine.ID, start: x.engine.Incarnation, read: x.read, behind: l.waiting, fetch: x.fetch, shared: shared(p.Parts), at: now}
}

// ended notes that a call waits at the engine no longer.
func (e *engines) ended(now time.Time, p *pick, how EngineOutcome) {
	l := e.by[p.engine]
	if l == nil || l.member.Incarnation != p.start {
		return
	}
	l.waiting = l.waiting.minus(p.read)
	switch how {
	case EngineBegan:
		e.reach.answered(l.member.DataCenter)
		l.failures = 0
		l.readParts(p.shared)
		if e.still.before(p.at) {
			e.observe(l, p.behind, now.Sub(p.at)-p.fetch.takes)
		}
	case EngineFailed:
		l.fail(now)
	case EngineUnreached:
		l.fail(now)
		e.reach.failed(now, l.member)
	}
}

// observe takes in how long an engine took to a first event. What it took while it was cold says
// nothing of later.
func (e *engines) observe(l *engineLoad, r reading, took time.Duration) {
	if l.member.Cold {
		return
	}
	expected := e.pace.timeFor(r).Seconds()
	e.pace.observe(r, took.Seconds()/l.own.factor())
	l.own.observe(took.Seconds(), expected)
}

func (e *engines) get(m wire.Member) *engineLoad {
	l := e.by[m.ID]
	if l == nil {
		l = &engineLoad{member: m, parts: map[string]*promptPart{}}
		e.by[m.ID] = l
	}
	return l
}

// fail has the engine passed over for a while.
func (l *engineLoad) fail(now time.Time) {
	l.failures++
	l.until = now.Add(pauseAfter(l.failures))
}

func (l *engineLoad) has(part string) bool { return l.parts[part] != nil }

// forgetOldest forgets the part of an engine that was used the longest ago.
func (e *engines) forgetOldest(l *engineLoad) {
	oldest := ""
	for id, part := range l.parts {
		if oldest == "" || part.used.Before(l.parts[oldest].used) {
			oldest = id
		}
	}
	delete(l.parts, oldest)
	e.holders.remove(oldest, l)
}
