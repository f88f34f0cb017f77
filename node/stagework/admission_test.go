package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/verdict"
)

// overloaded is a scheduler with so many jobs under way that a further one
// misses its goal.
type overloaded struct {
	*world
	ended map[string]error
}

func newOverloaded(t *rapid.T) *overloaded {
	o := &overloaded{world: newWorld(t), ended: map[string]error{}}
	for i := range 60 {
		o.offer(fmt.Sprint("first", i), fmt.Sprint("key", i), 4)
	}
	return o
}

// offer hands in a job of that many pieces and reports whether it was taken in.
func (o *overloaded) offer(id, key string, pieces int) bool {
	o.s.submit(o.now, Job{ID: id, Handed: id, Key: key, Left: 9 * time.Second, Goal: time.Second, Stages: []Stage{{Service: "a", Pieces: pieces, Bytes: 10}}},
		func(_ Result, err error) { o.ended[id] = err })
	_, refused := o.ended[id]
	return !refused
}

// TestCallerThatComesBackIsTakenIn sends a caller away and lets it come back with
// another id: it is served although it will be late. A caller that comes for the
// first time is not, however little time it grants, nor is one whose earlier try
// is past its deadline.
func TestCallerThatComesBackIsTakenIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOverloaded(t)
		if o.offer("try 1", "k", 4) {
			t.Fatal("a job that misses its goal was taken in")
		}
		if o.offer("another", "other", 4) {
			t.Fatal("a first try was taken for a caller that came back")
		}
		if !o.offer("try 2", "k", 4) {
			t.Fatal("a caller that came back was sent away again")
		}
		if o.now = o.now.Add(9 * time.Second); o.s.refusedCallers.has("other", o.now) {
			t.Fatal("a caller is remembered past its deadline")
		}
	})
}

// TestRememberedCallersAreBounded sends more callers away than are remembered.
func TestRememberedCallersAreBounded(t *testing.T) {
	a, now := refusedCallers{}, time.Unix(1000, 0)
	for i := range maxRefusedCallers + 10 {
		a.add(fmt.Sprint(i), now, now.Add(time.Second))
	}
	if len(a) != maxRefusedCallers {
		t.Fatalf("%d are remembered", len(a))
	}
	now = now.Add(2 * time.Second)
	if a.add("later", now, now.Add(time.Second)); len(a) != 1 {
		t.Fatalf("%d are remembered after the deadline of all", len(a))
	}
}

// TestOrderOfTheQueue queues pieces of each tier in every order: first tries go
// before callers that came back, those before late ones, and within a tier those
// that must start first.
func TestOrderOfTheQueue(t *testing.T) {
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
			t.Fatal("in another order")
		}
	})
}

// TestCallersThatComeBackAreBounded lets many callers come back during an overload:
// no more than maxBehind are taken in.
func TestCallersThatComeBackAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOverloaded(t)
		taken := 0
		most := o.s.maxDeferred(o.now)
		for i := range 2 * most {
			key := fmt.Sprint("k", i)
			if o.offer("first "+key, key, 4) {
				t.Fatal("a job that misses its goal was taken in")
			}
			if o.offer("again "+key, key, 4) {
				taken++
			}
		}
		if taken > most || taken == 0 {
			t.Fatalf("%d are taken in, at most %d should", taken, most)
		}
	})
}

// TestLateWithNobodyBefore hands in jobs whose stages alone take longer than their goals
// allow: coming back could not make them earlier, so they are taken in, behind those in
// time, as many as may be under way behind first tries.
func TestLateWithNobodyBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOverloaded(t)
		most, taken := o.s.maxDeferred(o.now), 0
		for i := range 2 * most {
			id := fmt.Sprint("hopeless", i)
			o.s.submit(o.now, Job{ID: id, Handed: id, Key: id, Left: 9 * time.Second, Goal: services["a"].CallTime / 2, Stages: []Stage{{Service: "a", Pieces: 1, Bytes: 10}}},
				func(_ Result, err error) { o.ended[id] = err })
			if j := o.s.jobs[id]; j != nil {
				taken++
				if !j.late {
					t.Fatal("it goes before jobs that are in time")
				}
			}
		}
		if taken != most {
			t.Fatalf("%d are taken in, %d should", taken, most)
		}
	})
}

// TestNoWaitWhereUpstreamsAreIdle estimates a job on a service that has an idle upstream
// while a few others run: it waits for nobody.
func TestNoWaitWhereUpstreamsAreIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		j := &job{Job: Job{Left: time.Minute, Stages: []Stage{{Service: "a", Pieces: 1}}}, goal: w.now.Add(time.Minute)}
		w.s.reset(j)
		if got, _ := w.s.estimate(w.now, j); got != w.s.unloadedTime(j) {
			t.Fatalf("%s estimated, %s alone", got, w.s.unloadedTime(j))
		}
	})
}

// TestBoundBehindFollowsTheRate ends jobs at ten times the rate: the bound on those behind
// first tries is ten times as high.
func TestBoundBehindFollowsTheRate(t *testing.T) {
	bound := func(perSecond int) int {
		s, now := newScheduler(), time.Unix(1000, 0)
		for range 10 * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			s.completions.count(now)
		}
		return s.maxDeferred(now)
	}
	if small, large := bound(60), bound(600); small < 20 || small > 28 || large < 9*small || large > 11*small {
		t.Fatalf("%d at 60 a second, %d at 600", small, large)
	}
}

// TestLateJobThatWaitsForItsNextStage lets a late job wait for the upstream of its second
// stage: its caller is told after starvedAfter, and the room of its first stage is freed.
// One that is in time waits on.
func TestLateJobThatWaitsForItsNextStage(t *testing.T) {
	for _, late := range []bool{true, false} {
		c := newTwoStages()
		c.s.services["b"].workers["b0"].backoffUntil = c.now.Add(time.Hour) // it takes no call
		c.add("j", 100)
		c.end("a", "")
		c.s.jobs["j"].late = late
		c.pass(starvedAfter)
		if len(c.errs) > 0 {
			t.Fatal("told before the time")
		}
		c.pass(time.Millisecond)
		if err, told := c.errs["j"]; told != late || late && verdict.Of(err) != verdict.NotRun || len(c.freed) == 1 != late {
			t.Fatalf("late %v: %v, freed %v", late, err, c.freed)
		}
	}
}
