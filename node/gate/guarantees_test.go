package gate

import (
	"testing"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

func (m *gateModel) submit(customer string, repeatable bool, budget time.Duration) (*attempt, *verdict.Error) {
	m.next++
	a := &attempt{id: wire.AttemptIDAt(m.clock.Now(), m.next), incarnation: uint64(m.incarnation), customer: customer, share: 1,
		repeatable: repeatable, deadline: m.clock.Now().Add(budget), readers: 1}
	refusal := m.table.submit(a)
	m.admitted[a.id] = a
	return a, refusal
}

// A single slow run must not make the gate refuse everything from then on: only attempts that run can lower
// the run time estimate again.
func TestSlowRunDoesNotBlockAdmission(t *testing.T) {
	m := newGateModel()
	slow, _ := m.submit("a", true, time.Hour)
	m.clock.Advance(30 * time.Second)
	m.finish(slow, nil)
	if _, refusal := m.submit("a", true, 5*time.Second); refusal != nil {
		t.Fatalf("an idle upstream refused an attempt: %v", refusal)
	}
}

// An attempt whose entry died has no reader. A repeatable one is abandoned after the grace period; the
// response of any other is kept for the entry that resolves the outcome.
func TestUnreadAttempts(t *testing.T) {
	m := newGateModel()
	repeatable, _ := m.submit("a", true, time.Hour)
	confirmation, _ := m.submit("a", false, time.Hour)
	m.table.removeReader(repeatable)
	m.table.removeReader(confirmation)
	m.clock.Advance(unreadGrace / 2)
	m.table.sweep()
	select {
	case <-m.running[repeatable.id].Done():
		t.Fatal("abandoned before the end of the grace period")
	default:
	}
	m.clock.Advance(unreadGrace)
	<-m.running[repeatable.id].Done() // cancelled by the gate's own timer
	select {
	case <-m.running[confirmation.id].Done():
		t.Fatal("a non-repeatable attempt was abandoned")
	default:
	}
	confirmation.response.start(200, nil)
	m.write(confirmation, "kept")
	m.finish(confirmation, nil)
	if a := m.table.addReader(confirmation.id); a == nil || string(a.response.data) != "kept" {
		t.Fatalf("the response was not kept: %+v", a)
	}
}

// A queue filled by one customer does not lock out another one.
func TestFloodDoesNotLockOutSmallCustomer(t *testing.T) {
	m := newGateModel()
	var last *attempt
	for range m.table.limits.concurrency + m.table.limits.queueLength {
		last, _ = m.submit("large", true, time.Hour)
	}
	if _, refusal := m.submit("large", true, time.Hour); refusal == nil || refusal.Code != verdict.CodeOverloaded || refusal.RetryAfter <= 0 {
		t.Fatalf("a full queue admitted another attempt: %v", refusal)
	}
	if _, refusal := m.submit("small", true, time.Hour); refusal != nil {
		t.Fatalf("a small customer is locked out: %v", refusal)
	}
	if f := last.response.failure; f == nil || f.Verdict != verdict.NotRun || f.Code != verdict.CodeOverloaded {
		t.Errorf("displaced attempt: %v", f)
	}
}
