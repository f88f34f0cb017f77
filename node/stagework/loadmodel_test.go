package stagework

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// loadModel plays traffic against the scheduler on a virtual clock: upstreams that make
// batches of pieces, keep results in limited room and lie in three data centres, engines
// that read one prompt after the other, callers, and an owner that may be lost. Its
// figures are those of the users' sheet for the customer whose days are heaviest here:
// three short services in a chain, results of 3 MB for the engine of the longest prompts,
// goals of 1.3 s to 1.7 s of which the chain takes 0.7 s with nothing waiting.
type loadModel struct {
	rand   *rand.Rand
	now    time.Time
	specs  map[string]*optext.Service
	events eventHeap
	owner  *scheduler // nil while there is none
	heard  *handedIn
	rooms  map[wire.MemberID]*modelRoom
	calls  map[*call]bool // under way
	engine map[wire.MemberID]time.Time
	read   map[string]bool           // engine and part
	byHash bool                      // engines are chosen by hash alone, as before the owner did
	deaf   bool                      // callers are not told of results, as before
	keeps  bool                      // inputs are kept until the pieces are made, as before
	eager  bool                      // pieces that can wait do not, as before
	rate   float64                   // tokens that an engine reads in a second
	slow   map[wire.MemberID]float64 // upstreams that take so many times as long
	dead   map[wire.MemberID]bool    // upstreams that answer nothing
	cost   ownerCost                 // zero: the owner takes no time
	single bool                      // it begins calls after each event, as before
	queue  []func()                  // events that the owner has not looked at
	busy   bool                      // it works
	check  func()                    // called after each event; nil: nothing is
	light  bool                      // pieces with results of lightBytes take less

	waiting map[string]*modelCall // calls whose stages are under way, by handing in
	serial  int
	ended   []modelEnd
	noRoom  int // pieces
	thrown  int // results that nobody used
	gone    int // inputs that were asked for after they were freed
}

// modelRoom is what an upstream really holds.
type modelRoom struct {
	used    int64
	results map[string]int64
}

type modelCall struct {
	kind    modelKind
	id      string
	arrived time.Time
	prompt  *Prompt
	job     Job
	again   time.Time // when its caller came back; zero before
	early   bool      // it was refused within a quarter of its goal
}

// modelKind is one kind of call.
type modelKind struct {
	name     string
	goal     time.Duration
	left     time.Duration
	shared   int64   // tokens of the part that calls share
	own      int64   // tokens, mean of a log-normal distribution with a spread of 1
	things   int     // different shared parts
	clump    int     // arrive at the same moment; zero counts as one
	worth    float64 // of one in time, and of one that is late
	late     float64
	returns  bool // callers come back once after a refusal
	priority int
	stages   func(r *rand.Rand) []Stage
}

type modelEnd struct {
	kind    string
	arrived time.Time
	inTime  bool
	refused bool
	credit  float64       // of its worth
	first   time.Duration // from the stages' end to the first event
}

type event struct {
	at time.Time
	n  int
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].n < h[j].n
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

const megabyte = 1_000_000

var modelServices = map[string]*optext.Service{
	"front":   {Name: "front", Direct: optext.Direct{Batch: 8, Calls: 1, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultRoom: 41 * megabyte, ResultTTL: 4 * time.Second}},
	"catalog": {Name: "catalog", Direct: optext.Direct{Batch: 18, Calls: 1, CallTime: 150 * time.Millisecond, PieceTime: 7 * time.Millisecond, ResultRoom: 3_100_000, ResultTTL: 4 * time.Second}},
	"courier": {Name: "courier", Direct: optext.Direct{Batch: 36, Calls: 1, CallTime: 150 * time.Millisecond, PieceTime: 3600 * time.Microsecond, ResultRoom: 620_000, ResultTTL: 4 * time.Second}},
}

// notes and returns are the two kinds that make nearly all of the load.
var (
	notes = modelKind{name: "notes", goal: 1300 * time.Millisecond, left: 6 * time.Second, shared: 6300, own: 2890, things: 94,
		stages: func(r *rand.Rand) []Stage {
			return []Stage{{Service: "front", Pieces: 1 + r.IntN(4), Bytes: 3 * megabyte}}
		}}
	returns = modelKind{name: "returns", goal: 1700 * time.Millisecond, left: 5 * time.Second, shared: 568, own: 1800, things: 156,
		stages: func(r *rand.Rand) []Stage {
			return []Stage{{Service: "front", Pieces: 1, Bytes: 8000}, {Service: "catalog", After: []int{0}, Pieces: 8, Bytes: 60_000},
				{Service: "courier", After: []int{1}, Pieces: 10 + r.IntN(13), Bytes: 6000}}
		}}
)

// longestPrompt is the longest own part, in tokens.
const longestPrompt = 39_600

// readRate is how many tokens an engine reads in a second.
const readRate = 36_000

func newLoadModel(seed uint64) *loadModel {
	m := &loadModel{specs: modelServices, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), heard: newHandedIn(), rooms: map[wire.MemberID]*modelRoom{},
		calls: map[*call]bool{}, rate: readRate, slow: map[wire.MemberID]float64{}, dead: map[wire.MemberID]bool{}, engine: map[wire.MemberID]time.Time{}, read: map[string]bool{}, waiting: map[string]*modelCall{}}
	m.takeOver(false)
	return m
}

func modelMembers() map[string][]wire.Member {
	out := map[string][]wire.Member{}
	for service, perDataCenter := range map[string][]int{"front": {1, 1, 1}, "catalog": {2, 2, 1}, "courier": {2, 2, 1}, "llm": {4, 4, 4}} {
		for dc, n := range perDataCenter {
			for i := range n {
				id := fmt.Sprintf("%s-%d-%d", service, dc, i)
				out[service] = append(out[service], wire.Member{ID: wire.MemberID(id), Service: service, Direct: id, DataCenter: fmt.Sprint("dc", dc)})
			}
		}
	}
	return out
}

// takeOver makes another process the owner of the queues.
func (m *loadModel) takeOver(after bool) {
	m.owner = newScheduler()
	m.owner.setServices(m.specs, modelMembers())
	m.owner.own(m.now, true, after)
}

func (m *loadModel) after(d time.Duration, do func()) {
	m.serial++
	heap.Push(&m.events, event{m.now.Add(d), m.serial, do})
}

// traffic lets calls of a kind arrive for a while.
func (m *loadModel) traffic(k modelKind, from, until time.Duration, perSecond float64) {
	for at := from; ; {
		at += time.Duration(m.rand.ExpFloat64() / perSecond * float64(max(1, k.clump)) * float64(time.Second))
		if at > until {
			return
		}
		m.after(at, func() {
			for range max(1, k.clump) {
				m.arrive(k)
			}
		})
	}
}

func (m *loadModel) arrive(k modelKind) {
	m.serial++
	c := &modelCall{kind: k, id: fmt.Sprint("call", m.serial), arrived: m.now}
	own := int64(min(math.Exp(m.rand.NormFloat64()-0.5)*float64(k.own), longestPrompt))
	c.prompt = &Prompt{Service: "llm", Parts: []upstream.PromptPart{{ID: fmt.Sprint(k.name, m.rand.IntN(k.things)), Tokens: k.shared}, {ID: c.id, Tokens: own}}}
	c.job = Job{ID: c.id, Key: c.id, Caller: "process", Stages: k.stages(m.rand), Priority: k.priority, DataCenter: m.hashed(c).DataCenter}
	if m.deaf {
		c.job.Caller = ""
	}
	if !m.byHash {
		c.job.Prompt = c.prompt
	}
	m.handIn(c)
}

func (m *loadModel) hashed(c *modelCall) wire.Member {
	member, _ := upstream.SelectByPrefix(c.prompt.Parts, modelMembers()["llm"])
	return member
}

func (m *loadModel) handIn(c *modelCall) {
	if m.owner == nil {
		m.after(50*time.Millisecond, func() { m.handIn(c) })
		return
	}
	m.serial++
	c.job.Handed = fmt.Sprint(c.id, "/", m.serial)
	began := c.arrived
	if !c.again.IsZero() {
		began = c.again // its process knows of no try before
	}
	c.job.Left, c.job.FirstEvent = c.kind.left-m.now.Sub(c.arrived), c.kind.goal-m.now.Sub(began)
	c.job.Goal = c.job.FirstEvent - 50*time.Millisecond - m.readTime(c.prompt.Parts[1].Tokens)
	m.heard.begin(c.job.Handed, c.job.Made)
	handed, owner := c.job.Handed, m.owner
	m.waiting[handed] = c
	m.toOwner(owner, func() {
		m.free(owner, owner.add(m.now, c.job, func(r Result, err error) { m.after(0, func() { m.staged(owner, c, handed, r, err) }) }))
	})
}

func (m *loadModel) readTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / m.rate * float64(time.Second))
}

// staged goes on when the stages of a call are done or refused.
func (m *loadModel) staged(owner *scheduler, c *modelCall, handed string, r Result, err error) {
	if m.waiting[handed] != c {
		return // the owner was lost meanwhile
	}
	delete(m.waiting, handed)
	if err != nil {
		m.toOwner(owner, func() { m.free(owner, owner.done(m.now, Done{Handed: handed})) })
		if m.comesBack(c, err) {
			return
		}
		m.ended = append(m.ended, modelEnd{kind: c.kind.name, arrived: c.arrived, refused: verdict.Of(err) == verdict.NotRun})
		return
	}
	engine := r.Engine
	if engine == "" {
		engine = m.hashed(c).ID
	}
	first := m.readBy(engine, c.prompt)
	m.after(first, func() {
		m.toOwner(owner, func() { m.free(owner, owner.done(m.now, Done{Handed: handed, Engine: EngineBegan})) })
		m.ended = append(m.ended, modelEnd{kind: c.kind.name, arrived: c.arrived, inTime: m.now.Sub(c.arrived) <= c.kind.goal, credit: m.credit(c), first: first})
	})
}

// comesBack has a caller that was told when to come back do so, once.
func (m *loadModel) comesBack(c *modelCall, err error) bool {
	wait := verdict.From(err).RetryAfter
	if !c.kind.returns || wait <= 0 || !c.again.IsZero() {
		return false
	}
	c.again, c.early = m.now.Add(wait), m.now.Sub(c.arrived) <= c.kind.goal/4
	m.after(wait, func() { m.handIn(c) })
	return true
}

// credit is what an answer is worth whose first event comes now.
func (m *loadModel) credit(c *modelCall) float64 {
	switch {
	case m.now.Sub(c.arrived) <= c.kind.goal:
		return c.kind.worth
	case !c.again.IsZero() && c.early && m.now.Sub(c.again) <= c.kind.goal:
		return (c.kind.worth + c.kind.late) / 2
	}
	return c.kind.late
}

// earned is the credit of the calls of a kind that arrived in a span, as a part of what they
// were worth; of all kinds where it is empty.
func (m *loadModel) earned(kind string, worth map[string]float64, from, until time.Duration) float64 {
	start, got, owed := time.Unix(1000, 0), 0.0, 0.0
	for _, e := range m.ended {
		if at := e.arrived.Sub(start); at < from || at >= until || kind != "" && e.kind != kind {
			continue
		}
		got += e.credit
		owed += worth[e.kind]
	}
	return got / math.Max(owed, 1e-9)
}

// readBy is how long an engine takes to the first event, behind what it reads already.
func (m *loadModel) readBy(engine wire.MemberID, p *Prompt) time.Duration {
	tokens := p.Parts[1].Tokens
	if key := string(engine) + p.Parts[0].ID; !m.read[key] {
		m.read[key] = true
		tokens += p.Parts[0].Tokens
	}
	begin := m.engine[engine]
	if begin.Before(m.now) {
		begin = m.now
	}
	m.engine[engine] = begin.Add(m.readTime(tokens))
	return m.engine[engine].Sub(m.now) + 50*time.Millisecond
}

// run plays until all is over, or for so long.
func (m *loadModel) run(d time.Duration) {
	end := m.now.Add(d)
	for len(m.events) > 0 && !m.events[0].at.After(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
		if m.cost.event == 0 {
			m.step()
		}
		if m.check != nil {
			m.check()
		}
	}
	m.now = end
}

// step lets the owner do what it does after each event, and at its tick.
func (m *loadModel) step() {
	s := m.owner
	if s == nil {
		return
	}
	if m.keeps {
		s.fetching = nil
	}
	if m.eager {
		for _, q := range s.services {
			for _, p := range q.waiting {
				p.queued = time.Time{}
			}
		}
	}
	m.free(s, s.expire(m.now))
	for _, n := range s.takeNews() {
		m.heard.learn(n.News)
		m.free(s, s.acked([]News{n.News}))
	}
	for _, w := range s.reports(m.now) {
		m.after(2*time.Millisecond, func() {
			free := m.specs[w.member.Service].ResultRoom - m.room(w.member.ID).used
			whole := free / megabyte * megabyte
			s.reported(m.now, w, &upstream.Room{Free: whole, FreeMax: whole + megabyte - 1})
		})
	}
	for _, c := range s.start(m.now) {
		m.call(s, c)
	}
}

func (m *loadModel) room(id wire.MemberID) *modelRoom {
	r := m.rooms[id]
	if r == nil {
		r = &modelRoom{results: map[string]int64{}}
		m.rooms[id] = r
	}
	return r
}

// call has an upstream make pieces, as far as it really has room.
func (m *loadModel) call(s *scheduler, c *call) {
	spec, room := m.specs[c.service], m.room(c.worker.member.ID)
	o := outcome{results: make([]upstream.PieceResult, len(c.pieces))}
	made := 0
	for i, p := range c.pieces {
		if slices.ContainsFunc(c.request[i].Inputs, func(h string) bool { return !m.lies(h) }) {
			o.results[i].Failure = upstream.InputGone
			m.gone++
			continue
		}
		if room.used+p.bytes() > spec.ResultRoom {
			o.results[i].Failure = upstream.NoRoom
			m.noRoom++
			continue
		}
		m.serial++
		handle := fmt.Sprint("h", m.serial)
		room.used += p.bytes()
		room.results[handle] = p.bytes()
		o.results[i].Handle = handle
		made++
	}
	took := 3 * time.Millisecond
	if made > 0 {
		took = spec.CallTime
		for _, p := range c.pieces {
			took += m.pieceTime(spec, p)
		}
		took = time.Duration(float64(took) * max(1, m.slow[c.worker.member.ID]))
	}
	if took > c.limit || m.dead[c.worker.member.ID] {
		m.after(min(took, c.limit), func() {
			m.toOwner(s, func() { m.free(s, s.finish(m.now, c, outcome{err: "no answer"})) })
		})
		return
	}
	m.after(took, func() {
		for _, r := range o.results {
			m.after(spec.ResultTTL, func() { m.expired(room, r.Handle) })
		}
		m.toOwner(s, func() { m.free(s, s.finish(m.now, c, o)) })
	})
}

// lies reports whether a result is still there.
func (m *loadModel) lies(handle string) bool {
	for _, r := range m.rooms {
		if _, there := r.results[handle]; there {
			return true
		}
	}
	return false
}

// expired takes a result away that nobody freed.
func (m *loadModel) expired(room *modelRoom, handle string) {
	if bytes, lies := room.results[handle]; lies {
		room.used -= bytes
		delete(room.results, handle)
		m.thrown++
	}
}

// free gives results up, a little later and many at a time.
func (m *loadModel) free(s *scheduler, list []made) {
	if len(list) == 0 {
		return
	}
	m.after(freeInterval, func() {
		for _, r := range list {
			room := m.room(r.worker.member.ID)
			room.used -= room.results[r.handle]
			delete(room.results, r.handle)
		}
		m.toOwner(s, func() { s.freed(list) })
	})
}

// loseOwner takes the owner away with all it knows; another one is there after the gap.
func (m *loadModel) loseOwner(gap time.Duration) {
	m.owner = nil
	lost := m.waiting
	m.waiting = map[string]*modelCall{}
	m.after(gap, func() {
		m.takeOver(true)
		for _, handed := range slices.Sorted(maps.Keys(lost)) {
			c := lost[handed]
			c.job.Made = m.heard.end(handed)
			m.handIn(c)
		}
	})
}

// inTime is the part of the calls that arrived in a span and were served by their goal.
func (m *loadModel) inTime(from, until time.Duration) float64 {
	start := time.Unix(1000, 0)
	asked, good := 0, 0
	for _, e := range m.ended {
		if at := e.arrived.Sub(start); at < from || at >= until {
			continue
		}
		asked++
		if e.inTime {
			good++
		}
	}
	return float64(good) / math.Max(1, float64(asked))
}

// pieceTime is what a piece adds to a call.
func (m *loadModel) pieceTime(spec *optext.Service, p *piece) time.Duration {
	if m.light && p.bytes() == lightBytes {
		return time.Duration(lightWork * float64(spec.PieceTime))
	}
	return spec.PieceTime
}

// Pieces with results of lightBytes are about the caller alone, and take less.
const (
	lightBytes = 8000
	lightWork  = 0.3
)

// ownerCost is the processor time of an owner: for each event that it looks at, and for each
// round in which it starts calls and tells processes.
type ownerCost struct{ event, round time.Duration }

// toOwner has the owner look at an event, once it is done with those before. One that was lost
// looks at nothing.
func (m *loadModel) toOwner(s *scheduler, do func()) {
	if s != m.owner {
		return
	}
	if m.cost.event == 0 {
		do()
		return
	}
	m.queue = append(m.queue, do)
	m.work()
}

// work lets the owner look at events: all that wait, or one where it is single.
func (m *loadModel) work() {
	if m.busy || len(m.queue) == 0 {
		return
	}
	m.busy = true
	n := len(m.queue)
	if m.single {
		n = 1
	}
	for _, do := range m.queue[:n] {
		do()
	}
	m.queue = m.queue[n:]
	m.step()
	m.after(time.Duration(n)*m.cost.event+m.cost.round, func() {
		m.busy = false
		m.work()
	})
}

// tick has the owner look at its jobs from time to time.
func (m *loadModel) tick() {
	m.toOwner(m.owner, func() {})
	m.after(ownerTick, m.tick)
}
