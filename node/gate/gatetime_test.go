package gate

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// TestOldClaimsAgainstForgottenAttempts goes past the keep time after an
// attempt was cancelled, ran, or never came.
func TestOldClaimsAgainstForgottenAttempts(t *testing.T) {
	const keep = 2 * time.Minute
	clock := clockwork.NewFakeClock()
	var tab *table
	ran := 0
	done := make(chan struct{}, 1)
	tab = newTable(clock, func(_ context.Context, a *attempt) {
		ran++
		tab.finished(a, nil, 0)
		done <- struct{}{}
	}, limits{concurrency: 1, queueLength: 1, keep: keep})
	attemptOf := func(id wire.AttemptID, gateTime int64) *attempt {
		return &attempt{id: id, gateTime: gateTime, deadline: clock.Now().Add(time.Second)}
	}
	claimed := tab.gateTime()
	if st := tab.cancelClaimed("cancelled", false, claimed); st.State != wire.AttemptTombstoned {
		t.Fatalf("cancelled before it came: %s", st.State)
	}
	if refusal := tab.submit(attemptOf("cancelled", claimed)); refusal == nil || refusal.Verdict != verdict.NotRun {
		t.Fatalf("submitted after it was cancelled: %v", refusal)
	}
	if refusal := tab.submit(attemptOf("answered", claimed)); refusal != nil {
		t.Fatal(refusal)
	}
	<-done
	clock.Advance(keep/2 + time.Second)
	if refusal := tab.submit(attemptOf("late", claimed)); refusal == nil || refusal.Verdict != verdict.NotRun {
		t.Fatalf("an attempt that comes late after its claim: %v", refusal)
	}
	clock.Advance(keep / 2)
	for _, id := range []wire.AttemptID{"cancelled", "answered", "never came"} {
		// The second round finds what a late copy left behind: it must be nothing.
		for range 2 {
			if st := tab.cancelClaimed(id, false, claimed); st.State != wire.AttemptForgotten && id != "cancelled" {
				t.Errorf("%s: %s, want %s", id, st.State, wire.AttemptForgotten)
			}
			if refusal := tab.submit(attemptOf(id, claimed)); refusal == nil || refusal.Verdict != verdict.MayHaveRun && id != "cancelled" {
				t.Errorf("%s came beyond the gate's memory: %v", id, refusal)
			}
		}
	}
	if ran != 1 {
		t.Errorf("%d runs", ran)
	}
	if refusal := tab.submit(attemptOf("fresh", tab.gateTime())); refusal != nil {
		t.Errorf("a fresh claim is refused: %v", refusal)
	}
	<-done
}
