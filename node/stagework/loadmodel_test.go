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

// loadModel plays traffic against the scheduler on a virtual clock: upstreams in three data centres that
// process batches and keep results in limited room, engines that prefill one prompt after the other, callers,
// and an owner that may be lost. It measures what callers get: answers within their goals and deadlines, by kind. The
// load is three short services in a chain, results of 3 MB for the engine of the longest prompts, and goals
// of 1.3 s to 1.7 s of which the chain takes 0.7 s without queueing.
type loadModel struct {
	rand             *rand.Rand
	now              time.Time
	specs            map[string]*optext.Service
	events           eventHeap
	owner            *scheduler // nil between two owners
	submissions      *submissions
	rooms            map[wire.MemberID]*modelRoom
	calls            map[*call]bool // in progress
	engineBusyUntil  map[wire.MemberID]time.Time
	cached           map[string]bool           // by engine and part
	byHash           bool                      // baseline: engines are chosen by hash alone
	noUpdates        bool                      // baseline: callers get no progress updates
	keepInputs       bool                      // baseline: inputs are kept until the pieces are done
	noHolding        bool                      // baseline: pieces that can wait are not held
	rate             float64                   // prefill rate of an engine, in tokens a second
	slow             map[wire.MemberID]float64 // slowdown of upstreams
	unresponsive     map[wire.MemberID]bool    // upstreams that do not answer
	cost             ownerCost                 // zero: the owner takes no time
	oneEventPerRound bool                      // baseline: the owner starts calls after each event
	queue            []func()                  // events waiting for the owner
	busy             bool                      // the owner is in a round
	check            func()                    // called after each event; may be nil
	members          map[string][]wire.Member  // nil: modelMembers
	outage           *modelOutage              // nil: processes wait for an owner without a limit
	lightPieces      bool                      // pieces with results of lightBytes take less time

	waiting    map[string]*modelCall // calls with stages in progress, by submission
	serial     int
	ended      []modelEnd
	noRoom     int // pieces rejected for want of room
	wasted     int // results that expired unused
	goneInputs int // inputs requested after they were freed
}

// modelRoom is what an upstream actually holds.
type modelRoom struct {
	used    int64
	results map[string]int64
}

type modelCall struct {
	kind      modelKind
	id        string
	arrived   time.Time
	prompt    *Prompt
	job       Job
	retriedAt time.Time // time of the caller's retry; zero before
	ownerless time.Time // since when its process has found no owner; zero while there is one
}

// modelKind is a kind of call.
type modelKind struct {
	name          string
	goal          time.Duration
	left          time.Duration
	shared        int64 // tokens of the shared part
	own           int64 // tokens, mean of a log-normal distribution with a spread of 1
	distinctParts int   // number of different shared parts
	groupSize     int   // calls that arrive at the same moment; zero counts as one
	retries       bool  // callers retry once after a refusal
	priority      int
	customer      string
	stages        func(r *rand.Rand) []Stage
}

type modelEnd struct {
	kind          string
	customer      string
	arrived       time.Time
	sent          time.Time // the last time that the caller sent it
	inTime        bool
	refused       bool
	inTimeOfRetry bool          // within its goal from the last time that it was sent
	served        bool          // answered before its deadline
	wait          time.Duration // from its arrival to the answer
	predicted     string        // at its admission, see prediction; empty: it was not admitted
	first         time.Duration // from the end of the stages to the first event
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

// notes and returns are the two kinds that make up nearly all of the load.
var (
	notes = modelKind{name: "notes", goal: 1300 * time.Millisecond, left: 6 * time.Second, shared: 6300, own: 2890, distinctParts: 94,
		stages: func(r *rand.Rand) []Stage {
			return []Stage{{Service: "front", Pieces: 1 + r.IntN(4), ResultBytes: 3 * megabyte}}
		}}
	returns = modelKind{name: "returns", goal: 1700 * time.Millisecond, left: 5 * time.Second, shared: 568, own: 1800, distinctParts: 156,
		stages: func(r *rand.Rand) []Stage {
			return []Stage{{Service: "front", Pieces: 1, ResultBytes: 8000}, {Service: "catalog", DependsOn: []int{0}, Pieces: 8, ResultBytes: 60_000},
				{Service: "courier", DependsOn: []int{1}, Pieces: 10 + r.IntN(13), ResultBytes: 6000}}
		}}
)

// longestPrompt is the longest own part, in tokens.
const longestPrompt = 39_600

// modelPrefillRate is the prefill rate of an engine, in tokens a second.
const modelPrefillRate = 36_000

func newLoadModel(seed uint64) *loadModel {
	m := &loadModel{specs: modelServices, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), submissions: newSubmissions(), rooms: map[wire.MemberID]*modelRoom{},
		calls: map[*call]bool{}, rate: modelPrefillRate, slow: map[wire.MemberID]float64{}, unresponsive: map[wire.MemberID]bool{}, engineBusyUntil: map[wire.MemberID]time.Time{}, cached: map[string]bool{}, waiting: map[string]*modelCall{}}
	m.replaceOwner(false)
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

// replaceOwner makes another process the stage owner.
func (m *loadModel) replaceOwner(after bool) {
	members := m.members
	if members == nil {
		members = modelMembers()
	}
	m.owner = newScheduler()
	m.owner.random = m.rand.Float64
	m.owner.setServices(m.specs, members)
	m.owner.setOwner(m.now, true, after)
}

func (m *loadModel) after(d time.Duration, do func()) {
	m.serial++
	heap.Push(&m.events, event{m.now.Add(d), m.serial, do})
}

// traffic adds arrivals of calls of a kind for a while.
func (m *loadModel) traffic(k modelKind, from, until time.Duration, perSecond float64) {
	for at := from; ; {
		at += time.Duration(m.rand.ExpFloat64() / perSecond * float64(max(1, k.groupSize)) * float64(time.Second))
		if at > until {
			return
		}
		m.after(at, func() {
			for range max(1, k.groupSize) {
				m.arrive(k)
			}
		})
	}
}

func (m *loadModel) arrive(k modelKind) {
	m.serial++
	c := &modelCall{kind: k, id: fmt.Sprint("call", m.serial), arrived: m.now}
	own := int64(min(math.Exp(m.rand.NormFloat64()-0.5)*float64(k.own), longestPrompt))
	c.prompt = &Prompt{Service: "llm", Parts: []upstream.PromptPart{{ID: fmt.Sprint(k.name, m.rand.IntN(k.distinctParts)), Tokens: k.shared}, {ID: c.id, Tokens: own}}}
	c.job = Job{ID: c.id, Key: c.id, Caller: "process", Stages: k.stages(m.rand), Priority: k.priority, Customer: k.customer, DataCenter: m.hashedEngine(c).DataCenter}
	if m.noUpdates {
		c.job.Caller = ""
	}
	if !m.byHash {
		c.job.Prompt = c.prompt
	}
	m.submit(c)
}

func (m *loadModel) hashedEngine(c *modelCall) wire.Member {
	member, _ := upstream.SelectByPrefix(c.prompt.Parts, modelMembers()["llm"])
	return member
}

func (m *loadModel) submit(c *modelCall) {
	if m.owner == nil {
		if m.outage != nil {
			m.outage.wait(c)
			return
		}
		m.after(50*time.Millisecond, func() { m.submit(c) })
		return
	}
	c.ownerless = time.Time{}
	m.serial++
	c.job.SubmissionID = fmt.Sprint(c.id, "/", m.serial)
	began := c.arrived
	if !c.retriedAt.IsZero() {
		began = c.retriedAt // its process does not know of the earlier attempt
	}
	c.job.TimeLeft, c.job.FirstEvent = c.kind.left-m.now.Sub(c.arrived), c.kind.goal-m.now.Sub(began)
	c.job.Goal = c.job.FirstEvent - 50*time.Millisecond - m.prefillTime(c.prompt.Parts[1].Tokens)
	m.submissions.begin(c.job.SubmissionID, c.job.CompletedStages)
	handed, owner := c.job.SubmissionID, m.owner
	m.waiting[handed] = c
	m.ownerEvent(owner, func() {
		m.free(owner, owner.submit(m.now, c.job, func(r Result, err error) { m.after(0, func() { m.stagesEnded(owner, c, handed, r, err) }) }))
	})
}

func (m *loadModel) prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / m.rate * float64(time.Second))
}

// stagesEnded continues a call whose stages are completed or refused.
func (m *loadModel) stagesEnded(owner *scheduler, c *modelCall, handed string, r Result, err error) {
	if m.waiting[handed] != c {
		return // the owner was lost meanwhile
	}
	delete(m.waiting, handed)
	predicted := ""
	if j := owner.jobs[handed]; j != nil {
		predicted = j.prediction()
	}
	if err != nil {
		m.ownerEvent(owner, func() { m.free(owner, owner.handleDone(m.now, Done{SubmissionID: handed})) })
		if m.retryLater(c, err) {
			return
		}
		m.ended = append(m.ended, modelEnd{kind: c.kind.name, customer: c.kind.customer, arrived: c.arrived, sent: c.sent(), refused: verdict.Of(err) == verdict.NotRun, predicted: predicted})
		return
	}
	engine := r.Engine
	if engine == "" {
		engine = m.hashedEngine(c).ID
	}
	first := m.timeToFirstEvent(engine, c.prompt)
	m.after(first, func() {
		m.ownerEvent(owner, func() { m.free(owner, owner.handleDone(m.now, Done{SubmissionID: handed, Engine: EngineStarted})) })
		m.ended = append(m.ended, modelEnd{kind: c.kind.name, customer: c.kind.customer, arrived: c.arrived, sent: c.sent(), inTime: m.now.Sub(c.arrived) <= c.kind.goal, inTimeOfRetry: m.now.Sub(c.sent()) <= c.kind.goal, served: m.now.Sub(c.arrived) <= c.kind.left, wait: m.now.Sub(c.arrived), first: first, predicted: predicted})
	})
}

// retryLater has a caller with a retry-after time retry, once.
func (m *loadModel) retryLater(c *modelCall, err error) bool {
	wait := verdict.From(err).RetryAfter
	if !c.kind.retries || wait <= 0 || !c.retriedAt.IsZero() {
		return false
	}
	c.retriedAt = m.now.Add(wait)
	m.after(wait, func() { m.submit(c) })
	return true
}

// callersGot is what the callers of a kind got.
type callersGot struct {
	asked          int
	inTime, served float64 // shares: answered within the goal, and before the deadline
	median, last   time.Duration
}

func (g callersGot) String() string {
	return fmt.Sprintf("%d asked, in time %.3f, served %.3f, wait %s, for the slowest of 100 %s", g.asked, g.inTime, g.served, g.median.Round(10*time.Millisecond), g.last.Round(10*time.Millisecond))
}

// got is what the callers of a kind that arrived in a period got; an empty kind means all.
func (m *loadModel) got(kind string, from, until time.Duration) (out callersGot) {
	start := time.Unix(1000, 0)
	var waits []time.Duration
	for _, e := range m.ended {
		if at := e.arrived.Sub(start); at < from || at >= until || kind != "" && e.kind != kind {
			continue
		}
		out.asked++
		if e.inTime {
			out.inTime++
		}
		if e.served {
			out.served++
			waits = append(waits, e.wait)
		}
	}
	out.inTime /= math.Max(1, float64(out.asked))
	out.served /= math.Max(1, float64(out.asked))
	if len(waits) > 0 {
		slices.Sort(waits)
		out.median, out.last = waits[len(waits)/2], waits[len(waits)*99/100]
	}
	return out
}

// timeToFirstEvent is the time of an engine to the first event, behind the prompts queued there.
func (m *loadModel) timeToFirstEvent(engine wire.MemberID, p *Prompt) time.Duration {
	tokens := p.Parts[1].Tokens
	if key := string(engine) + p.Parts[0].ID; !m.cached[key] {
		m.cached[key] = true
		tokens += p.Parts[0].Tokens
	}
	begin := m.engineBusyUntil[engine]
	if begin.Before(m.now) {
		begin = m.now
	}
	m.engineBusyUntil[engine] = begin.Add(m.prefillTime(tokens))
	return m.engineBusyUntil[engine].Sub(m.now) + 50*time.Millisecond
}

// run plays events for the given time, or until none are left.
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

// step does what the owner does after each event, and at its tick.
func (m *loadModel) step() {
	s := m.owner
	if s == nil {
		return
	}
	if m.keepInputs {
		s.fetchingInputs = nil
	}
	if m.noHolding {
		for _, q := range s.services {
			for _, p := range q.waiting {
				p.queued = time.Time{}
			}
		}
	}
	m.free(s, s.expireJobs(m.now))
	for _, n := range s.takeUpdates() {
		m.submissions.apply(n.ProgressUpdate)
		m.free(s, s.updatesDelivered([]ProgressUpdate{n.ProgressUpdate}))
	}
	for _, w := range s.dueReports(m.now) {
		m.after(2*time.Millisecond, func() {
			free := m.specs[w.member.Service].ResultRoom - m.room(w.member.ID).used
			whole := free / megabyte * megabyte
			s.applyReport(m.now, w, &upstream.Room{Free: whole, FreeMax: whole + megabyte - 1})
		})
	}
	for _, c := range s.startCalls(m.now) {
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

// call has an upstream process pieces, as far as it actually has room.
func (m *loadModel) call(s *scheduler, c *call) {
	spec, room := m.specs[c.service], m.room(c.worker.member.ID)
	o := outcome{results: make([]upstream.PieceResult, len(c.pieces))}
	made := 0
	for i, p := range c.pieces {
		if slices.ContainsFunc(c.request[i].Inputs, func(h string) bool { return !m.isStored(h) }) {
			o.results[i].Failure = upstream.InputGone
			m.goneInputs++
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
	for _, r := range o.results {
		m.after(took+spec.ResultTTL, func() { m.expireResult(room, r.Handle) })
	}
	if took > c.timeout || m.unresponsive[c.worker.member.ID] {
		m.after(min(took, c.timeout), func() {
			m.ownerEvent(s, func() { m.free(s, s.finishCall(m.now, c, outcome{err: "no answer"})) })
		})
		return
	}
	m.after(took, func() {
		m.ownerEvent(s, func() { m.free(s, s.finishCall(m.now, c, o)) })
	})
}

// isStored reports whether a result still exists.
func (m *loadModel) isStored(handle string) bool {
	for _, r := range m.rooms {
		if _, there := r.results[handle]; there {
			return true
		}
	}
	return false
}

// expireResult removes a result that nobody freed.
func (m *loadModel) expireResult(room *modelRoom, handle string) {
	if bytes, found := room.results[handle]; found {
		room.used -= bytes
		delete(room.results, handle)
		m.wasted++
	}
}

// free frees results, a little later and together.
func (m *loadModel) free(s *scheduler, list []storedResult) {
	if len(list) == 0 {
		return
	}
	m.after(freeInterval, func() {
		for _, r := range list {
			room := m.room(r.worker.member.ID)
			room.used -= room.results[r.handle]
			delete(room.results, r.handle)
		}
		m.ownerEvent(s, func() { s.recordFreed(list) })
	})
}

// loseOwner drops the owner with its state; another one is named after the gap.
func (m *loadModel) loseOwner(gap time.Duration) {
	m.owner = nil
	lost := m.waiting
	m.waiting = map[string]*modelCall{}
	m.after(gap, func() {
		m.replaceOwner(true)
		for _, handed := range slices.Sorted(maps.Keys(lost)) {
			c := lost[handed]
			c.job.CompletedStages = m.submissions.end(handed)
			m.submit(c)
		}
	})
}

// inTime is the share of the calls that arrived in a period and were served by their goal.
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

// pieceTime is the time that a piece adds to a call.
func (m *loadModel) pieceTime(spec *optext.Service, p *piece) time.Duration {
	if m.lightPieces && p.bytes() == lightBytes {
		return time.Duration(lightWork * float64(spec.PieceTime))
	}
	return spec.PieceTime
}

// Pieces with results of lightBytes depend on the caller alone, and take less time.
const (
	lightBytes = 8000
	lightWork  = 0.3
)

// ownerCost is the CPU time of an owner: for each event, and for each round in which it starts calls
// and sends updates.
type ownerCost struct{ event, round time.Duration }

// ownerEvent has the owner handle an event, after the earlier ones. Events of a lost owner are dropped.
func (m *loadModel) ownerEvent(s *scheduler, do func()) {
	if s != m.owner {
		return
	}
	if m.cost.event == 0 {
		do()
		return
	}
	m.queue = append(m.queue, do)
	m.runOwner()
}

// runOwner has the owner handle all waiting events, or just one with oneEventPerRound.
func (m *loadModel) runOwner() {
	if m.busy || len(m.queue) == 0 {
		return
	}
	m.busy = true
	n := len(m.queue)
	if m.oneEventPerRound {
		n = 1
	}
	for _, do := range m.queue[:n] {
		do()
	}
	m.queue = m.queue[n:]
	m.step()
	m.after(time.Duration(n)*m.cost.event+m.cost.round, func() {
		m.busy = false
		m.runOwner()
	})
}

// tick has the owner check its jobs from time to time.
func (m *loadModel) tick() {
	m.ownerEvent(m.owner, func() {})
	m.after(ownerTick, m.tick)
}
