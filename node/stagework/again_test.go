package stagework

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// again is two services of one upstream each, whose starts the test names.
type again struct {
	*scheduler
	now time.Time
}

func newAgain(incarnation uint64) *again {
	a := &again{scheduler: newScheduler(), now: time.Unix(1000, 0)}
	a.own(a.now, true, false)
	a.started(incarnation)
	return a
}

// started names the start of the first service's upstream, and returns the results that
// are to be freed.
func (a *again) started(incarnation uint64) []made {
	spec := func() *optext.Service {
		return &optext.Service{Kind: string(optext.Batch), Direct: optext.Direct{Batch: 4, Calls: 1, CallTime: 100 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: 4 * time.Second}}
	}
	a.setServices(map[string]*optext.Service{"a": spec(), "b": spec()}, map[string][]wire.Member{
		"a": {{ID: "a0", Service: "a", Direct: "10.0.0.1:80", Incarnation: incarnation}},
		"b": {{ID: "b0", Service: "b", Direct: "10.0.0.2:80", Incarnation: 1}}})
	return a.remake(a.now, a.takeLost())
}

// make finishes all calls that may be made now, and returns to which services they went.
func (a *again) make(t *testing.T, handle string) (services []string) {
	t.Helper()
	for _, c := range a.start(a.now) {
		services = append(services, c.service)
		results := make([]upstream.PieceResult, len(c.pieces))
		for i := range results {
			results[i].Handle = handle
		}
		a.finish(a.now, c, outcome{results: results})
	}
	return services
}

// TestResultsOfAnEarlierStartAreMadeAgain lets an upstream start again that holds what
// the next stage of a job is made of: it is made again at once, without a call that finds out
// that it is gone.
func TestResultsOfAnEarlierStartAreMadeAgain(t *testing.T) {
	a := newAgain(1)
	var got Result
	var failed error
	a.add(a.now, chain("j", "j1", nil), func(r Result, err error) { got, failed = r, err })
	if first := a.make(t, "old"); len(first) != 1 || first[0] != "a" {
		t.Fatalf("calls of %v", first)
	}
	a.started(2)
	if next := a.make(t, "new"); len(next) != 1 || next[0] != "a" {
		t.Fatalf("after its upstream has started again, calls of %v", next)
	}
	for _, m := range a.jobs["j1"].made {
		if m.handle == "old" {
			t.Fatal("the job goes on with a result that is gone")
		}
	}
	if next := a.make(t, "last"); len(next) != 1 || next[0] != "b" || failed != nil || len(got.Handles) != 3 {
		t.Fatalf("calls of %v; answered %v, %v", next, got, failed)
	}
}

// TestResultOfACallBeforeTheStartIsNotUsed lets a call end well after its upstream has
// started again: what it made is gone.
func TestResultOfACallBeforeTheStartIsNotUsed(t *testing.T) {
	a := newAgain(1)
	a.add(a.now, chain("j", "j1", nil), func(Result, error) {})
	calls := a.start(a.now)
	a.started(2)
	a.finish(a.now, calls[0], outcome{results: []upstream.PieceResult{{Handle: "x"}, {Handle: "y"}}})
	if j := a.jobs["j1"]; j.missing[0] != 2 || len(j.made) != 0 {
		t.Fatalf("%d pieces missing, made %v", j.missing[0], j.made)
	}
	if next := a.make(t, "new"); len(next) != 1 || next[0] != "a" {
		t.Fatalf("calls of %v", next)
	}
}

// TestJobThatLosesItsResultsTwiceEnds restarts an upstream again and again: a job
// begins anew a bounded number of times.
func TestJobThatLosesItsResultsTwiceEnds(t *testing.T) {
	a := newAgain(1)
	var failed error
	a.add(a.now, chain("j", "j1", nil), func(_ Result, err error) { failed = err })
	for start := uint64(2); start < 6 && failed == nil; start++ {
		a.make(t, "x")
		a.started(start)
	}
	if failed == nil || len(a.jobs) != 0 || errors.Is(failed, errNoTime()) {
		t.Fatalf("ended with %v, %d jobs", failed, len(a.jobs))
	}
}

// TestNextOwnerLeavesAnEarlierStartOut hands a job in whose results an earlier start of
// the upstream has made.
func TestNextOwnerLeavesAnEarlierStartOut(t *testing.T) {
	for _, c := range []struct {
		made uint64
		want string
	}{{made: 1, want: "a"}, {made: 2, want: "b"}} {
		a := newAgain(2)
		claim := StageMade{Stage: 0, Pieces: []PieceMade{{"a0", c.made, "x"}, {"a0", c.made, "y"}}}
		a.add(a.now, chain("j", "j1", []StageMade{claim}), func(Result, error) {})
		if got := a.make(t, "z"); len(got) != 1 || got[0] != c.want {
			t.Errorf("results of start %d at start 2: calls of %v, want %s", c.made, got, c.want)
		}
	}
}

// TestEngineThatStartsAgainHasReadNothing lets the engine start again that has read a
// prompt and has a call waiting: neither counts for its next start, and the call's end changes
// nothing there.
func TestEngineThatStartsAgainHasReadNothing(t *testing.T) {
	p := newPark()
	id, before := p.call(prompt("p", 100))
	var list []wire.Member
	for _, m := range p.members["llm"] {
		if m.ID == id {
			m.Incarnation++
		}
		list = append(list, m)
	}
	p.follow(nil, map[string][]wire.Member{"llm": list})
	for _, m := range list {
		if l := p.get(m); m.ID == id && (l.waiting.tokens != 0 || len(l.parts) != 0) {
			t.Fatalf("%d tokens wait at its next start, %d parts are read", l.waiting.tokens, len(l.parts))
		}
	}
	p.ended(p.now, before, EngineFailed)
	for _, m := range list {
		if l := p.get(m); m.ID == id && (l.waiting.tokens != 0 || l.failures != 0) {
			t.Fatalf("a call of its start before counts: %d tokens, %d failures", l.waiting.tokens, l.failures)
		}
	}
}

// TestReportOfALaterStart lets an upstream report that has started again, before the members
// say so: what it held is made again at once, and the members' word changes nothing more. A late
// report of the start before changes nothing.
func TestReportOfALaterStart(t *testing.T) {
	a := newAgain(10)
	a.add(a.now, chain("j", "j1", nil), func(Result, error) {})
	a.make(t, "old")
	w := a.services["a"].workers["a0"]
	a.reported(a.now, w, &upstream.Room{Free: 1, FreeMax: 1, Incarnation: 9})
	if a.services["a"].workers["a0"] != w {
		t.Fatal("a late report ends a later start")
	}
	a.reported(a.now, w, &upstream.Room{Free: 1, FreeMax: 1, Incarnation: 11})
	a.remake(a.now, a.takeLost())
	if next := a.make(t, "new"); len(next) != 1 || next[0] != "a" {
		t.Fatalf("calls of %v", next)
	}
	after := a.services["a"].workers["a0"]
	for _, members := range []uint64{10, 11} {
		a.started(members)
		if a.services["a"].workers["a0"] != after {
			t.Fatalf("the members' start %d ends start 11", members)
		}
	}
	a.reported(a.now, w, &upstream.Room{Incarnation: 12})
	if a.services["a"].workers["a0"] != after {
		t.Fatal("a report of a worker that is gone counts")
	}
}

// TestStartWithAClockThatWentBack lets the members name an earlier time of start than
// before, as after an upstream's clock went back: it is another start all the same.
func TestStartWithAClockThatWentBack(t *testing.T) {
	a := newAgain(10)
	before := a.services["a"].workers["a0"]
	a.started(7)
	if after := a.services["a"].workers["a0"]; after == before || !before.lost || after.member.Incarnation != 7 {
		t.Fatalf("start %d goes on", after.member.Incarnation)
	}
}
