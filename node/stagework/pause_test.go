package stagework

import (
	"testing"
	"time"

	"caperdrum.org/api/verdict"
)

// TestPausedUpstreamMakesNoPieces has the only upstream of a service ask for a pause: a job that can wait does,
// one that cannot is refused at once with the pause as retry-after. A room report does not end the pause.
func TestPausedUpstreamMakesNoPieces(t *testing.T) {
	a := newRestartFixture(1)
	a.submit(a.now, chainJob("j", "j1", nil), func(Result, error) {})
	calls := a.startCalls(a.now)
	if len(calls) != 1 {
		t.Fatalf("%d calls", len(calls))
	}
	a.finishCall(a.now, calls[0], outcome{full: true, pause: 2 * time.Second})
	w := calls[0].worker
	w.backoffUntil = time.Time{} // as after a room report
	startAfter := func(d time.Duration) []*call {
		a.expireJobs(a.now.Add(d)) // pauses end without an event
		return a.startCalls(a.now.Add(d))
	}
	for _, after := range []time.Duration{0, time.Second, 1900 * time.Millisecond} {
		if calls := startAfter(after); len(calls) != 0 {
			t.Fatalf("%d calls after %v", len(calls), after)
		}
	}
	short := chainJob("k", "k1", nil)
	short.TimeLeft = time.Second
	var refusal error
	a.submit(a.now, short, func(_ Result, err error) { refusal = err })
	if v := verdict.From(refusal); refusal == nil || v.Verdict != verdict.NotRun || v.RetryAfter != 2*time.Second {
		t.Fatalf("job that cannot wait: %v", refusal)
	}
	if calls := startAfter(2 * time.Second); len(calls) != 1 {
		t.Fatalf("%d calls after the pause", len(calls))
	}
}

// TestLeavingUpstreamMakesNoPieces has an upstream announce in an answer that it leaves, before the member list
// has it.
func TestLeavingUpstreamMakesNoPieces(t *testing.T) {
	a := newRestartFixture(1)
	a.submit(a.now, chainJob("j", "j1", nil), func(Result, error) {})
	calls := a.startCalls(a.now)
	a.finishCall(a.now, calls[0], outcome{full: true, leaving: true})
	a.setIncarnation(1)
	a.expireJobs(a.now.Add(time.Second))
	if calls := a.startCalls(a.now.Add(time.Second)); len(calls) != 0 {
		t.Fatalf("%d calls", len(calls))
	}
	a.setIncarnation(2)
	if calls := a.startCalls(a.now.Add(time.Second)); len(calls) != 1 {
		t.Fatalf("%d calls of its next incarnation", len(calls))
	}
}
