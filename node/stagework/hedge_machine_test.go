package stagework

import (
	"slices"
	"testing"

	"caperdrum.org/node/upstream"
)

// TestHedgedCallsNeverMixUpResults plays the same with hedging on, which must not break any of the invariants.
func TestHedgedCallsNeverMixUpResults(t *testing.T) {
	hedges := playRandomEvents(t, true)
	t.Logf("%d hedges", hedges)
	if hedges == 0 {
		t.Fatal("no call was hedged")
	}
}

// hedge turns hedging on, and saves up as many hedges as a service can have.
func (w *schedulerSimulation) hedge() {
	w.s.hedging.enabled = true
	for _, q := range w.s.services {
		q.hedgeBudget.calls = callsPerHedge * maxSavedHedges
	}
}

// checkHedge checks that a hedge goes to another, otherwise idle upstream, and repeats pieces of the overdue call once.
func (w *schedulerSimulation) checkHedge(c *call) {
	switch o := c.hedgeOf; {
	case !w.s.hedging.enabled:
		w.t.Fatal("a hedge without the setting")
	case c.worker == o.worker, c.worker.runningCalls != 1, !c.worker.healthy():
		w.t.Fatalf("a hedge of a call at %s goes to %s, which has %d calls", o.worker.member.ID, c.worker.member.ID, c.worker.runningCalls)
	case o.ended, o.hedgeOf != nil, o.hedge != c:
		w.t.Fatalf("a hedge of a call that has ended, or is hedged: %t", o.ended)
	}
	for _, p := range c.pieces {
		if p.running != 2 || p.done || !slices.Contains(c.hedgeOf.pieces, p) {
			w.t.Fatalf("piece %d of stage %d of %s: %d calls in progress", p.number, p.stage, p.job.ID, p.running)
		}
	}
}

// checkCalls checks that a job counts the calls in progress with pieces that have no result, and that each of
// its pieces is either queued or in calls.
func (w *schedulerSimulation) checkCalls(j *job) {
	calls, running := 0, map[*piece]int{}
	for _, c := range w.running {
		for i, p := range c.pieces {
			running[p]++
			if p.job == j && !p.done {
				calls++
			}
			if p.job == j && j.answer != nil && p.hedged && p.epoch == j.restarts && !c.inputsFetched {
				w.checkInputsKept(c.request[i])
			}
		}
	}
	for i, n := range j.inputsFetched {
		if n < 0 || n > j.Stages[i].Pieces {
			w.t.Fatalf("the inputs of %d of %d pieces of stage %d of %s are fetched", n, j.Stages[i].Pieces, i, j.ID)
		}
	}
	if j.calls != calls {
		w.t.Fatalf("%s counts %d calls, %d are in progress", j.ID, j.calls, calls)
	}
	for _, q := range w.s.services {
		for _, p := range q.waiting {
			if running[p] > 0 || p.done {
				w.t.Fatalf("piece %d of stage %d of %s waits, with %d calls in progress", p.number, p.stage, p.job.ID, running[p])
			}
		}
	}
}

// checkInputsKept checks that the inputs of a piece, which its upstream may still have to fetch, were not freed.
func (w *schedulerSimulation) checkInputsKept(r upstream.Piece) {
	for _, h := range r.Inputs {
		if !w.stored[h] {
			w.t.Fatalf("an input of piece %d of stage %d of %s was freed before a call with it had fetched it", r.Number, r.Stage, r.ID)
		}
	}
}
