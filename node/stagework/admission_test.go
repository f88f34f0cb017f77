package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
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
	o.s.add(o.now, Job{ID: id, Handed: id, Key: key, Left: 9 * time.Second, Goal: time.Second, Stages: []Stage{{Service: "a", Pieces: pieces, Bytes: 10}}},
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
		if o.now = o.now.Add(9 * time.Second); o.s.sentAway.has("other", o.now) {
			t.Fatal("a caller is remembered past its deadline")
		}
	})
}

// TestRememberedCallersAreBounded sends more callers away than are remembered.
func TestRememberedCallersAreBounded(t *testing.T) {
	a, now := sentAway{}, time.Unix(1000, 0)
	for i := range sentAwayMost + 10 {
		a.add(fmt.Sprint(i), now, now.Add(time.Second))
	}
	if len(a) != sentAwayMost {
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
		j := &job{goal: now.Add(goal), deadline: now.Add(time.Minute + goal), returned: returned, late: late, tail: []time.Duration{0}}
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
		for i := range 2 * maxBehind {
			key := fmt.Sprint("k", i)
			if o.offer("first "+key, key, 4) {
				t.Fatal("a job that misses its goal was taken in")
			}
			if o.offer("again "+key, key, 4) {
				taken++
			}
		}
		if taken > maxBehind || taken == 0 {
			t.Fatalf("%d are taken in, at most %d should", taken, maxBehind)
		}
	})
}
