package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// overloadFixture has so many jobs in progress that another one would miss its goal.
type overloadFixture struct {
	*schedulerSimulation
	ended map[string]error
}

func newOverloadFixture(t *rapid.T) *overloadFixture {
	o := &overloadFixture{schedulerSimulation: newSchedulerSimulation(t), ended: map[string]error{}}
	for i := range 60 {
		o.offer(fmt.Sprint("first", i), fmt.Sprint("key", i), 4)
	}
	o.s.startCalls(o.now)
	return o
}

// offer submits a job of that many pieces and reports whether it was admitted.
func (o *overloadFixture) offer(id, key string, pieces int) bool {
	o.s.submit(o.now, Job{ID: id, SubmissionID: id, Key: key, TimeLeft: 9 * time.Second, Goal: time.Second, Stages: []Stage{{Service: "a", Pieces: pieces, ResultBytes: 10}}},
		func(_ Result, err error) { o.ended[id] = err })
	_, refused := o.ended[id]
	return !refused
}

// TestJobsWithTimeAreAdmittedBehindOthers guards against refusals of callers that have time, and against ones by
// whether a caller was refused before: a job that misses its goal is admitted late, a job without time for the
// work ahead is refused, and both when it comes for the first time and again.
func TestJobsWithTimeAreAdmittedBehindOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOverloadFixture(t)
		for range 2 {
			if !o.offer("late", "k", 4) || !o.s.jobs["late"].late || !o.s.jobs["late"].postponed {
				t.Fatal("a job that misses its goal is not postponed")
			}
			o.s.handleDone(o.now, Done{SubmissionID: "late"})
			delete(o.ended, "late")
			o.s.submit(o.now, Job{ID: "short", SubmissionID: "short", Key: "short", TimeLeft: 300 * time.Millisecond, Goal: 300 * time.Millisecond, Stages: []Stage{{Service: "a", Pieces: 4, ResultBytes: 10}}},
				func(_ Result, err error) { o.ended["short"] = err })
			err := o.ended["short"]
			if back := verdict.From(err).RetryAfter; err == nil || verdict.Of(err) != verdict.NotRun || back <= 0 || back > 100*time.Millisecond {
				t.Fatalf("a job without time: %v", err)
			}
			delete(o.ended, "short")
		}
	})
}

// TestRefusedCallersAreForgotten guards against memory that grows with refusals.
func TestRefusedCallersAreForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOverloadFixture(t)
		before, postponed := len(o.s.jobs), len(o.s.postponed.jobs)
		for i := range 30 {
			id := fmt.Sprint("refused", i)
			o.s.submit(o.now, Job{ID: id, SubmissionID: id, Key: id, TimeLeft: 300 * time.Millisecond, Goal: 300 * time.Millisecond, Stages: []Stage{{Service: "a", Pieces: 4, ResultBytes: 10}}},
				func(_ Result, err error) { o.ended[id] = err })
			if o.ended[id] == nil {
				t.Fatal("a job without time was admitted")
			}
		}
		if len(o.s.jobs) != before || len(o.s.postponed.jobs) != postponed {
			t.Fatalf("%d jobs, %d before", len(o.s.jobs), before)
		}
	})
}

// TestQueueOrder sorts pieces from every order: those of a priority that was passed over too often come first,
// those in time before late ones, then the most urgent priority, then the earliest latest start or deadline.
func TestQueueOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &serviceQueue{spec: services["a"], passes: passes{(&Job{Priority: 7}).rank(): maxPassedOver, (&Job{Priority: 1}).rank(): maxPassedOver - 1}}
	made := func(priority int, goal time.Duration, late bool) *piece {
		j := &job{Job: Job{Priority: priority, Stages: []Stage{{Service: "a", Pieces: 1}}}, goal: now.Add(goal), abandonedAt: now.Add(time.Minute + goal), late: late, minRemaining: []time.Duration{0}}
		return &piece{job: j}
	}
	want := []*piece{
		made(7, time.Minute, false), made(7, -time.Second, false),
		made(0, time.Second, false), made(0, 2*time.Second, false), made(1, 300*time.Millisecond, false), made(1, time.Second, false),
		made(0, -2*time.Second, false), made(0, -time.Second, false), made(0, time.Second, true), made(1, -time.Second, false),
	}
	rapid.Check(t, func(t *rapid.T) {
		got := rapid.Permutation(want).Draw(t, "queue")
		slices.SortFunc(got, func(a, b *piece) int { return q.compare(a, b, now) })
		if !slices.Equal(got, want) {
			t.Fatal("wrong order")
		}
	})
}

// TestPriorityIsPassedOverAtMostSoOften guards against pieces that wait for ever behind more urgent ones: of 17 calls in
// a row at least one takes a piece of each priority that waits.
func TestPriorityIsPassedOverAtMostSoOften(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, last := passes{}, map[int]int{}
		for call := range 300 {
			waiting := map[int]bool{0: true, 1: true, 2: true}
			takes := rapid.IntRange(0, 2).Draw(t, "takes")
			for priority := range waiting {
				if p.exhausted(priority) {
					takes = priority
				}
			}
			p.record(map[int]bool{takes: true}, waiting)
			last[takes] = call
			for priority := range waiting {
				if call-last[priority] > maxPassedOver+2 { // two others may be exhausted at the same time
					t.Fatalf("priority %d was passed over by %d calls", priority, call-last[priority])
				}
			}
		}
	})
}

// TestLateJobsStartOnceTheirServicesReachThem guards against late jobs that hold results while they wait for the next
// service: no more of them start than the services can go on with.
func TestLateJobsStartOnceTheirServicesReachThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSchedulerSimulation(t)
		for i := range 60 {
			id := fmt.Sprint("j", i)
			w.s.submit(w.now, Job{ID: id, SubmissionID: id, Key: id, TimeLeft: 30 * time.Second, Goal: -time.Second,
				Stages: []Stage{{Service: "a", Pieces: 1, ResultBytes: 10}, {Service: "b", DependsOn: []int{0}, Pieces: 6, ResultBytes: 10}}}, func(Result, error) {})
		}
		w.free(w.s.expireJobs(w.now.Add(ownerTick)))
		// The second service does 78 pieces a second in full calls, so what
		// starts is at most its work for the first stage, one call and one job more.
		q, started := w.s.services["b"], 0
		for _, j := range w.s.jobs {
			if !j.postponed {
				started++
			}
		}
		most := q.nominalThroughput()*(w.s.stageTime(Stage{Service: "a", Pieces: 1})+fullCall(q.spec)).Seconds()/6 + 1
		if started == 0 || float64(started) > most {
			t.Fatalf("%d jobs started, at most %.1f may", started, most)
		}
	})
}

// TestJobsThatCannotReachTheirGoalDoNotCompete submits jobs that would miss their goals even on idle upstreams. A retry
// could not help, so they are admitted as long as they have time, behind those in time.
func TestJobsThatCannotReachTheirGoalDoNotCompete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOverloadFixture(t)
		for i := range 10 {
			id := fmt.Sprint("hopeless", i)
			o.s.submit(o.now, Job{ID: id, SubmissionID: id, Key: id, TimeLeft: 20 * time.Second, Goal: services["a"].CallTime / 2, Stages: []Stage{{Service: "a", Pieces: 1, ResultBytes: 10}}},
				func(_ Result, err error) { o.ended[id] = err })
			if j := o.s.jobs[id]; j == nil || !j.late || !j.postponed {
				t.Fatalf("%s competes with jobs that are in time, or was refused: %v", id, o.ended[id])
			}
		}
	})
}

// TestEstimateWithAnIdleUpstreamHasNoQueueingTime estimates a job on a service with an idle upstream: the estimate
// has no queueing time.
func TestEstimateWithAnIdleUpstreamHasNoQueueingTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSchedulerSimulation(t)
		j := &job{Job: Job{TimeLeft: time.Minute, Stages: []Stage{{Service: "a", Pieces: 1}}}, goal: w.now.Add(time.Minute)}
		w.s.reset(j)
		if got, _ := w.s.estimate(w.now, j, true); got != w.s.unloadedTime(j) {
			t.Fatalf("estimate %s, unloaded time %s", got, w.s.unloadedTime(j))
		}
	})
}

// TestStartedLateJobsScaleWithThroughput gives a service ten times the upstreams: ten times as many late jobs start.
func TestStartedLateJobsScaleWithThroughput(t *testing.T) {
	started := func(upstreams int) (n int) {
		s, now := newScheduler(), time.Unix(1000, 0)
		var list []wire.Member
		for i := range upstreams {
			list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint("a", i)), Service: "a"})
		}
		s.setServices(services, map[string][]wire.Member{"a": list})
		s.setOwner(now, true, false)
		for i := range 1000 {
			id := fmt.Sprint("j", i)
			s.submit(now, Job{ID: id, SubmissionID: id, TimeLeft: time.Hour, Goal: -time.Second, Stages: []Stage{{Service: "a", Pieces: 1, ResultBytes: 10}}}, func(Result, error) {})
		}
		s.expireJobs(now.Add(ownerTick))
		for _, j := range s.jobs {
			if !j.postponed {
				n++
			}
		}
		return n
	}
	if small, large := started(4), started(40); small < 4 || large < 8*small || large > 11*small {
		t.Fatalf("%d jobs started at 4 upstreams, %d at 40", small, large)
	}
}

// TestJobWithoutTimeIsEndedBetweenStages guards against callers that are held although their work can't be done before
// their deadline any more: a job waits for the upstream of its second stage. It is refused once that stage takes
// longer than it has left, not earlier, and the result of its first stage is freed.
func TestJobWithoutTimeIsEndedBetweenStages(t *testing.T) {
	for _, late := range []bool{true, false} {
		c := newTwoStages()
		c.submit("j", 100)
		c.s.services["b"].workers["b0"].backoffUntil = c.now.Add(time.Hour) // it takes no call
		c.endCall("a", "")
		j := c.s.jobs["j"]
		j.late, j.deadline, j.abandonedAt = late, c.now.Add(3*time.Second), c.now.Add(3*time.Second)
		c.advance(3*time.Second - shortestCall(services["b"]))
		if len(c.errs) > 0 {
			t.Fatal("refused too early")
		}
		c.advance(time.Millisecond)
		if err, ended := c.errs["j"]; !ended || verdict.Of(err) != verdict.NotRun || len(c.freed) != 1 {
			t.Fatalf("late %v: %v, freed %v", late, err, c.freed)
		}
	}
}

// TestRetryAfterIsTheTimeOfTheWorkAhead guards against callers that are told to return before there is room for them,
// or later than they honour.
func TestRetryAfterIsTheTimeOfTheWorkAhead(t *testing.T) {
	s := newScheduler()
	for _, random := range []float64{0, 0.5, 0.999} {
		s.random = func() float64 { return random }
		for wait, most := range map[time.Duration]time.Duration{time.Second: time.Second, time.Hour: 3 * time.Second, never: 3 * time.Second} {
			if got := s.retryAfter(9*time.Second, wait); got > most || got < time.Duration(float64(most)*(1-retryAfterSpread)) {
				t.Errorf("work for %s: %s", wait, got)
			}
		}
	}
}

// TestLateJobStartsAnewWhenItsInputsExpire guards against calls for results that are gone: a late job waits for its second
// stage until the result of the first one expires. It gives the room back and waits to start anew.
func TestLateJobStartsAnewWhenItsInputsExpire(t *testing.T) {
	c := newTwoStages()
	c.submit("j", 100)
	c.s.services["b"].workers["b0"].backoffUntil = c.now.Add(time.Hour) // it takes no call
	c.endCall("a", "")
	j := c.s.jobs["j"]
	j.late = true
	c.advance(services["a"].ResultTTL - time.Millisecond)
	if j.restarts != 0 || len(c.freed) != 0 {
		t.Fatal("started anew too early")
	}
	c.advance(2 * time.Millisecond)
	if j.restarts != 1 || !j.postponed || len(c.freed) != 1 || j.answer == nil {
		t.Fatalf("%d restarts, postponed %v, freed %v", j.restarts, j.postponed, c.freed)
	}
}

// TestRouteRanksJobsOfOnePriority guards against calls of routes of different priorities that count as equally urgent because
// their customer's priority takes precedence.
func TestRouteRanksJobsOfOnePriority(t *testing.T) {
	list := []Job{{Priority: 0, RoutePriority: 0}, {Priority: 0, RoutePriority: 2}, {Priority: 0, RoutePriority: 1 << 40}, {Priority: 1, RoutePriority: 0}, {Priority: 1, RoutePriority: 2}, {Priority: 2}}
	for i := range list[1:] {
		if a, b := list[i].rank(), list[i+1].rank(); a >= b {
			t.Errorf("%+v ranks %d, %+v ranks %d", list[i], a, list[i+1], b)
		}
	}
}
