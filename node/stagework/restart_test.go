package stagework

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// restartFixture is two services of one upstream each; the test sets the incarnation of the first.
type restartFixture struct {
	*scheduler
	now time.Time
}

func newRestartFixture(incarnation uint64) *restartFixture {
	a := &restartFixture{scheduler: newScheduler(), now: time.Unix(1000, 0)}
	a.setOwner(a.now, true, false)
	a.setIncarnation(incarnation)
	return a
}

// setIncarnation sets the incarnation of the first service's upstream in the member list, and returns the
// results to be freed.
func (a *restartFixture) setIncarnation(incarnation uint64) []storedResult {
	spec := func() *optext.Service {
		return &optext.Service{Kind: string(optext.Batch), Direct: optext.Direct{Batch: 4, Calls: 1, CallTime: 100 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: 4 * time.Second}}
	}
	a.setServices(map[string]*optext.Service{"a": spec(), "b": spec()}, map[string][]wire.Member{
		"a": {{ID: "a0", Service: "a", Direct: "10.0.0.1:80", Incarnation: incarnation}},
		"b": {{ID: "b0", Service: "b", Direct: "10.0.0.2:80", Incarnation: 1}}})
	return a.restartLostJobs(a.now, a.takeRestarted())
}

// runCalls completes all calls that can start now, and returns their services.
func (a *restartFixture) runCalls(t *testing.T, handle string) (services []string) {
	t.Helper()
	for _, c := range a.startCalls(a.now) {
		services = append(services, c.service)
		results := make([]upstream.PieceResult, len(c.pieces))
		for i := range results {
			results[i].Handle = handle
		}
		a.finishCall(a.now, c, outcome{results: results})
	}
	return services
}

// TestResultsOfAnEarlierIncarnationAreRecomputed restarts an upstream that holds inputs of a job's next stage: the
// job restarts at once, without a call that would find its inputs gone.
func TestResultsOfAnEarlierIncarnationAreRecomputed(t *testing.T) {
	a := newRestartFixture(1)
	var got Result
	var failed error
	a.submit(a.now, chainJob("j", "j1", nil), func(r Result, err error) { got, failed = r, err })
	if first := a.runCalls(t, "old"); len(first) != 1 || first[0] != "a" {
		t.Fatalf("calls of %v", first)
	}
	a.setIncarnation(2)
	if next := a.runCalls(t, "new"); len(next) != 1 || next[0] != "a" {
		t.Fatalf("after the restart of the upstream, calls of %v", next)
	}
	for _, m := range a.jobs["j1"].results {
		if m.handle == "old" {
			t.Fatal("the job continues with a lost result")
		}
	}
	if next := a.runCalls(t, "last"); len(next) != 1 || next[0] != "b" || failed != nil || len(got.Handles) != 3 {
		t.Fatalf("calls of %v; answered %v, %v", next, got, failed)
	}
}

// TestResultsOfACallBeforeARestartAreLost ends a call successfully after its upstream has restarted: the
// results are lost.
func TestResultsOfACallBeforeARestartAreLost(t *testing.T) {
	a := newRestartFixture(1)
	a.submit(a.now, chainJob("j", "j1", nil), func(Result, error) {})
	calls := a.startCalls(a.now)
	a.setIncarnation(2)
	a.finishCall(a.now, calls[0], outcome{results: []upstream.PieceResult{{Handle: "x"}, {Handle: "y"}}})
	if j := a.jobs["j1"]; j.missing[0] != 2 || len(j.results) != 0 {
		t.Fatalf("%d pieces missing, results %v", j.missing[0], j.results)
	}
	if next := a.runCalls(t, "new"); len(next) != 1 || next[0] != "a" {
		t.Fatalf("calls of %v", next)
	}
}

// TestRestartsAreBounded restarts an upstream again and again: the job restarts a bounded number of times.
func TestRestartsAreBounded(t *testing.T) {
	a := newRestartFixture(1)
	var failed error
	a.submit(a.now, chainJob("j", "j1", nil), func(_ Result, err error) { failed = err })
	for start := uint64(2); start < 6 && failed == nil; start++ {
		a.runCalls(t, "x")
		a.setIncarnation(start)
	}
	if failed == nil || len(a.jobs) != 0 || errors.Is(failed, errDeadlineExceeded()) {
		t.Fatalf("ended with %v, %d jobs", failed, len(a.jobs))
	}
}

// TestNextOwnerIgnoresResultsOfAnEarlierIncarnation submits a job with results of an earlier incarnation of the
// upstream: they are ignored.
func TestNextOwnerIgnoresResultsOfAnEarlierIncarnation(t *testing.T) {
	for _, c := range []struct {
		made uint64
		want string
	}{{made: 1, want: "a"}, {made: 2, want: "b"}} {
		a := newRestartFixture(2)
		claim := CompletedStage{Stage: 0, Pieces: []ResultLocation{{"a0", c.made, "x"}, {"a0", c.made, "y"}}}
		a.submit(a.now, chainJob("j", "j1", []CompletedStage{claim}), func(Result, error) {})
		if got := a.runCalls(t, "z"); len(got) != 1 || got[0] != c.want {
			t.Errorf("results of incarnation %d at incarnation 2: calls of %v, want %s", c.made, got, c.want)
		}
	}
}

// TestRestartedEngineHasAnEmptyCache restarts an engine that has cached a prompt and has a call waiting:
// neither counts for its next incarnation, and the end of the call changes nothing there.
func TestRestartedEngineHasAnEmptyCache(t *testing.T) {
	p := newEngineFleet()
	id, before := p.sendCall(prompt("p", 100))
	var list []wire.Member
	for _, m := range p.members["llm"] {
		if m.ID == id {
			m.Incarnation++
		}
		list = append(list, m)
	}
	p.setMembers(nil, map[string][]wire.Member{"llm": list})
	for _, m := range list {
		if l := p.load(m); m.ID == id && (l.waiting.tokens != 0 || len(l.parts) != 0) {
			t.Fatalf("%d tokens waiting at its next incarnation, %d parts cached", l.waiting.tokens, len(l.parts))
		}
	}
	p.finishAssignment(p.now, before, EngineFailed)
	for _, m := range list {
		if l := p.load(m); m.ID == id && (l.waiting.tokens != 0 || l.failures != 0) {
			t.Fatalf("a call of the earlier incarnation counts: %d tokens, %d failures", l.waiting.tokens, l.failures)
		}
	}
}

// TestReportOfALaterIncarnation has an upstream report a restart before the member list has it: the job
// restarts at once, and the member list changes nothing afterwards. A late report of the earlier incarnation
// is ignored.
func TestReportOfALaterIncarnation(t *testing.T) {
	a := newRestartFixture(10)
	a.submit(a.now, chainJob("j", "j1", nil), func(Result, error) {})
	a.runCalls(t, "old")
	w := a.services["a"].workers["a0"]
	a.applyReport(a.now, w, &upstream.Room{Free: 1, FreeMax: 1, Incarnation: 9})
	if a.services["a"].workers["a0"] != w {
		t.Fatal("a report of an earlier incarnation replaced a later one")
	}
	a.applyReport(a.now, w, &upstream.Room{Free: 1, FreeMax: 1, Incarnation: 11})
	a.restartLostJobs(a.now, a.takeRestarted())
	if next := a.runCalls(t, "new"); len(next) != 1 || next[0] != "a" {
		t.Fatalf("calls of %v", next)
	}
	after := a.services["a"].workers["a0"]
	for _, members := range []uint64{10, 11} {
		a.setIncarnation(members)
		if a.services["a"].workers["a0"] != after {
			t.Fatalf("incarnation %d in the member list replaced incarnation 11", members)
		}
	}
	a.applyReport(a.now, w, &upstream.Room{Incarnation: 12})
	if a.services["a"].workers["a0"] != after {
		t.Fatal("a report of a replaced worker counts")
	}
}

// TestRestartWithAnEarlierClock has the member list name an earlier incarnation than before, as after an
// upstream's clock was set back: it counts as a restart all the same.
func TestRestartWithAnEarlierClock(t *testing.T) {
	a := newRestartFixture(10)
	before := a.services["a"].workers["a0"]
	a.setIncarnation(7)
	if after := a.services["a"].workers["a0"]; after == before || !before.restarted || after.member.Incarnation != 7 {
		t.Fatalf("incarnation %d continues", after.member.Incarnation)
	}
}
