package stagework

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/requestlimit"
	"caperdrum.org/node/upstream"
)

// These tests guard against the following failure: an upstream named a limit on the requests that it takes from all
// processes together, and the processes that knew it sent more, although none of them was above the limit by
// itself. They run any number of processes on one fake clock, with the product's notices, denials and permits:
// processes learn of the limit in any order, restart, are cut off and get another owner, while the limit
// changes.

const (
	limitWindow     = 4 * time.Second        // in which the upstream's requests are counted
	limitExcess     = 1.5                    // what it may get in a window, relative to its limit
	limitSlack      = 5                      // and in addition
	toldBefore      = 500 * time.Millisecond // requests of processes that were told less than this before do not count
	limitGrace      = 3 * time.Second        // after a limit was first named
	maxMessageDelay = 50 * time.Millisecond
	maxConnectTime  = 200 * time.Millisecond
	maxServiceTime  = 500 * time.Millisecond
	maxViewDelay    = 2 * time.Second         // until processes know of another owner
	maxStampAge     = 2300 * time.Millisecond // of the confirmations that an owner gets
)

// limitSimulation has processes send requests to one upstream.
type limitSimulation struct {
	clock     *clockwork.FakeClock
	start     time.Time
	random    *rand.Rand
	events    eventQueue
	processes []*limitProcess
	epoch     int
	upstream  wire.Member
	limits    []limitChange // oldest first
	named     time.Time     // when the upstream first named its present limit
	arrivals  []time.Time   // of requests that count, in order
	sent      int           // arrivals of any kind
}

// limitChange is what the upstream names from a moment on; below zero, it names nothing.
type limitChange struct {
	at        time.Time
	perSecond float64
}

type limitProcess struct {
	sim         *limitSimulation
	incarnation int
	weight      float64
	notices     *upstream.Notices
	denials     requestlimit.Denials
	toldAt      time.Time // first response that named the present limit; zero if there was none
	owner       *limitProcess
	cutOff      time.Time // partitioned from control until then
	permits     *permits
	ownerEpoch  int // for which it hands out permits; zero: it is not the owner
	confirmed   time.Time
}

type timedEvent struct {
	at time.Time
	do func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newLimitSimulation(n int, seed uint64) *limitSimulation {
	s := &limitSimulation{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 55)), upstream: wire.Member{ID: "i-1", Incarnation: 1, Service: "s"}, epoch: 1}
	s.start = s.clock.Now()
	for range n {
		p := &limitProcess{sim: s, weight: 1}
		s.processes = append(s.processes, p)
		p.restart()
	}
	for _, p := range s.processes {
		p.owner = s.processes[0]
	}
	s.processes[0].becomeOwner(1)
	return s
}

func (s *limitSimulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, timedEvent{s.clock.Now().Add(d), do})
}

func (s *limitSimulation) delay(most time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(most)))
}

// run simulates d with perSecond requests of callers.
func (s *limitSimulation) run(d time.Duration, perSecond float64) {
	end := s.clock.Now().Add(d)
	var request func()
	next := func() {
		wait := time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		if s.clock.Now().Add(wait).Before(end) {
			s.after(wait, request)
		}
	}
	request = func() {
		s.pick().request()
		next()
	}
	next()
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		x := heap.Pop(&s.events).(timedEvent)
		s.clock.Advance(x.at.Sub(s.clock.Now()))
		x.do()
	}
	s.clock.Advance(end.Sub(s.clock.Now()))
}

func (s *limitSimulation) pick() *limitProcess {
	sum := 0.0
	for _, p := range s.processes {
		sum += p.weight
	}
	at := s.random.Float64() * sum
	for _, p := range s.processes {
		if at < p.weight {
			return p
		}
		at -= p.weight
	}
	return s.processes[0]
}

func (s *limitSimulation) setLimit(perSecond float64) {
	if s.limit() < 0 {
		s.named = s.clock.Now()
		for _, p := range s.processes {
			p.toldAt = time.Time{}
		}
	}
	s.limits = append(s.limits, limitChange{s.clock.Now(), perSecond})
}

func (s *limitSimulation) limit() float64 {
	if len(s.limits) == 0 {
		return -1
	}
	return s.limits[len(s.limits)-1].perSecond
}

// restart ends the process, and its next incarnation starts without any knowledge.
func (p *limitProcess) restart() {
	p.incarnation++
	p.notices = upstream.NewNotices(logr.Discard(), p.sim.clock)
	p.notices.OnLimitChanged(func(wire.Start) { p.report() })
	p.denials, p.permits, p.ownerEpoch, p.toldAt = requestlimit.Denials{}, nil, 0, time.Time{}
}

// becomeOwner has the process hand out permits.
func (p *limitProcess) becomeOwner(epoch int) {
	if p.ownerEpoch >= epoch {
		return
	}
	p.ownerEpoch, p.permits = epoch, newPermits()
	p.permits.notices = p.notices
	p.permits.reset(p.sim.clock.Now(), epoch > 1)
	p.confirmed = p.sim.clock.Now()
}

// nameOwner names another owner. The processes learn of it with the next view, those that are cut off when they
// are back.
func (s *limitSimulation) nameOwner(next *limitProcess) {
	s.epoch++
	epoch, named := s.epoch, next.incarnation
	for _, p := range s.processes {
		var learn func()
		learn = func() {
			if cut := p.cutOff.Sub(s.clock.Now()); cut > 0 {
				s.after(cut+s.delay(maxViewDelay), learn)
				return
			}
			if epoch != s.epoch {
				return // a later owner is named
			}
			p.owner = next
			switch {
			case p == next && p.incarnation == named:
				p.becomeOwner(epoch)
			case p != next:
				p.ownerEpoch = 0
			}
			p.report()
		}
		s.after(s.delay(maxViewDelay), learn)
	}
}

// report tells the owner of the limit.
func (p *limitProcess) report() {
	list := p.notices.LimitNotices([]wire.Start{p.sim.upstream.Start()})
	if o := p.owner; len(list) > 0 && o != nil {
		p.sim.after(p.sim.delay(maxMessageDelay), func() { o.notices.Merge(list) })
	}
}

// request serves a caller's request if the process may send it.
func (p *limitProcess) request() {
	s, at := p.sim, p.sim.clock.Now()
	if _, limited := p.notices.Limit(s.upstream.Start()); !limited {
		s.after(s.delay(maxConnectTime), func() { p.send(upstream.Permit{}) })
		return
	}
	if _, denied := p.denials.Denied(at, s.upstream.Start()); denied {
		return
	}
	expires, incarnation, o := p.notices.PermitExpiry(), p.incarnation, p.owner
	req := &PermitRequest{Service: "s", Upstreams: p.notices.LimitNotices([]wire.Start{s.upstream.Start()})}
	s.after(s.delay(maxMessageDelay), func() {
		reply := o.answerPermit(req)
		s.after(s.delay(maxMessageDelay), func() {
			if p.incarnation != incarnation {
				return
			}
			p.notices.Merge(reply.Limits)
			if reply.Upstream.ID == "" {
				p.denials.Deny(s.clock.Now(), s.upstream.Start(), reply.Wait, reply.RetryAfter)
				return
			}
			s.after(s.delay(maxConnectTime), func() {
				if p.incarnation == incarnation {
					p.send(upstream.NewPermit(reply.Upstream, expires))
				}
			})
		})
	})
}

// answerPermit answers a request for a permit as the owner's process does.
func (p *limitProcess) answerPermit(req *PermitRequest) *PermitReply {
	if p.ownerEpoch == 0 {
		return &PermitReply{Wait: noOwnerWait}
	}
	now := p.sim.clock.Now()
	p.notices.Merge(req.Upstreams)
	if now.After(p.cutOff) && p.ownerEpoch == p.sim.epoch {
		p.confirmed = now
	}
	p.permits.confirmed(p.confirmed.Add(-p.sim.delay(maxStampAge)))
	return p.permits.answer(now, req, []wire.Member{p.sim.upstream})
}

// send sends a request unless the limit forbids it, as upstream.Pool does.
func (p *limitProcess) send(permit upstream.Permit) {
	s, now, incarnation := p.sim, p.sim.clock.Now(), p.incarnation
	if p.notices.Check(s.upstream.Start(), permit) != nil {
		return
	}
	s.sent++
	if !p.toldAt.IsZero() && now.Sub(p.toldAt) >= toldBefore && now.Sub(s.named) >= limitGrace {
		s.arrivals = append(s.arrivals, now)
	}
	s.after(s.delay(maxServiceTime), func() {
		if p.incarnation != incarnation {
			return
		}
		said := upstream.RequestLimit{Statement: upstream.LimitNone}
		if limit := s.limit(); limit >= 0 {
			said = upstream.RequestLimit{Statement: upstream.LimitNamed, PerSecond: limit}
			if p.toldAt.IsZero() {
				p.toldAt = s.clock.Now()
			}
		}
		p.notices.Record(s.upstream.Start(), upstream.ResponseInfo{Limit: said})
	})
}

// check counts the requests of each window that begins with one, as the users do. Where the limit changes, the
// largest one since shortly before the window counts.
func (s *limitSimulation) check(t interface{ Fatalf(string, ...any) }) {
	for i, at := range s.arrivals {
		end := sort.Search(len(s.arrivals), func(k int) bool { return !s.arrivals[k].Before(at.Add(limitWindow)) })
		limit := s.largestLimit(at.Add(-toldBefore), at.Add(limitWindow))
		if limit < 0 {
			continue
		}
		if n, allowed := float64(end-i), limitExcess*limit*limitWindow.Seconds()+limitSlack; n > allowed {
			t.Fatalf("%v requests in %v from %v on with a limit of %v a second, %v allowed", n, limitWindow, at.Sub(s.start), limit, allowed)
		}
	}
}

// largestLimit returns the largest limit named in a span of time, or -1 if none was named at some moment of it.
func (s *limitSimulation) largestLimit(from, to time.Time) float64 {
	largest := 0.0
	for i, l := range s.limits {
		if i+1 < len(s.limits) && s.limits[i+1].at.Before(from) || l.at.After(to) {
			continue
		}
		if l.perSecond < 0 {
			return -1
		}
		largest = max(largest, l.perSecond)
	}
	return largest
}

// TestLimitHoldsForAnyNumberOfProcesses has demand for a multiple of the limit, from few and many processes. They
// must stay below the bound, and together send most of what the limit admits.
func TestLimitHoldsForAnyNumberOfProcesses(t *testing.T) {
	processes, limits := []int{1, 2, 8, 60, 360, 1000}, []float64{0.5, 1, 4, 20, 100}
	if testing.Short() { // with the race detector the whole takes minutes
		processes, limits = []int{1, 8, 60}, []float64{1, 4}
	}
	for _, n := range processes {
		for _, limit := range limits {
			for name, weight := range map[string]func(i int) float64{
				"even":   func(int) float64 { return 1 },
				"one":    func(i int) float64 { return map[bool]float64{true: float64(10 * n), false: 1}[i == n-1] },
				"uneven": func(i int) float64 { return 1 / float64(i+1) },
			} {
				s := newLimitSimulation(n, 1)
				for i, p := range s.processes {
					p.weight = weight(i)
				}
				s.setLimit(limit)
				demand := max(4*limit, 4)
				s.run(20*time.Second, demand) // processes learn of the limit
				before := s.sent
				const seconds = 100
				s.run(seconds*time.Second, demand)
				s.check(t)
				if got := float64(s.sent-before) / seconds; got < 0.9*limit {
					t.Errorf("%d processes, %s demand, limit %v: %.2f requests a second", n, name, limit, got)
				}
			}
		}
	}
}

// TestLimitHoldsWhileTwoOwnersHandOutPermits partitions the owner and half of the processes from control, where
// another owner is named for the other half. Both owners have demand for more than the limit.
func TestLimitHoldsWhileTwoOwnersHandOutPermits(t *testing.T) {
	seeds := 10
	if testing.Short() {
		seeds = 1
	}
	for _, limit := range []float64{0.5, 1, 4, 20, 100} {
		for seed := range uint64(seeds) {
			s := newLimitSimulation(20, seed)
			s.setLimit(limit)
			demand := 10*limit + 10
			s.run(15*time.Second, demand)
			for _, p := range s.processes[:10] {
				p.cutOff = s.clock.Now().Add(10 * time.Second)
			}
			s.nameOwner(s.processes[15])
			s.run(20*time.Second, demand)
			s.check(t)
			if old, next := s.processes[0].ownerEpoch, s.processes[15].ownerEpoch; old != 0 || next != 2 {
				t.Fatalf("epochs %d and %d", old, next)
			}
		}
	}
}

// TestLimitHoldsUnderRandomEvents draws failures of processes and owners, and changes of the limit.
func TestLimitHoldsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newLimitSimulation(rapid.IntRange(1, 40).Draw(t, "processes"), rapid.Uint64().Draw(t, "seed"))
		limits := rapid.SampledFrom([]float64{0, 0.5, 1, 3, 20})
		s.setLimit(limits.Draw(t, "limit"))
		perSecond := rapid.Float64Range(1, 100).Draw(t, "requests a second")
		some := func() *limitProcess { return s.processes[s.random.IntN(len(s.processes))] }
		for range rapid.IntRange(1, 15).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"restart", "restart owner", "cut off", "cut off owner", "another owner", "limit", "no limit", "callers move"}).Draw(t, "event") {
			case "restart":
				some().restart()
			case "restart owner":
				s.currentOwner().restart()
				s.nameOwner(some())
			case "cut off":
				some().cutOff = s.clock.Now().Add(s.delay(8 * time.Second))
			case "cut off owner":
				s.currentOwner().cutOff = s.clock.Now().Add(s.delay(8 * time.Second))
				s.nameOwner(some())
			case "another owner":
				s.nameOwner(some())
			case "limit":
				s.setLimit(limits.Draw(t, "limit"))
			case "no limit":
				s.setLimit(-1)
			case "callers move":
				some().weight *= 20
			}
			s.run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms"))*time.Millisecond, perSecond)
		}
		s.check(t)
	})
}

func (s *limitSimulation) currentOwner() *limitProcess {
	for _, p := range s.processes {
		if p.ownerEpoch == s.epoch {
			return p
		}
	}
	return s.processes[0]
}
