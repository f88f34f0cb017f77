package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

const (
	simProcesses = 8
	simUpstreams = 18
	// crashDelay is how long an upstream runs a poison call before it crashes. propagationTime bounds the
	// time from a crash until all processes know of it.
	crashDelay      = 70 * time.Millisecond
	propagationTime = 135 * time.Millisecond
	// maxDetectionTime bounds the time from the third crash until all processes must know of it.
	maxDetectionTime = 3 * time.Second
	// maxCrashes is how many upstreams one call may crash, and maxLateArrivals how many copies of it may
	// reach an upstream later than maxDetectionTime after the third crash.
	maxCrashes      = 5
	maxLateArrivals = 3
	// falsePositiveOneIn bounds the refused innocent calls: one in this many.
	falsePositiveOneIn = 500
)

// simulation runs on a virtual clock: processes with their own view of the suspects, a replicated ledger, and
// upstreams that crash under poison calls.
type simulation struct {
	random    *rand.Rand
	now       time.Duration
	events    events
	serial    int
	ledger    Ledger
	processes []*simProcess
	upstreams []*simUpstream

	poisonCalls map[string]*poisonCall // by body
	poisonParts map[string]*poisonCall // by part of the prompt
	served      int
	refused     int // innocent calls that a process barred

	refusedParts []string // when, their bodies, and the parts of their prompts
}

// poisonCall records the effects of a call that crashes upstreams.
type poisonCall struct {
	crashes []time.Duration
	arrived []time.Duration // at upstreams, from processes that are connected to control
}

type simProcess struct {
	guard        *Guard
	evidence     *Evidence
	up           bool
	disconnected bool // from control
	undelivered  []func()
}

type simUpstream struct {
	serial int
	up     bool
	calls  []*simCall // in order of arrival
}

type simCall struct {
	body    string
	parts   []string      // of its prompt, which other calls share
	begun   time.Duration // first event of the answer; zero if none has arrived
	process *simProcess
	tries   int // retries left to the caller
	repeats int // repeats left to the process
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

// events is a heap of future events.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newModel(seed uint64) *simulation { return newModelOf(seed, simProcesses, simUpstreams) }

func newModelOf(seed uint64, processes, upstreams int) *simulation {
	m := &simulation{random: rand.New(rand.NewPCG(seed, 1)), poisonCalls: map[string]*poisonCall{}, poisonParts: map[string]*poisonCall{}}
	for range processes {
		p := &simProcess{}
		p.start()
		m.processes = append(m.processes, p)
	}
	for range upstreams {
		u := &simUpstream{}
		m.upstreams = append(m.upstreams, u)
		m.startUpstream(u)
	}
	return m
}

// start starts the process without any knowledge.
func (p *simProcess) start() {
	p.up, p.guard = true, NewGuard()
	p.evidence = NewEvidence(p.guard)
}

func (m *simulation) schedule(d time.Duration, run func()) {
	m.serial++
	heap.Push(&m.events, event{m.now + d, m.serial, run})
}

func (m *simulation) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= until {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	m.now = until
}

// randomDuration draws a duration between two numbers of milliseconds.
func (m *simulation) randomDuration(least, most int) time.Duration {
	return time.Duration(least+m.random.IntN(most-least)) * time.Millisecond
}

func (m *simulation) startUpstream(u *simUpstream) {
	m.serial++
	u.serial, u.up, u.calls = m.serial, true, nil
}

func (c *simCall) call() Call {
	return Call{Customer: "foundry", Method: "POST", Host: "h", Target: "/x", Body: []byte(c.body), Service: "llm", Parts: c.parts}
}

// startCallers sends perSecond calls with bodies from body, for the duration d.
func (m *simulation) startCallers(perSecond int, d time.Duration, tries int, body func() string) {
	m.startPrompts(perSecond, d, tries, func() (string, []string) { return body(), nil })
}

// startPrompts is the same for calls with prompts of parts.
func (m *simulation) startPrompts(perSecond int, d time.Duration, tries int, call func() (body string, parts []string)) {
	for at := time.Duration(0); at < d; at += time.Second / time.Duration(perSecond) {
		m.schedule(at, func() {
			body, parts := call()
			m.send(body, parts, tries)
		})
	}
}

// send sends a call to a random process.
func (m *simulation) send(body string, parts []string, tries int) {
	c := &simCall{body: body, parts: parts, process: m.processes[m.random.IntN(len(m.processes))], tries: tries, repeats: 1}
	if !c.process.up {
		m.retry(c)
		return
	}
	if m.check(c) {
		m.schedule(m.randomDuration(0, 800), func() { m.dispatch(c) }) // time spent in earlier stages
	}
}

func (m *simulation) retry(c *simCall) {
	if c.tries > 0 {
		m.schedule(m.randomDuration(50, 300), func() { m.send(c.body, c.parts, c.tries-1) })
	}
}

// check reports whether the call may reach an upstream.
func (m *simulation) check(c *simCall) bool {
	status, _ := c.process.guard.Check(c.call(), c.process.disconnected)
	if status == Barred && m.poison(c) == nil {
		m.refused++
		m.refusedParts = append(m.refusedParts, fmt.Sprint(m.now, c.body, c.parts))
	}
	return status != Barred
}

// poison returns the record of what makes the call crash upstreams, or nil.
func (m *simulation) poison(c *simCall) *poisonCall {
	for _, part := range c.parts {
		if g := m.poisonParts[part]; g != nil {
			return g
		}
	}
	return m.poisonCalls[c.body]
}

// dispatch sends the call to a random upstream.
func (m *simulation) dispatch(c *simCall) {
	u := m.upstreams[m.random.IntN(len(m.upstreams))]
	if !c.process.up || !m.check(c) {
		return
	}
	if !u.up {
		m.schedule(time.Millisecond, func() { m.dispatch(c) })
		return
	}
	g := m.poison(c)
	c.begun = 0
	if g != nil && !c.process.disconnected {
		g.arrived = append(g.arrived, m.now)
	}
	serial := u.serial
	u.calls = append(u.calls, c)
	if g != nil {
		m.schedule(m.randomDuration(0, 340), func() { // it is queued, and its process may cancel it there
			if c.process.up && !m.check(c) {
				return
			}
			m.schedule(crashDelay, func() {
				if u.serial == serial {
					g.crashes = append(g.crashes, m.now)
					m.crash(u)
				}
			})
		})
		return
	}
	if len(c.parts) > 0 {
		m.begin(u, c)
	}
	m.schedule(m.randomDuration(200, 2000), func() {
		if u.serial == serial {
			u.calls = slices.DeleteFunc(u.calls, func(other *simCall) bool { return other == c })
			m.answered(c)
		}
	})
}

// begin has the upstream send the first event of its answer some time later.
func (m *simulation) begin(u *simUpstream, c *simCall) {
	serial, first := u.serial, m.randomDuration(60, 200)
	m.schedule(first, func() {
		if u.serial == serial {
			c.begun = m.now
		}
	})
	m.schedule(first+answerStart, func() {
		if u.serial == serial && c.process.up {
			m.reportAny(c.process, c.process.evidence.Begun(c.call(), "chat", m.wallClock()))
		}
	})
}

func (m *simulation) answered(c *simCall) {
	m.served++
	if report := c.process.evidence.Answered(c.call(), "chat", m.wallClock()); c.process.up {
		m.reportAny(c.process, report)
	}
}

// wallClock returns the time of day.
func (m *simulation) wallClock() time.Time { return time.Unix(1000, 0).Add(m.now) }

func (m *simulation) reportAny(p *simProcess, r *wire.CrashReport) {
	if r != nil {
		m.report(p, r)
	}
}

// crash interrupts all calls of an upstream and restarts it some time later.
func (m *simulation) crash(u *simUpstream) {
	crashedAt := m.now
	calls, start := u.calls, wire.Start{ID: wire.MemberID(fmt.Sprint("i-", u.serial)), Incarnation: 1}
	u.up, u.calls = false, nil
	m.serial++
	u.serial = m.serial
	for _, c := range calls {
		m.schedule(m.randomDuration(1, 15), func() { m.interrupted(c, start, crashedAt) })
	}
	m.schedule(m.randomDuration(700, 2000), func() { m.startUpstream(u) })
}

func (m *simulation) interrupted(c *simCall, start wire.Start, crashedAt time.Duration) {
	if !c.process.up {
		m.retry(c)
		return
	}
	b := InterruptedCall{Call: c.call(), Route: "chat", Upstream: wire.Member{ID: start.ID, Incarnation: start.Incarnation}}
	if c.begun > 0 {
		b.Running = crashedAt - c.begun
	}
	m.report(c.process, c.process.evidence.Crashed(b, m.wallClock()))
	if status, _ := c.process.guard.Check(c.call(), true); status == Unsuspected && c.repeats > 0 {
		c.repeats--
		m.dispatch(c)
		return
	}
	m.retry(c)
}

// report sends a report to the ledger and publishes the suspects to all processes. Messages to and from
// disconnected processes are held back.
func (m *simulation) report(p *simProcess, r *wire.CrashReport) {
	p.guard.RecordLocal(r, m.wallClock())
	m.deliver(p, func() {
		m.ledger.Apply(r, m.now.Milliseconds())
		for _, other := range m.processes {
			m.deliver(other, func() { other.guard.Update(m.ledger.Suspects()) })
		}
	})
}

// deliver runs f after the latency of a message between the process and control.
func (m *simulation) deliver(p *simProcess, f func()) {
	m.schedule(m.randomDuration(10, 60), func() {
		if p.disconnected {
			p.undelivered = append(p.undelivered, f)
			return
		}
		f()
	})
}

func (m *simulation) reconnect(p *simProcess) {
	p.disconnected = false
	for _, f := range p.undelivered {
		f()
	}
	p.undelivered = nil
	p.guard.Update(m.ledger.Suspects())
}

// restartProcesses stops all processes; they restart with only the replicated suspects.
func (m *simulation) restartProcesses() {
	for _, p := range m.processes {
		p.up = false
		m.schedule(m.randomDuration(500, 1500), func() {
			p.start()
			p.guard.Update(m.ledger.Suspects())
		})
	}
}

// arrivedAfter counts the copies that reached an upstream later than d after the third crash.
func (g *poisonCall) arrivedAfter(d time.Duration) int {
	n := 0
	for _, at := range g.arrived {
		if len(g.crashes) >= barAfter && at > g.crashes[barAfter-1]+d {
			n++
		}
	}
	return n
}

func (m *simulation) addPoisonCall(body string) func() string {
	m.poisonCalls[body] = &poisonCall{}
	return func() string { return body }
}

// TestPoisonCalls sends poison calls among innocent ones: many different calls, and one body that
// is sent all the time. Some processes are cut off from control for a while, and all are restarted once.
func TestPoisonCalls(t *testing.T) {
	cases := map[string]struct {
		poisonCalls []string
		perSecond   int // copies of each poison call
		cuts        bool
	}{
		"sequential copies":      {[]string{"f"}, 1, false},
		"concurrent copies":      {[]string{"f"}, 8, false},
		"two poison calls":       {[]string{"f", "g"}, 8, false},
		"disconnected processes": {[]string{"f"}, 8, true},
	}
	for name, c := range cases {
		seeds := uint64(30)
		if testing.Short() {
			seeds = 4 // the race detector makes each about ten times slower
		}
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				m := newModel(seed)
				serial := 0
				m.startCallers(60, 40*time.Second, 2, func() string { serial++; return fmt.Sprint("call ", serial) })
				m.startCallers(30, 40*time.Second, 2, func() string { return "popular" })
				for _, body := range c.poisonCalls {
					name := m.addPoisonCall(body)
					m.schedule(4*time.Second, func() { m.startCallers(c.perSecond, 12*time.Second, 0, name) })
					m.schedule(25*time.Second, func() { m.startCallers(c.perSecond, 12*time.Second, 0, name) })
				}
				if c.cuts {
					for _, p := range m.processes[:3] {
						m.schedule(3500*time.Millisecond, func() { p.disconnected = true })
						m.schedule(9*time.Second, func() { m.reconnect(p) })
					}
				}
				m.schedule(20*time.Second, m.restartProcesses)
				m.run(45 * time.Second)
				for body, g := range m.poisonCalls {
					if late := g.arrivedAfter(maxDetectionTime); late > maxLateArrivals {
						t.Errorf("%s crashed %d upstreams, at %v; %d copies reached an upstream after the detection time", body, len(g.crashes), g.crashes, late)
					}
					if late := g.arrivedAfter(propagationTime); !c.cuts && len(m.poisonCalls) == 1 && late > 0 {
						t.Errorf("%s crashed %d upstreams, at %v; %d copies reached an upstream after all processes knew", body, len(g.crashes), g.crashes, late)
					}
					if c.perSecond == 1 && len(g.crashes) > maxCrashes {
						t.Errorf("%s crashed %d upstreams, at %v", body, len(g.crashes), g.crashes)
					}
				}
				allowed := 0
				if c.cuts { // disconnected processes do not know which other calls were in flight
					allowed = m.served / falsePositiveOneIn
				}
				if m.refused > allowed || m.served < 3000 {
					t.Errorf("%d innocent calls were refused, %d served", m.refused, m.served)
				}
			})
		}
	}
}
