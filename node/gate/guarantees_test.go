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

// One slow run must not shut the gate for ever: the estimate that refuses
// attempts is mended only by attempts that run.
func TestSlowRunDoesNotShutTheGate(t *testing.T) {
	m := newGateModel()
	slow, _ := m.submit("a", true, time.Hour)
	m.clock.Advance(30 * time.Second)
	m.finish(slow, nil)
	if _, refusal := m.submit("a", true, 5*time.Second); refusal != nil {
		t.Fatalf("an idle upstream is refused: %v", refusal)
	}
}

// An attempt whose entry died goes on without a reader. A repeatable one ends
// after the grace; the other one's answer is kept for whoever settles it.
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
		t.Fatal("abandoned before the grace has passed")
	default:
	}
	m.clock.Advance(unreadGrace)
	<-m.running[repeatable.id].Done() // ended by the gate's own timer
	select {
	case <-m.running[confirmation.id].Done():
		t.Fatal("a call that may not be repeated is abandoned")
	default:
	}
	confirmation.response.start(200, nil)
	m.write(confirmation, "kept")
	m.finish(confirmation, nil)
	if a := m.table.addReader(confirmation.id); a == nil || string(a.response.data) != "kept" {
		t.Fatalf("the answer is not kept: %+v", a)
	}
}

// A full queue of one customer does not keep another one out.
func TestFloodDoesNotKeepASmallCustomerOut(t *testing.T) {
	m := newGateModel()
	var last *attempt
	for range m.table.limits.concurrency + m.table.limits.queueLength {
		last, _ = m.submit("large", true, time.Hour)
	}
	if _, refusal := m.submit("large", true, time.Hour); refusal == nil || refusal.Code != verdict.CodeOverloaded || refusal.RetryAfter <= 0 {
		t.Fatalf("a full queue takes more: %v", refusal)
	}
	if _, refusal := m.submit("small", true, time.Hour); refusal != nil {
		t.Fatalf("a small customer is kept out: %v", refusal)
	}
	if f := last.response.failure; f == nil || f.Verdict != verdict.NotRun || f.Code != verdict.CodeOverloaded {
		t.Errorf("the attempt pushed out: %v", f)
	}
}
