package stagework

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/requestlimit"
	"caperdrum.org/node/residency"
	"caperdrum.org/node/upstream"
)

// hedgeFixture is a scheduler with three upstreams for each of two stages, whose calls the test ends.
type hedgeFixture struct {
	*gomega.WithT
	s       *scheduler
	now     time.Time
	members map[string][]wire.Member
	freed   []string // handles
	made    int
	results map[string]Result // of jobs that ended
	errs    map[string]error  // of jobs that ended
}

// overdueAt is when a call of two pieces at service a is overdue.
const overdueAt = 330 * time.Millisecond

func newHedgeFixture(t *testing.T) *hedgeFixture {
	f := &hedgeFixture{WithT: gomega.NewWithT(t), s: newScheduler(), now: time.Unix(1000, 0), members: map[string][]wire.Member{}, results: map[string]Result{}, errs: map[string]error{}}
	for _, service := range []string{"a", "b"} {
		for i := range 3 {
			id := fmt.Sprint(service, i)
			f.members[service] = append(f.members[service], wire.Member{ID: wire.MemberID(id), Service: service, Direct: id, DataCenter: fmt.Sprint("dc", i), Incarnation: 2})
		}
	}
	f.s.setServices(services, f.members)
	f.s.setOwner(f.now, true, false)
	f.s.hedging.enabled = true
	for _, q := range f.s.services {
		q.hedgeBudget.calls = callsPerHedge * maxSavedHedges
		for _, w := range q.list {
			w.lastCallSucceeded = true
		}
	}
	return f
}

// job is a job with two pieces at service a, and two at b that depend on them.
func (f *hedgeFixture) job(id string) Job {
	return Job{ID: id, SubmissionID: id, Key: "k", TimeLeft: 10 * time.Second, Goal: 5 * time.Second,
		Stages: []Stage{{Service: "a", Pieces: 2, ResultBytes: 500}, {Service: "b", DependsOn: []int{0}, Pieces: 2, ResultBytes: 10}}}
}

func (f *hedgeFixture) submit(j Job) {
	f.free(f.s.submit(f.now, j, func(r Result, err error) { f.results[j.ID], f.errs[j.ID] = r, err }))
}

func (f *hedgeFixture) start() []*call { return f.s.startCalls(f.now) }

// startOne starts the only call that can start.
func (f *hedgeFixture) startOne() *call {
	calls := f.start()
	f.Expect(calls).To(gomega.HaveLen(1))
	return calls[0]
}

// advance moves the time on by the owner's ticks.
func (f *hedgeFixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(min(ownerTick, end.Sub(f.now)))
		f.free(f.s.expireJobs(f.now))
	}
}

// hedged starts a job and returns its first call, which is overdue, and the hedge of that call.
func (f *hedgeFixture) hedged() (slow, hedge *call) {
	f.submit(f.job("j"))
	slow = f.startOne()
	f.advance(overdueAt)
	return slow, f.startOne()
}

func (f *hedgeFixture) succeed(c *call) {
	o := outcome{}
	for range c.pieces {
		f.made++
		o.results = append(o.results, upstream.PieceResult{Handle: fmt.Sprint(c.worker.member.ID, "/", f.made)})
	}
	f.finish(c, o)
}

func (f *hedgeFixture) fail(c *call) { f.finish(c, outcome{err: "no answer"}) }

func (f *hedgeFixture) finish(c *call, o outcome) { f.free(f.s.finishCall(f.now, c, o)) }

func (f *hedgeFixture) free(list []storedResult) {
	for _, m := range list {
		f.freed = append(f.freed, m.handle)
	}
	f.s.recordFreed(list)
}

func (f *hedgeFixture) worker(id wire.MemberID) *worker {
	return f.s.services[string(id[:1])].workers[id]
}

// TestFirstResultWins ends a hedge before the overdue call, and the other way round: the job continues with the
// first results, and the later ones are freed at once and take no room.
func TestFirstResultWins(t *testing.T) {
	for _, hedgeFirst := range []bool{true, false} {
		f := newHedgeFixture(t)
		won, wasted := mapValue(hedgesWonVar, "a"), mapValue(hedgesWastedVar, "a")
		f.submit(f.job("j"))
		slow := f.startOne()
		f.advance(overdueAt - time.Millisecond)
		f.Expect(f.start()).To(gomega.BeEmpty())
		f.advance(time.Millisecond)
		hedge := f.startOne()
		f.Expect(hedge.worker).NotTo(gomega.Equal(slow.worker))
		f.Expect(hedge.pieces).To(gomega.Equal(slow.pieces))
		first, second := slow, hedge
		if hedgeFirst {
			first, second = hedge, slow
		}
		f.succeed(first)
		f.Expect(f.s.jobs["j"].calls).To(gomega.BeZero())
		next := f.startOne()
		f.Expect(next.service).To(gomega.Equal("b"))
		f.Expect(next.request[0].Inputs).To(gomega.Equal([]string{fmt.Sprint(first.worker.member.ID, "/1"), fmt.Sprint(first.worker.member.ID, "/2")}))
		f.succeed(second)
		f.Expect(f.freed).To(gomega.Equal([]string{fmt.Sprint(second.worker.member.ID, "/3"), fmt.Sprint(second.worker.member.ID, "/4")}))
		f.Expect(second.worker.ownBytes).To(gomega.BeZero())
		f.Expect(second.worker.runningCalls).To(gomega.BeZero())
		f.succeed(next)
		f.Expect(f.errs).To(gomega.HaveKeyWithValue("j", gomega.BeNil()))
		if hedgeFirst {
			won++
		} else {
			wasted++
		}
		f.Expect([]int64{mapValue(hedgesWonVar, "a"), mapValue(hedgesWastedVar, "a")}).To(gomega.Equal([]int64{won, wasted}))
	}
}

// TestUpstreamOfAnOverdueCallIsSlow has an upstream with a second free place run an overdue call: it is not healthy
// and is chosen last until the call has ended. Without the setting nothing changes.
func TestUpstreamOfAnOverdueCallIsSlow(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		f := newHedgeFixture(t)
		two := *services["a"]
		two.Calls = 2
		f.s.setServices(map[string]*optext.Service{"a": &two, "b": services["b"]}, f.members)
		f.s.hedging.enabled = enabled
		f.submit(f.job("j"))
		slow := f.startOne()
		f.advance(overdueAt)
		f.Expect(slow.worker.healthy()).To(gomega.Equal(!enabled))
		available := f.s.services["a"].availableWorkers(f.now)
		f.Expect(available).To(gomega.HaveLen(3))
		f.Expect(available[2] == slow.worker).To(gomega.Equal(enabled))
		f.finish(slow, outcome{full: true})
		f.Expect(slow.worker.healthy()).To(gomega.BeTrue())
	}
}

// TestConditionsOfAHedge breaks one condition at a time: the overdue call is not hedged.
func TestConditionsOfAHedge(t *testing.T) {
	hedged := func(change func(f *hedgeFixture, j *Job), overdue func(f *hedgeFixture)) int {
		f := newHedgeFixture(t)
		j := f.job("j")
		change(f, &j)
		f.submit(j)
		f.startOne()
		f.advance(overdueAt)
		overdue(f)
		n := 0
		for _, c := range f.start() {
			if c.hedgeOf != nil {
				n++
			}
		}
		return n
	}
	same, nothing := func(*hedgeFixture, *Job) {}, func(*hedgeFixture) {}
	others := func(change func(w *worker)) func(f *hedgeFixture) {
		return func(f *hedgeFixture) { change(f.worker("a1")); change(f.worker("a2")) }
	}
	if hedged(same, nothing) != 1 {
		t.Fatal("no hedge with all conditions met")
	}
	for name, c := range map[string]struct {
		change  func(f *hedgeFixture, j *Job)
		overdue func(f *hedgeFixture)
	}{
		"the setting is off":  {func(f *hedgeFixture, _ *Job) { f.s.hedging.enabled = false }, nothing},
		"no budget":           {same, func(f *hedgeFixture) { f.s.services["a"].hedgeBudget.calls = callsPerHedge - 1 }},
		"the others are busy": {same, others(func(w *worker) { w.runningCalls++ })},
		"the others are slow": {same, others(func(w *worker) { w.slowdown = 2 })},
		"the others failed":   {same, others(func(w *worker) { w.failures = 1 })},
		"no room":             {same, others(func(w *worker) { w.foreignBytes = 3001 })},
		"other data centres are not allowed": {func(_ *hedgeFixture, j *Job) {
			j.Within = residency.AllowedDataCenters{Restricted: true, DataCenters: []string{"dc0"}}
		}, nothing},
		"the others limit their requests": {func(f *hedgeFixture, _ *Job) {
			f.s.permits.notices = limitedUpstreams{"a1": true, "a2": true}
			f.s.permits.confirmed(f.now.Add(overdueAt))
		}, nothing},
		"the job is late": {same, func(f *hedgeFixture) { f.s.jobs["j"].late = true }},
		"the job would miss its goal": {func(_ *hedgeFixture, j *Job) {
			j.Goal = overdueAt + 220*time.Millisecond + 205*time.Millisecond - time.Millisecond
		}, nothing},
		"its inputs are gone":   {same, func(f *hedgeFixture) { f.s.jobs["j"].Stages[0].DependsOn = []int{1}; f.s.jobs["j"].released[1] = true }},
		"the owner was stalled": {same, func(f *hedgeFixture) { f.s.recordStall(f.now); f.s.confirm() }},
		"a piece of the service waits": {same, func(f *hedgeFixture) {
			waiting := f.job("w")
			waiting.Within = residency.AllowedDataCenters{Restricted: true, DataCenters: []string{"dc0"}}
			f.submit(waiting)
		}},
	} {
		if n := hedged(c.change, c.overdue); n != 0 {
			t.Errorf("%s: %d hedges", name, n)
		}
	}
}

// limitedUpstreams are upstreams with request limits that admit any number of requests.
type limitedUpstreams map[wire.MemberID]bool

func (l limitedUpstreams) Limit(start wire.Start) (float64, bool) { return 1000, l[start.ID] }

func (l limitedUpstreams) Limited([]wire.Member) []requestlimit.Limited { return nil }

func (l limitedUpstreams) LimitNotices([]wire.Start) []upstream.LimitNotice { return nil }

// TestOnlyPiecesInTimeAreHedged has a call with pieces of two jobs overdue, of which one would miss its goal: only
// the pieces of the other one are sent again.
func TestOnlyPiecesInTimeAreHedged(t *testing.T) {
	f := newHedgeFixture(t)
	for _, id := range []string{"a1", "a2"} {
		f.worker(wire.MemberID(id)).runningCalls++
	}
	j, urgent := f.job("j"), f.job("urgent")
	urgent.Goal = 800 * time.Millisecond
	f.submit(j)
	f.submit(urgent)
	slow := f.startOne()
	f.Expect(slow.pieces).To(gomega.HaveLen(4))
	for _, id := range []string{"a1", "a2"} {
		f.worker(wire.MemberID(id)).runningCalls--
	}
	f.advance(400 * time.Millisecond) // the urgent job needs 220 ms and 205 ms
	hedge := f.startOne()
	f.Expect(hedge.pieces).To(gomega.HaveLen(2))
	for _, p := range hedge.pieces {
		f.Expect(p.job.ID).To(gomega.Equal("j"))
	}
}

// TestFailureOfOneOfTwoCalls fails the overdue call or its hedge: the pieces are not queued and no attempt counts, and
// the job continues with the results of the other call.
func TestFailureOfOneOfTwoCalls(t *testing.T) {
	for _, hedgeFails := range []bool{true, false} {
		f := newHedgeFixture(t)
		failing, other := f.hedged()
		if hedgeFails {
			failing, other = other, failing
		}
		f.fail(failing)
		f.Expect(f.s.services["a"].waiting).To(gomega.BeEmpty())
		f.Expect(other.pieces[0].attempts).To(gomega.BeZero())
		f.Expect(failing.worker.failures).To(gomega.Equal(1))
		f.succeed(other)
		f.Expect(f.startOne().service).To(gomega.Equal("b"))
		f.Expect(f.freed).To(gomega.BeEmpty())
	}
}

// TestBothCallsFail fails the overdue call and its hedge: the pieces are queued again with one attempt, and not hedged
// a second time.
func TestBothCallsFail(t *testing.T) {
	f := newHedgeFixture(t)
	slow, hedge := f.hedged()
	f.fail(slow)
	f.fail(hedge)
	f.Expect(f.s.services["a"].waiting).To(gomega.ConsistOf(slow.pieces[0], slow.pieces[1]))
	f.Expect(slow.pieces[0].attempts).To(gomega.Equal(1))
	again := f.startOne()
	slow.worker.failures, hedge.worker.failures = 0, 0
	f.advance(2 * overdueAt)
	f.Expect(again.overdue).To(gomega.BeTrue())
	f.Expect(f.start()).To(gomega.BeEmpty())
	f.succeed(again)
	f.Expect(f.startOne().service).To(gomega.Equal("b"))
	f.Expect(slow.worker.ownBytes + hedge.worker.ownBytes + again.worker.ownBytes).To(gomega.Equal(int64(1000)))
}

// TestOwnerIsLostWithAHedge gives the queues up while a hedged call is in progress: the job moves as soon as one call
// has brought its results, and the next owner, which knows of neither call, continues with them. The late results
// are freed.
func TestOwnerIsLostWithAHedge(t *testing.T) {
	f := newHedgeFixture(t)
	j := f.job("j")
	j.Caller = "process"
	f.submit(j)
	slow := f.startOne()
	f.advance(overdueAt)
	hedge := f.startOne()
	f.free(f.s.setOwner(f.now, false, true))
	f.Expect(f.results).To(gomega.BeEmpty())
	f.succeed(hedge)
	f.Expect(f.results["j"].Moved).To(gomega.BeTrue())
	f.succeed(slow)
	f.Expect(f.freed).To(gomega.Equal([]string{fmt.Sprint(slow.worker.member.ID, "/3"), fmt.Sprint(slow.worker.member.ID, "/4")}))
	next := newHedgeFixture(t)
	j.CompletedStages, j.Resubmitted = f.results["j"].CompletedStages, true
	next.submit(j)
	f.Expect(next.startOne().service).To(gomega.Equal("b"))
	next.advance(overdueAt)
	f.Expect(next.s.services["a"].list[0].overdueCalls).To(gomega.BeZero())
}

// TestUpstreamRestartsDuringAHedge restarts one of the two upstreams: its call brings nothing, and the job continues
// with the results of the other one.
func TestUpstreamRestartsDuringAHedge(t *testing.T) {
	for _, hedgeLost := range []bool{true, false} {
		f := newHedgeFixture(t)
		lost, other := f.hedged()
		if hedgeLost {
			lost, other = other, lost
		}
		for i, m := range f.members["a"] {
			if m.ID == lost.worker.member.ID {
				f.members["a"] = append([]wire.Member{}, f.members["a"]...)
				f.members["a"][i].Incarnation++
			}
		}
		f.s.setServices(services, f.members)
		f.free(f.s.restartLostJobs(f.now, f.s.takeRestarted()))
		f.succeed(lost)
		f.Expect(f.s.jobs["j"].missing[0]).To(gomega.Equal(2))
		f.Expect(f.s.services["a"].waiting).To(gomega.BeEmpty())
		f.succeed(other)
		f.Expect(f.startOne().service).To(gomega.Equal("b"))
		f.Expect(f.s.jobs["j"].restarts).To(gomega.BeZero())
	}
}

// TestUpstreamWithTheFirstResultRestarts restarts the upstream that brought the first results, while the overdue call
// is in progress: the job starts again, and the results of that call are freed.
func TestUpstreamWithTheFirstResultRestarts(t *testing.T) {
	f := newHedgeFixture(t)
	slow, hedge := f.hedged()
	f.succeed(hedge)
	f.members["a"] = append([]wire.Member{}, f.members["a"]...)
	for i, m := range f.members["a"] {
		if m.ID == hedge.worker.member.ID {
			f.members["a"][i].Incarnation++
		}
	}
	f.s.setServices(services, f.members)
	f.free(f.s.restartLostJobs(f.now, f.s.takeRestarted()))
	f.freed = nil
	f.Expect(f.s.jobs["j"].restarts).To(gomega.Equal(1))
	again := f.startOne()
	f.Expect(again.service).To(gomega.Equal("a"))
	f.succeed(slow)
	f.Expect(f.freed).To(gomega.HaveLen(2))
	f.Expect(f.s.jobs["j"].calls).To(gomega.Equal(2))
}

// TestStallMakesNoCallOverdue stalls the owner for longer than a call takes: the upstream of the call stays healthy.
func TestStallMakesNoCallOverdue(t *testing.T) {
	f := newHedgeFixture(t)
	f.submit(f.job("j"))
	c := f.startOne()
	f.now = f.now.Add(time.Second)
	f.s.recordStall(f.now)
	f.free(f.s.expireJobs(f.now))
	f.Expect(c.worker.healthy()).To(gomega.BeTrue())
}

// TestHedgeBudget has every call of a service overdue: one in ten is hedged, and at most five hedges are saved up.
func TestHedgeBudget(t *testing.T) {
	f := newHedgeFixture(t)
	q := f.s.services["a"]
	q.hedgeBudget.calls = 0
	calls, hedges := 0, 0
	for i := range 60 {
		for _, w := range q.list {
			w.slowdown = 1
		}
		f.submit(f.job(fmt.Sprint("j", i)))
		slow := f.startOne()
		calls++
		f.advance(overdueAt)
		for _, h := range f.start() {
			hedges++
			f.succeed(h)
		}
		f.succeed(slow)
		for _, c := range f.start() {
			f.succeed(c)
		}
		f.Expect(hedges * callsPerHedge).To(gomega.BeNumerically("<=", calls))
	}
	f.Expect(hedges).To(gomega.Equal(6))
	for range 1000 {
		q.hedgeBudget.countCall()
	}
	f.Expect(q.hedgeBudget.calls / callsPerHedge).To(gomega.Equal(maxSavedHedges))
}
