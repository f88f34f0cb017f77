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
	// runTime is how long an upstream that a call ends runs it, and newsTime is within which a report
	// has reached the ledger and its news all processes.
	crashDelay      = 70 * time.Millisecond
	propagationTime = 135 * time.Millisecond
	// contact is within which all processes must know that three upstreams ended.
	maxDetectionTime = 3 * time.Second
	// mostEnded is how many upstreams one call may end, and mostArrive how many copies of it may
	// reach one later than contact after the third end.
	maxCrashes      = 5
	maxLateArrivals = 3
	// deniedOneIn is the part of innocent calls that may be refused.
	falsePositiveOneIn = 500
)

// model is a system on a virtual clock: processes that each know what has reached them, a ledger that a
// quorum holds, and upstreams that end under some calls.
type simulation struct {
	random    *rand.Rand
	now       time.Duration
	events    events
	serial    int
	ledger    Ledger
	processes []*simProcess
	upstreams []*simUpstream

	poisonCalls map[string]*poisonCall // by body
	served      int
	refused     int // innocent calls that were barred at a process
}

// guilty is what a call that ends upstreams has done.
type poisonCall struct {
	crashes []time.Duration
	arrived []time.Duration // at upstreams, from processes in touch
}

type simProcess struct {
	guard        *Guard
	answers      *Answers
	up           bool
	disconnected bool // from control
	undelivered  []func()
}

type simUpstream struct {
	serial int
	up     bool
	calls  []*simCall // in the order in which they came
}

type simCall struct {
	body    string
	process *simProcess
	tries   int // of its caller, that are left
	repeats int // of the process, that are left
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

// events is a heap of what is to happen.
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

func newModel(seed uint64) *simulation {
	m := &simulation{random: rand.New(rand.NewPCG(seed, 1)), poisonCalls: map[string]*poisonCall{}}
	for range simProcesses {
		m.processes = append(m.processes, &simProcess{guard: NewGuard(), answers: NewAnswers(), up: true})
	}
	for range simUpstreams {
		u := &simUpstream{}
		m.upstreams = append(m.upstreams, u)
		m.startUpstream(u)
	}
	return m
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

// between draws a duration, in milliseconds.
func (m *simulation) randomDuration(least, most int) time.Duration {
	return time.Duration(least+m.random.IntN(most-least)) * time.Millisecond
}

func (m *simulation) startUpstream(u *simUpstream) {
	m.serial++
	u.serial, u.up, u.calls = m.serial, true, nil
}

func (c *simCall) call() Call {
	return Call{Customer: "foundry", Method: "POST", Host: "h", Target: "/x", Body: []byte(c.body)}
}

// callers sends calls with the bodies that body returns, perSecond of them, for d.
func (m *simulation) startCallers(perSecond int, d time.Duration, tries int, body func() string) {
	for at := time.Duration(0); at < d; at += time.Second / time.Duration(perSecond) {
		m.schedule(at, func() { m.send(body(), tries) })
	}
}

// send hands a call in at some process.
func (m *simulation) send(body string, tries int) {
	c := &simCall{body: body, process: m.processes[m.random.IntN(len(m.processes))], tries: tries, repeats: 1}
	if !c.process.up {
		m.retry(c)
		return
	}
	if m.check(c) {
		m.schedule(m.randomDuration(0, 800), func() { m.dispatch(c) }) // its stages
	}
}

func (m *simulation) retry(c *simCall) {
	if c.tries > 0 {
		m.schedule(m.randomDuration(50, 300), func() { m.send(c.body, c.tries-1) })
	}
}

// check reports whether the call may reach an upstream.
func (m *simulation) check(c *simCall) bool {
	standing, _ := c.process.guard.Check(c.call(), c.process.disconnected)
	if standing == Barred && m.poisonCalls[c.body] == nil {
		m.refused++
	}
	return standing != Barred
}

// offer sends the call to an upstream.
func (m *simulation) dispatch(c *simCall) {
	u := m.upstreams[m.random.IntN(len(m.upstreams))]
	if !c.process.up || !m.check(c) {
		return
	}
	if !u.up {
		m.schedule(time.Millisecond, func() { m.dispatch(c) })
		return
	}
	g := m.poisonCalls[c.body]
	if g != nil && !c.process.disconnected {
		g.arrived = append(g.arrived, m.now)
	}
	serial := u.serial
	u.calls = append(u.calls, c)
	if g != nil {
		m.schedule(m.randomDuration(0, 340), func() { // it waits for its turn, unless its process ends it
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
	m.schedule(m.randomDuration(200, 2000), func() {
		if u.serial == serial {
			u.calls = slices.DeleteFunc(u.calls, func(other *simCall) bool { return other == c })
			m.answered(c)
		}
	})
}

func (m *simulation) answered(c *simCall) {
	m.served++
	c.process.answers.Add(c.call())
	if standing, _ := c.process.guard.Check(c.call(), true); standing != Unsuspected && c.process.up {
		m.report(c.process, &wire.CrashReport{Answered: []wire.CallSketch{c.call().Sketch("chat")}})
	}
}

// end ends an upstream: its calls break off, and it is back some time later.
func (m *simulation) crash(u *simUpstream) {
	calls, start := u.calls, wire.Start{ID: wire.MemberID(fmt.Sprint("i-", u.serial)), Incarnation: 1}
	u.up, u.calls = false, nil
	m.serial++
	u.serial = m.serial
	for _, c := range calls {
		m.schedule(m.randomDuration(1, 15), func() { m.interrupted(c, start) })
	}
	m.schedule(m.randomDuration(700, 2000), func() { m.startUpstream(u) })
}

func (m *simulation) interrupted(c *simCall, start wire.Start) {
	if !c.process.up {
		m.retry(c)
		return
	}
	sketch := c.call().Sketch("chat")
	r := &wire.CrashReport{Crashes: []wire.Crash{{Upstream: start, Calls: []wire.CallSketch{sketch}}}}
	if c.process.answers.Take(c.call()) {
		r = &wire.CrashReport{Answered: []wire.CallSketch{sketch}}
	}
	m.report(c.process, r)
	if standing, _ := c.process.guard.Check(c.call(), true); standing == Unsuspected && c.repeats > 0 {
		c.repeats--
		m.dispatch(c)
		return
	}
	m.retry(c)
}

// report reaches the ledger, and its news the processes, unless a cut holds them up.
func (m *simulation) report(p *simProcess, r *wire.CrashReport) {
	p.guard.Seen(r, time.Unix(1000, 0).Add(m.now))
	m.deliver(p, func() {
		m.ledger.Take(r, m.now.Milliseconds())
		for _, other := range m.processes {
			m.deliver(other, func() { other.guard.Follow(m.ledger.Suspects()) })
		}
	})
}

// reach runs f once a message has passed between the process and control.
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
	p.guard.Follow(m.ledger.Suspects())
}

// kill ends all processes; they are back with what a quorum holds, and nothing else.
func (m *simulation) restartProcesses() {
	for _, p := range m.processes {
		p.up = false
		m.schedule(m.randomDuration(500, 1500), func() {
			p.up, p.guard, p.answers = true, NewGuard(), NewAnswers()
			p.guard.Follow(m.ledger.Suspects())
		})
	}
}

// arrivedAfter counts the copies that reached an upstream later than d after three had ended.
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

// TestCallsThatEndUpstreams plays calls that end upstreams among innocent ones: many that come once, and one body that
// comes all the time. Some processes are cut off from control for a while, and all are killed once.
func TestCallsThatEndUpstreams(t *testing.T) {
	cases := map[string]struct {
		guilty    []string
		perSecond int // copies of each
		cuts      bool
	}{
		"copies one after the other": {[]string{"f"}, 1, false},
		"many copies at once":        {[]string{"f"}, 8, false},
		"two calls at once":          {[]string{"f", "g"}, 8, false},
		"some processes are cut off": {[]string{"f"}, 8, true},
	}
	for name, c := range cases {
		seeds := uint64(30)
		if testing.Short() {
			seeds = 4 // the race detector makes each tenfold slower
		}
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				m := newModel(seed)
				serial := 0
				m.startCallers(60, 40*time.Second, 2, func() string { serial++; return fmt.Sprint("call ", serial) })
				m.startCallers(30, 40*time.Second, 2, func() string { return "popular" })
				for _, body := range c.guilty {
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
						t.Errorf("%s ended %d upstreams, at %v; %d copies reached one after all should know", body, len(g.crashes), g.crashes, late)
					}
					if late := g.arrivedAfter(propagationTime); !c.cuts && len(m.poisonCalls) == 1 && late > 0 {
						t.Errorf("%s ended %d upstreams, at %v; %d copies reached one after all knew", body, len(g.crashes), g.crashes, late)
					}
					if c.perSecond == 1 && len(g.crashes) > maxCrashes {
						t.Errorf("%s ended %d upstreams, at %v", body, len(g.crashes), g.crashes)
					}
				}
				allowed := 0
				if c.cuts { // calls of processes that cannot say what was on an upstream accuse others
					allowed = m.served / falsePositiveOneIn
				}
				if m.refused > allowed || m.served < 3000 {
					t.Errorf("%d innocent calls were refused, %d served", m.refused, m.served)
				}
			})
		}
	}
}
