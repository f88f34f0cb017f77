package streamorigin

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/eligibility"
)

// The simulation has any number of processes, without a network, on a virtual clock: streams begin, break and are
// taken up at other processes, while processes are lost, cut off, frozen and restarted, and upstreams of several
// versions come, go and return at old addresses. Each process learns of changes of the members at a time of its own.

const (
	simVersions   = 3
	simUpstreams  = 12
	simRefused    = time.Millisecond       // until a connection to a lost process fails
	simSilent     = 300 * time.Millisecond // until a message to a process that does not answer fails
	maxSimDelay   = 5 * time.Millisecond   // of a message
	maxSimViewLag = 700 * time.Millisecond
)

type simEvent struct {
	at     time.Time
	serial int
	run    func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].serial < q[j].serial
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simProcess is one process and what it knows.
type simProcess struct {
	member    wire.Member
	alive     bool
	cut       bool // from all processes, and from changes of the members
	frozen    bool
	tracker   *Tracker
	upstreams []wire.Member // as this process knows them
}

// simulation is the world around the processes.
type simulation struct {
	t         *testing.T
	rand      *rand.Rand
	now       time.Time
	queue     simQueue
	serial    int
	processes []*simProcess
	list      []wire.Member // of those that run; nil after a change
	byID      map[wire.MemberID]*simProcess
	upstreams []wire.Member     // by address; those that serve now
	began     map[Key]string    // version of the first event
	results   map[string][2]int // streams taken up that went on, and all, by phase
}

func newSimulation(t *testing.T, seed uint64, processes, dataCenters int) *simulation {
	s := &simulation{t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), byID: map[wire.MemberID]*simProcess{}, began: map[Key]string{}, results: map[string][2]int{}}
	for i := range simUpstreams {
		s.upstreams = append(s.upstreams, s.newUpstream(i))
	}
	for i := range processes {
		s.processes = append(s.processes, &simProcess{alive: true, tracker: NewTracker(),
			member: wire.Member{ID: wire.MemberID(fmt.Sprint("edge-", i)), DataCenter: fmt.Sprint("dc-", i%dataCenters), Incarnation: 1, Peer: fmt.Sprint("edge-", i)}})
	}
	members := s.members()
	for _, p := range s.processes {
		s.byID[p.member.ID] = p
		s.inform(p, members, slices.Clone(s.upstreams))
	}
	return s
}

// newUpstream starts an upstream at an address, which may have been that of another one.
func (s *simulation) newUpstream(address int) wire.Member {
	s.serial++
	return wire.Member{ID: wire.MemberID(fmt.Sprint("i-", s.serial)), Service: "llm", Direct: fmt.Sprint(address), Version: fmt.Sprint("v", s.rand.IntN(simVersions))}
}

func (s *simulation) after(d time.Duration, run func()) {
	s.serial++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.serial, run})
}

// run plays all events up to d from now.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *simulation) delay() time.Duration { return time.Duration(s.rand.Int64N(int64(maxSimDelay))) }

func (s *simulation) members() []wire.Member {
	if s.list == nil {
		for _, p := range s.processes {
			if p.alive {
				s.list = append(s.list, p.member)
			}
		}
	}
	return s.list
}

func (s *simulation) inform(p *simProcess, members, upstreams []wire.Member) {
	p.upstreams = upstreams
	s.dispatch(p, p.tracker.SetProcesses(s.now, p.member.ID, members))
}

// membersChanged tells all processes of the members after a while.
func (s *simulation) membersChanged() {
	s.list = nil
	for _, p := range s.processes {
		s.after(time.Duration(s.rand.Int64N(int64(maxSimViewLag))), func() {
			if p.alive && !p.cut && !p.frozen {
				s.inform(p, s.members(), slices.Clone(s.upstreams))
			}
		})
	}
}

// reaches reports whether messages pass between two processes, and how long it takes to notice if not.
func (s *simulation) reaches(from, to *simProcess) (noticed time.Duration, reached bool) {
	switch {
	case !to.alive:
		return simRefused, false
	case from.cut || to.cut || to.frozen:
		return simSilent, false
	}
	return 0, true
}

func (s *simulation) dispatch(from *simProcess, list []Send) {
	tracker := from.tracker
	for _, x := range list {
		to := s.byID[x.To.ID]
		failed := func() {
			if from.tracker == tracker {
				s.dispatch(from, tracker.Failed(s.now, x.To, x.Record.Key))
			}
		}
		s.after(s.delay(), func() {
			noticed, reached := s.reaches(from, to)
			if !reached {
				s.after(noticed, failed)
				return
			}
			to.tracker.Take(s.now, x.Record)
			s.after(s.delay(), func() { tracker.Acked(s.now, x.Record.Key) })
		})
	}
}

// send sends a call to an upstream that the process knows and the constraint allows. It returns the version of the
// one that runs it, and false if none does: another upstream at the address rejects the call.
func (s *simulation) send(p *simProcess, c eligibility.Constraint) (version string, ran bool) {
	list := c.Filter(p.upstreams)
	for range 3 {
		if len(list) == 0 {
			return "", false
		}
		m := list[s.rand.IntN(len(list))]
		for _, u := range s.upstreams {
			if u.Direct == m.Direct && u.ID == m.ID {
				return u.Version, true
			}
		}
	}
	return "", false
}

// begin begins a stream at a process.
func (s *simulation) begin(p *simProcess, attempt string) (Key, bool) {
	key := Key{Customer: "foundry", Attempt: attempt}
	version, ran := s.send(p, eligibility.Constraint{})
	if !ran {
		return key, false
	}
	s.began[key] = version
	s.dispatch(p, p.tracker.Begin(s.now, Record{Key: key, Origin: Origin{Service: "llm", Version: version}, TTL: 12 * time.Second}))
	return key, true
}

// takeUp has a caller take a stream up at a process, and counts whether it goes on.
func (s *simulation) takeUp(phase string, p *simProcess, key Key) {
	done := func(a Answer) {
		r := s.results[phase]
		r[1]++
		defer func() { s.results[phase] = r }()
		if !a.Known {
			return
		}
		if version, ran := s.send(p, eligibility.Constraint{Version: &a.Origin.Version}); ran {
			r[0]++
			if version != s.began[key] {
				s.t.Fatalf("%s: a stream that began at %s goes on at %s", phase, s.began[key], version)
			}
			return
		}
		if !slices.ContainsFunc(s.upstreams, func(m wire.Member) bool { return m.Version == s.began[key] }) {
			r[1]-- // no upstream of its version is left
		}
	}
	if a := p.tracker.Find(s.now, key); a.Known || a.Conflict {
		done(a)
		return
	}
	asked := p.tracker.Askable(key)
	if len(asked) == 0 {
		done(Answer{})
		return
	}
	lookup, over := NewLookup(len(asked)), false
	add := func(a *Answer) {
		if !over && lookup.Add(a) {
			over = true
			done(lookup.Result())
		}
	}
	for _, m := range asked {
		to := s.byID[m.ID]
		s.after(s.delay(), func() {
			noticed, reached := s.reaches(p, to)
			if !reached {
				s.after(noticed, func() { add(nil) })
				return
			}
			a := to.tracker.Find(s.now, key)
			s.after(s.delay(), func() { add(&a) })
		})
	}
}

// kill ends a process without warning; its records are lost.
func (s *simulation) kill(p *simProcess) {
	p.alive, p.frozen, p.cut = false, false, false
	s.membersChanged()
}

func (s *simulation) start(p *simProcess) {
	p.member.Incarnation++
	p.alive, p.member.Leaving, p.tracker = true, false, NewTracker()
	s.list = nil
	s.inform(p, s.members(), slices.Clone(s.upstreams))
	s.membersChanged()
}

// stop stops a process as planned: it says that it leaves, and hands its records over.
func (s *simulation) stop(p *simProcess) {
	p.member.Leaving = true
	s.membersChanged()
	s.after(2*time.Second, func() {
		s.dispatch(p, p.tracker.HandOver(s.now))
		s.after(2*maxSimDelay, func() { s.kill(p) })
	})
}

// healthy returns a process that runs and is reached, other than the given one.
func (s *simulation) healthy(not *simProcess) *simProcess {
	for range 50 {
		if p := s.processes[s.rand.IntN(len(s.processes))]; p != not && p.alive && !p.cut && !p.frozen {
			return p
		}
	}
	return nil
}

func (s *simulation) wantShare(phase string, least float64) {
	s.t.Helper()
	r := s.results[phase]
	s.t.Logf("%d processes, %s: %d of %d streams go on", len(s.processes), phase, r[0], r[1])
	if r[1] == 0 || float64(r[0]) < least*float64(r[1]) {
		s.t.Errorf("%s, %d processes: %d of %d streams go on, want %.2f", phase, len(s.processes), r[0], r[1], least)
	}
}

// least is the share of the streams taken up that must go on in a healthy cluster, and after the loss of one process.
const least = 0.95

// TestStreamsGoOnInAHealthyCluster has streams taken up at random processes, once and a second time, while all
// processes run, after the process that began them was killed, and after another one with it, after one that holds
// records was killed, and while the processes are restarted one after the other.
func TestStreamsGoOnInAHealthyCluster(t *testing.T) {
	for _, c := range []struct{ processes, dataCenters int }{{2, 1}, {2, 2}, {3, 1}, {4, 2}, {8, 4}, {60, 6}, {360, 6}, {1000, 18}} {
		if testing.Short() && c.processes > 60 {
			continue
		}
		s := newSimulation(t, uint64(c.processes), c.processes, c.dataCenters)
		beginAll := func(phase string, n int, at func() *simProcess) (keys []Key) {
			for i := range n {
				if key, ok := s.begin(at(), fmt.Sprint(phase, i)); ok {
					keys = append(keys, key)
				}
			}
			s.run(50 * time.Millisecond)
			return keys
		}
		takeUpAll := func(phase string, keys []Key, not *simProcess) {
			for _, key := range keys {
				s.takeUp(phase, s.healthy(not), key)
			}
			s.run(time.Second)
			s.wantShare(phase, least)
		}
		keys := beginAll("healthy", 200, func() *simProcess { return s.healthy(nil) })
		takeUpAll("healthy", keys, nil)
		takeUpAll("healthy, again", keys, nil)

		lost := s.healthy(nil)
		keys = beginAll("server lost", 200, func() *simProcess { return lost })
		s.kill(lost)
		takeUpAll("server lost", keys, lost)
		s.start(lost)
		s.run(time.Second)

		if len(s.processes) > 3 {
			keys = beginAll("server and another one lost", 200, func() *simProcess { return lost })
			other := s.healthy(lost)
			s.kill(lost)
			s.kill(other)
			takeUpAll("server and another one lost", keys, lost)
			s.start(lost)
			s.start(other)
			s.run(time.Second)
		}

		keys = beginAll("holder lost", 200, func() *simProcess { return s.healthy(nil) })
		lost = s.healthy(nil)
		s.kill(lost)
		takeUpAll("holder lost", keys, lost)
		s.start(lost)
		s.run(time.Second)

		keys = beginAll("rolling restart", 200, func() *simProcess { return s.healthy(nil) })
		for i, p := range s.processes[:min(4, len(s.processes)-1)] {
			s.after(time.Duration(i)*1200*time.Millisecond, func() { s.stop(p) })
			s.after(time.Duration(i)*1200*time.Millisecond+2100*time.Millisecond, func() { s.start(p) })
		}
		s.run(8 * time.Second)
		takeUpAll("rolling restart", keys, nil)
	}
}

// TestCopiesAreReplaced kills the processes that hold the records of one process, one after the other, and then that
// process itself: its streams are known, since it has sent new copies meanwhile.
func TestCopiesAreReplaced(t *testing.T) {
	s := newSimulation(t, 1, 8, 4)
	server := s.processes[0]
	var keys []Key
	for i := range 100 {
		if key, ok := s.begin(server, fmt.Sprint(i)); ok {
			keys = append(keys, key)
		}
	}
	s.run(50 * time.Millisecond)
	for _, p := range s.processes[3:] {
		s.kill(p)
		s.run(time.Second)
	}
	s.kill(server)
	for _, key := range keys {
		s.takeUp("replaced", s.processes[1], key)
	}
	s.run(time.Second)
	s.wantShare("replaced", least)
}

// TestStreamsOfAProcessCutOff has a process that is cut off begin streams: they are not known elsewhere, and go on
// there only.
func TestStreamsOfAProcessCutOff(t *testing.T) {
	s := newSimulation(t, 1, 8, 4)
	p := s.processes[3]
	p.cut = true
	key, _ := s.begin(p, "a")
	s.run(time.Second)
	s.takeUp("elsewhere", s.processes[0], key)
	s.run(time.Second)
	s.takeUp("there", p, key)
	s.run(time.Second)
	if got := s.results["elsewhere"]; got != [2]int{0, 1} {
		t.Fatalf("elsewhere %v", got)
	}
	if got := s.results["there"]; got != [2]int{1, 1} {
		t.Fatalf("there %v", got)
	}
	p.cut = false
	s.membersChanged()
	s.run(time.Second)
}

// TestNoStreamGoesOnAtAnotherVersion plays random losses, cuts, freezes, restarts and changes of the upstreams, many at
// once, up to the loss of all processes. No stream goes on at another version, whatever is lost.
func TestNoStreamGoesOnAtAnotherVersion(t *testing.T) {
	runs := 140
	if testing.Short() {
		runs = 21
	}
	known, all := 0, 0
	for seed := range uint64(runs) {
		processes := []int{1, 2, 3, 5, 8, 24, 60}[seed%7]
		s := newSimulation(t, seed, processes, 1+int(seed%4))
		var keys []Key
		for step := range 80 {
			s.randomFault()
			for i := range 4 {
				if p := s.processes[s.rand.IntN(processes)]; p.alive && !p.frozen {
					if key, ok := s.begin(p, fmt.Sprint(step, "-", i)); ok {
						keys = append(keys, key)
					}
				}
				if p := s.processes[s.rand.IntN(processes)]; p.alive && !p.frozen && len(keys) > 0 {
					s.takeUp("random", p, keys[len(keys)-1-s.rand.IntN(min(len(keys), 60))])
				}
			}
			s.run(time.Duration(s.rand.Int64N(int64(200 * time.Millisecond))))
		}
		r := s.results["random"]
		known, all = known+r[0], all+r[1]
	}
	if known == 0 || known == all {
		t.Fatalf("%d of %d streams went on; the faults had no effect", known, all)
	}
}

// randomFault changes the state of a process or an upstream, or nothing.
func (s *simulation) randomFault() {
	p := s.processes[s.rand.IntN(len(s.processes))]
	switch s.rand.IntN(12) {
	case 0:
		if p.alive {
			s.kill(p)
		}
	case 1, 2:
		for _, q := range s.processes {
			if !q.alive {
				s.start(q)
			}
		}
	case 3:
		p.cut = !p.cut
	case 4:
		p.frozen = p.alive && !p.frozen
	case 5:
		for _, q := range s.processes {
			q.cut, q.frozen = false, false
		}
		s.membersChanged()
	case 6, 7, 8:
		s.upstreams[s.rand.IntN(simUpstreams)] = s.newUpstream(s.rand.IntN(simUpstreams))
		s.membersChanged()
	case 9:
		if s.rand.IntN(10) == 0 {
			for _, q := range s.processes {
				s.kill(q)
			}
		}
	case 10:
		if p.alive && !p.member.Leaving {
			s.stop(p)
		}
	}
}
