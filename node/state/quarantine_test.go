package state

import (
	"reflect"
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

func crash(upstream wire.MemberID, calls ...wire.Fingerprint) wire.Crash {
	c := wire.Crash{Upstream: wire.Start{ID: upstream, Incarnation: 7}}
	for _, f := range calls {
		c.Calls = append(c.Calls, wire.CallSummary{Fingerprint: f, Shape: 1 << 63, Customer: "foundry", Route: "chat", Bytes: 4})
	}
	return c
}

// TestQuarantineIsReplicated quarantines a call after duplicate reports of two processes and restores the
// state from a snapshot. A replica that missed the last commands must reach the same state from there.
func TestQuarantineIsReplicated(t *testing.T) {
	a, b := New(), New()
	first := Command{Now: 10, Crashes: &wire.CrashReport{Crashes: []wire.Crash{crash("i-1", "f", "g"), crash("i-2", "f")}}}
	second := Command{Now: 20, Crashes: &wire.CrashReport{Crashes: []wire.Crash{crash("i-3", "f"), crash("i-1", "h")}}}
	apply(t, a, first)
	apply(t, a, first)
	if s := a.View().Suspects; len(s.List) != 1 || s.List[0].Barred || s.List[0].Shape != 1<<63 {
		t.Fatalf("after two crashes: %+v", s)
	}
	data, err := a.Capture().Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Restore(data); err != nil {
		t.Fatal(err)
	}
	held := a.View().Suspects
	for _, m := range []*Machine{a, b} {
		if r := apply(t, m, second); len(r.Quarantine.Barred) != 1 || r.Quarantine.Barred[0].Call.Fingerprint != "f" {
			t.Fatalf("after the third crash: %+v", r.Quarantine)
		}
		apply(t, m, second)
	}
	if held.List[0].Barred || !reflect.DeepEqual(a.View().Suspects, b.View().Suspects) || !reflect.DeepEqual(a.View().Quarantine, b.View().Quarantine) {
		t.Fatalf("%+v and %+v", a.View().Quarantine, b.View().Quarantine)
	}
	if s := a.View().Suspects; s.Revision != held.Revision+1 || s.Barred() != 1 {
		t.Fatalf("after three crashes: %+v, before: %+v", s, held)
	}
	if apply(t, b, Command{Now: 30 + 25*time.Hour.Milliseconds()}); len(b.View().Suspects.List) != 1 || b.View().Suspects.Barred() != 0 {
		t.Fatalf("a day later: %+v", b.View().Suspects)
	}
	if r := apply(t, a, Command{Now: 30, Lift: "x"}); len(r.Quarantine.Lifted) != 0 || a.View().Suspects.Barred() != 1 {
		t.Fatalf("an unknown fingerprint was lifted: %+v", r.Quarantine)
	}
	if r := apply(t, a, Command{Now: 30, Lift: "f"}); len(r.Quarantine.Lifted) != 1 || len(a.View().Suspects.List) != 0 {
		t.Fatalf("lifted: %+v", r.Quarantine)
	}
}
