package gate

import (
	"testing"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// TestRequestLimitOfTheUpstream guards against sending an upstream more attempts than the request limit that it
// names: those that wait already start at that rate, new ones are refused at once, and the end of the limit
// starts all that the concurrency admits.
func TestRequestLimitOfTheUpstream(t *testing.T) {
	m := newGateModel()
	m.restart(limits{concurrency: 8, queueLength: 16, keep: testKeep, keepBytes: 4})
	slots := m.table.limits.concurrency
	var first []*attempt
	for range slots {
		a, _ := m.submit("a", true, time.Hour)
		first = append(first, a)
	}
	var queued []*attempt
	for range 6 {
		a, refusal := m.submit("a", true, time.Hour)
		if refusal != nil {
			t.Fatal(refusal)
		}
		queued = append(queued, a)
	}
	m.table.setRequestLimit(upstream.RequestLimit{Statement: upstream.LimitNamed, PerSecond: 2})
	for _, a := range first {
		m.finish(a, nil)
	}
	started := func() (n int) {
		for _, a := range queued {
			if a.state == wire.AttemptRunning {
				n++
			}
		}
		return n
	}
	if n := started(); n != 1 {
		t.Fatalf("%d of the waiting attempts started at once, want 1", n)
	}
	a, refusal := m.submit("a", true, time.Hour)
	if refusal == nil || refusal.Verdict != verdict.NotRun || refusal.Code != verdict.CodeOverloaded || refusal.RetryAfter <= 0 {
		t.Fatalf("a new attempt beyond the limit: %v %v", a, refusal)
	}
	for range 10 {
		m.clock.Advance(100 * time.Millisecond)
		m.table.sweep()
	}
	if n := started(); n != 3 {
		t.Fatalf("%d of the waiting attempts have started after a second with a limit of 2, want 3", n)
	}
	m.table.setRequestLimit(upstream.RequestLimit{Statement: upstream.LimitUnstated})
	if n := started(); n != 3 {
		t.Fatalf("%d started after a response that says nothing of the limit", n)
	}
	m.table.setRequestLimit(upstream.RequestLimit{Statement: upstream.LimitNone})
	if n := started(); n != min(slots, len(queued)) {
		t.Fatalf("%d started after the end of the limit, want %d", n, min(slots, len(queued)))
	}
}
