package control

import (
	"context"
	"reflect"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// TestLeasesThatNobodyListenedTo lists times in which the leader could not
// hear members; none of them may be removed after it.
func TestLeasesThatNobodyListenedTo(t *testing.T) {
	cases := map[string]func(w *world){
		"the leader stood still": func(w *world) { w.clock.Advance(10 * time.Second) },
		"the lead was lost and won in between": func(w *world) {
			lead := w.nodes[0].svc.leases
			for range 20 {
				w.clock.Advance(expiryInterval)
				lead.lastStep = w.clock.Now() // busy elsewhere
			}
			w.term++
		},
	}
	for name, pass := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(nil)
			lead := w.nodes[0].svc.leases
			m := wire.Member{ID: "m0", Incarnation: 1}
			lead.renew([]Renewal{{Member: m}})
			lead.step(context.Background())
			pass(w)
			lead.step(context.Background())
			if _, held := w.oracle.View().Members["m0"]; !held {
				t.Fatal("removed")
			}
			for range 14 {
				w.clock.Advance(expiryInterval)
				lead.step(context.Background())
			}
			if _, held := w.oracle.View().Members["m0"]; held {
				t.Fatal("a silent member was kept for longer than a lease")
			}
		})
	}
}

// TestRestartStormIsBatched restarts many members at once: their joins share a
// command.
func TestRestartStormIsBatched(t *testing.T) {
	w := newWorld(nil)
	lead := w.nodes[0].svc.leases
	for i := range 200 {
		lead.renew([]Renewal{{Member: wire.Member{ID: wire.MemberID("m0" + string(rune('a'+i))), Incarnation: 1}}})
	}
	lead.step(context.Background())
	if len(w.log) != 1 || len(w.oracle.View().Members) != 200 {
		t.Fatalf("%d commands for %d members", len(w.log), len(w.oracle.View().Members))
	}
}

// TestClockThatWentBack restarts a member under a lower incarnation: it is a
// member again once the lease of the earlier start has ended.
func TestClockThatWentBack(t *testing.T) {
	w := newWorld(nil)
	w.commit(state.Command{Join: []wire.Member{{ID: "m0", Incarnation: 9}}})
	w.nodes[0].catchUp(1)
	lead := w.nodes[0].svc.leases
	for range 14 {
		lead.step(context.Background())
		lead.renew([]Renewal{{Member: wire.Member{ID: "m0", Incarnation: 5}}})
		w.clock.Advance(expiryInterval)
	}
	lead.step(context.Background())
	if m := w.oracle.View().Members["m0"]; m.Incarnation != 5 {
		t.Fatalf("the members hold %+v", m)
	}
}

// TestGrantIsNoSignOfLife lets a new leader grant leases: until a member renews,
// it is reported as not heard from.
func TestGrantIsNoSignOfLife(t *testing.T) {
	w := newWorld(nil)
	lead := w.nodes[0].svc.leases
	both := []Renewal{{Member: wire.Member{ID: "m0", Incarnation: 1}}, {Member: wire.Member{ID: "m1", Incarnation: 1}}}
	lead.renew(both)
	lead.step(context.Background())
	w.clock.Advance(expiryInterval)
	w.term++
	lead.step(context.Background())
	lead.renew(both[:1])
	w.clock.Advance(expiryInterval)
	want := map[wire.MemberID]time.Duration{"m0": expiryInterval, "m1": -1}
	for _, row := range lead.report() {
		if row.LastSeen != want[row.ID] {
			t.Errorf("%s: last seen %s ago, want %s", row.ID, row.LastSeen, want[row.ID])
		}
	}
}

// TestLateSignOfLifeDoesNotBringALeavingUpstreamBack lets an announced upstream
// leave, and a sign of life arrive that it sent before. The record is kept as
// leaving for longer than a sign of life may be late, and then removed.
func TestLateSignOfLifeDoesNotBringALeavingUpstreamBack(t *testing.T) {
	w := newWorld(nil)
	lead := w.nodes[0].svc.leases
	ready := wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", false)
	leaving := wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", true)
	for _, m := range []wire.Member{ready, leaving, ready} {
		lead.renew([]Renewal{{Member: m}})
		lead.step(context.Background())
	}
	pass := func(d time.Duration) {
		for range d / expiryInterval {
			w.clock.Advance(expiryInterval)
			lead.step(context.Background())
		}
	}
	pass(leavingLease - time.Second)
	if m, held := w.oracle.View().Members["m0"]; !held || !m.Leaving {
		t.Fatalf("the members hold %+v, %v", m, held)
	}
	pass(2 * time.Second)
	if _, held := w.oracle.View().Members["m0"]; held {
		t.Fatal("an upstream that left is kept for ever")
	}
}

// TestUpstreamThatLeavesIsFoundWhereverItIs has upstreams leave whose signs of life
// the members hold, or are about to. Nothing is made up for an unknown one, or
// for a process of our own.
func TestUpstreamThatLeavesIsFoundWhereverItIs(t *testing.T) {
	w := newWorld(nil)
	lead := w.nodes[0].svc.leases
	held := wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", false)
	waits := wire.AnnouncedUpstream("m1", "s", "10.0.0.2:80", "e", false)
	lead.renew([]Renewal{{Member: held}, {Member: wire.Member{ID: "m2", Incarnation: 1}}})
	lead.step(context.Background())
	lead.renew([]Renewal{{Member: waits}})
	for _, m := range []wire.Member{held, waits} {
		want := wire.AnnouncedUpstream(m.ID, m.Service, m.Direct, m.DataCenter, true)
		if got := lead.leaving(&wire.LeaveRequest{ID: m.ID}); len(got) != 1 || !reflect.DeepEqual(got[0], want) {
			t.Errorf("%s leaves as %+v", m.ID, got)
		}
	}
	for _, id := range []wire.MemberID{"m2", "m3"} {
		if got := lead.leaving(&wire.LeaveRequest{ID: id}); len(got) != 0 {
			t.Errorf("%s leaves as %+v", id, got)
		}
	}
}

// TestSilentUpstreamIsRemoved gives an announced upstream a longer lease than a
// process of our own, since its signs of life may be late.
func TestSilentUpstreamIsRemoved(t *testing.T) {
	w := newWorld(nil)
	lead := w.nodes[0].svc.leases
	lead.renew([]Renewal{{Member: wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", false)}})
	for elapsed := time.Duration(0); elapsed < announcedLease+time.Second; elapsed += expiryInterval {
		lead.step(context.Background())
		_, held := w.oracle.View().Members["m0"]
		if elapsed < announcedLease && !held {
			t.Fatalf("removed after %v", elapsed)
		}
		w.clock.Advance(expiryInterval)
	}
	lead.step(context.Background())
	if _, held := w.oracle.View().Members["m0"]; held {
		t.Fatal("kept although it is silent")
	}
}

// TestUpstreamThatStartsAgainReplacesItself lets an upstream leave, or crash, and start
// again under its id. The later start is a member at once, and whatever comes late of the
// earlier one changes nothing: at this leader, at the next one, and at one that
// begins with a snapshot.
func TestUpstreamThatStartsAgainReplacesItself(t *testing.T) {
	const first, second = 1_700_000_000_000, 1_700_000_005_000
	record := func(started uint64, leaving bool) wire.Member {
		return wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", leaving).WithStartTime(started)
	}
	for name, before := range map[string][]wire.Member{
		"it crashed": {record(first, false)},
		"it left":    {record(first, false), record(first, true)},
		"it did not say when it started, and left": {record(0, false), record(0, true)},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(nil)
			lead := w.nodes[0].svc.leases
			for _, m := range append(before, record(second, false)) {
				lead.renew([]Renewal{{Member: m}})
				lead.step(context.Background())
			}
			check := func(when string) {
				t.Helper()
				if m := w.oracle.View().Members["m0"]; !reflect.DeepEqual(m, record(second, false)) {
					t.Fatalf("%s: the members hold %+v", when, m)
				}
			}
			check("after its second start")
			late := func(l *leases, when string) {
				t.Helper()
				for _, m := range []wire.Member{record(first, false), record(first, true), record(0, true)} {
					l.renew([]Renewal{{Member: m}})
					l.step(context.Background())
				}
				if got := l.leaving(&wire.LeaveRequest{ID: "m0", Incarnation: first}); len(got) != 0 {
					t.Fatalf("%s: a late word of its leaving makes it leave: %+v", when, got)
				}
				check(when)
			}
			late(lead, "late signs of life")
			w.term++
			lead.step(context.Background())
			late(lead, "after another election")
			data, err := w.oracle.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if err := w.oracle.Restore(data); err != nil {
				t.Fatal(err)
			}
			w.nodes[0].restart()
			w.nodes[0].machine = w.oracle
			late(w.nodes[0].svc.leases, "after a restart from a snapshot")
		})
	}
}

// TestUpstreamWhoseClockWentBack lets an upstream start again with a clock that is behind
// that of its start before: it is taken once the earlier start's lease has ended.
func TestUpstreamWhoseClockWentBack(t *testing.T) {
	w := newWorld(nil)
	lead := w.nodes[0].svc.leases
	record := func(started uint64) wire.Member {
		return wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", false).WithStartTime(started)
	}
	lead.renew([]Renewal{{Member: record(5000)}})
	lead.step(context.Background())
	for range (announcedLease + time.Second) / expiryInterval {
		w.clock.Advance(expiryInterval)
		lead.renew([]Renewal{{Member: record(3000)}})
		lead.step(context.Background())
	}
	if m := w.oracle.View().Members["m0"]; m.Incarnation != 3000 {
		t.Fatalf("the members hold %+v", m)
	}
}

// TestOnlyWhatSignsOfLifeChangeIsReplicated numbers signs of life of an upstream that is cold, is
// cold no more, and leaves: each of these is replicated once, in spite of late ones.
func TestOnlyWhatSignsOfLifeChangeIsReplicated(t *testing.T) {
	w := newWorld(nil)
	lead := w.nodes[0].svc.leases
	beat := func(number uint64, cold, leaving bool) wire.Member {
		return wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", leaving).WithHeartbeat(number, cold)
	}
	for i, c := range []struct {
		beat     wire.Member
		commands int
		cold     bool
	}{
		{beat(1, true, false), 1, true},
		{beat(2, true, false), 1, true},
		{beat(4, false, false), 2, false},
		{beat(3, true, false), 2, false}, // late
		{beat(5, false, false), 2, false},
		{beat(6, true, false), 3, true}, // it came back
		{beat(7, false, true), 4, false},
		{beat(8, false, false), 4, false}, // sent before it left
	} {
		lead.renew([]Renewal{{Member: c.beat}})
		lead.step(context.Background())
		w.nodes[0].catchUp(len(w.log))
		if m := w.oracle.View().Members["m0"]; len(w.log) != c.commands || m.Cold != c.cold {
			t.Fatalf("%d: %d commands, %+v", i, len(w.log), m)
		}
	}
	if m := w.oracle.View().Members["m0"]; !m.Leaving {
		t.Fatalf("%+v does not leave", m)
	}
}
