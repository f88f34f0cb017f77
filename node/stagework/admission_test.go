package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/verdict"
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
	return o
}

// offer submits a job of that many pieces and reports whether it was admitted.
func (o *overloadFixture) offer(id, key string, pieces int) bool {
	o.s.submit(o.now, Job{ID: id, SubmissionID: id, Key: key, TimeLeft: 9 * time.Second, Goal: time.Second, Stages: []Stage{{Service: "a", Pieces: pieces, ResultBytes: 10}}},
		func(_ Result, err error) { o.ended[id] = err })
	_, refused := o.ended[id]
	return !refused
}

// TestRetryOfARefusedCallerIsAdmitted refuses a caller and lets it retry with another call ID:
// the retry is admitted although it will be late. A first attempt is not, however short its
// deadline, nor is a caller whose earlier attempt is past its deadline.
func TestRetryOfARefusedCallerIsAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOverloadFixture(t)
		if o.offer("try 1", "k", 4) {
			t.Fatal("a job that misses its goal was admitted")
		}
		if o.offer("another", "other", 4) {
			t.Fatal("a first attempt was taken for a retry")
		}
		if !o.offer("try 2", "k", 4) {
			t.Fatal("a retry was refused")
		}
		if o.now = o.now.Add(9 * time.Second); o.s.refusedCallers.has("other", o.now) {
			t.Fatal("a caller is remembered past its deadline")
		}
	})
}

// TestRememberedCallersAreBounded refuses more callers than are remembered.
func TestRememberedCallersAreBounded(t *testing.T) {
	a, now := refusedCallers{}, time.Unix(1000, 0)
	for i := range maxRefusedCallers + 10 {
		a.add(fmt.Sprint(i), now, now.Add(time.Second))
	}
	if len(a) != maxRefusedCallers {
		t.Fatalf("%d callers are remembered", len(a))
	}
	now = now.Add(2 * time.Second)
	if a.add("later", now, now.Add(time.Second)); len(a) != 1 {
		t.Fatalf("%d callers are remembered after the deadline of all", len(a))
	}
}

// TestQueueOrder sorts pieces of each tier from every order: first attempts come
// before retries, these before late ones, and within a tier the earliest latest start first.
func TestQueueOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := services["a"]
	made := func(goal time.Duration, returned, late bool) *piece {
		j := &job{goal: now.Add(goal), deadline: now.Add(time.Minute + goal), retry: returned, late: late, minRemaining: []time.Duration{0}}
		return &piece{job: j}
	}
	want := []*piece{
		made(time.Second, false, false), made(2*time.Second, false, false),
		made(time.Second, true, false), made(2*time.Second, true, false),
		made(-2*time.Second, false, false), made(-time.Second, true, false), made(time.Second, true, true),
	}
	rapid.Check(t, func(t *rapid.T) {
		got := rapid.Permutation(want).Draw(t, "queue")
		slices.SortFunc(got, func(a, b *piece) int { return a.compare(b, now, spec) })
		if !slices.Equal(got, want) {
			t.Fatal("wrong order")
		}
	})
}

// TestDeferredRetriesAreBounded lets many callers retry during an overload: no more than
// maxDeferred are admitted.
func TestDeferredRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOverloadFixture(t)
		taken := 0
		most := o.s.maxDeferred(o.now)
		for i := range 2 * most {
			key := fmt.Sprint("k", i)
			if o.offer("first "+key, key, 4) {
				t.Fatal("a job that misses its goal was admitted")
			}
			if o.offer("again "+key, key, 4) {
				taken++
			}
		}
		if taken > most || taken == 0 {
			t.Fatalf("%d retries admitted, want 1 to %d", taken, most)
		}
	})
}

// TestJobsThatCannotReachTheirGoalAreDeferred submits jobs that would miss their goals even on
// idle upstreams. A retry could not help, so up to maxDeferred of them are admitted, behind those
// in time.
func TestJobsThatCannotReachTheirGoalAreDeferred(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOverloadFixture(t)
		most, taken := o.s.maxDeferred(o.now), 0
		for i := range 2 * most {
			id := fmt.Sprint("hopeless", i)
			o.s.submit(o.now, Job{ID: id, SubmissionID: id, Key: id, TimeLeft: 9 * time.Second, Goal: services["a"].CallTime / 2, Stages: []Stage{{Service: "a", Pieces: 1, ResultBytes: 10}}},
				func(_ Result, err error) { o.ended[id] = err })
			if j := o.s.jobs[id]; j != nil {
				taken++
				if !j.late {
					t.Fatal("the job competes with jobs that are in time")
				}
			}
		}
		if taken != most {
			t.Fatalf("%d jobs admitted, want %d", taken, most)
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
		if got, _ := w.s.estimate(w.now, j); got != w.s.unloadedTime(j) {
			t.Fatalf("estimate %s, unloaded time %s", got, w.s.unloadedTime(j))
		}
	})
}

// TestDeferredLimitScalesWithThroughput completes jobs at ten times the rate: the limit on
// deferred jobs is ten times as high.
func TestDeferredLimitScalesWithThroughput(t *testing.T) {
	bound := func(perSecond int) int {
		s, now := newScheduler(), time.Unix(1000, 0)
		for range 10 * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			s.completions.count(now)
		}
		return s.maxDeferred(now)
	}
	if small, large := bound(60), bound(600); small < 20 || small > 28 || large < 9*small || large > 11*small {
		t.Fatalf("limit %d at 60 a second, %d at 600", small, large)
	}
}

// TestLateJobStarvesBetweenStages has a late job wait for the upstream of its second stage: it is
// refused after starvedAfter, and the result of its first stage is freed. A job in time keeps
// waiting.
func TestLateJobStarvesBetweenStages(t *testing.T) {
	for _, late := range []bool{true, false} {
		c := newTwoStages()
		c.s.services["b"].workers["b0"].backoffUntil = c.now.Add(time.Hour) // it takes no call
		c.submit("j", 100)
		c.endCall("a", "")
		c.s.jobs["j"].late = late
		c.advance(starvedAfter)
		if len(c.errs) > 0 {
			t.Fatal("refused too early")
		}
		c.advance(time.Millisecond)
		if err, ended := c.errs["j"]; ended != late || late && verdict.Of(err) != verdict.NotRun || len(c.freed) == 1 != late {
			t.Fatalf("late %v: %v, freed %v", late, err, c.freed)
		}
	}
}
