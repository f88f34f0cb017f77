package control

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// TestStalledLeaderExpiresNoLease covers periods in which the leader processed no renewals. No member may be
// removed because of them.
func TestStalledLeaderExpiresNoLease(t *testing.T) {
	cases := map[string]func(w *simulation){
		"the leader was stalled": func(w *simulation) { w.clock.Advance(10 * time.Second) },
		"leadership was lost and regained": func(w *simulation) {
			lead := w.nodes[0].svc.leases
			for range 20 {
				w.clock.Advance(expiryInterval)
				lead.lastStep = w.clock.Now() // the process is not stalled
			}
			w.term++
		},
	}
	for name, pass := range cases {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(nil)
			lead := w.nodes[0].svc.leases
			m := wire.Member{ID: "m0", Incarnation: 1}
			lead.record([]Renewal{{Member: m}})
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

// TestRestartStormIsBatched restarts many members at once: their joins must share a command.
func TestRestartStormIsBatched(t *testing.T) {
	w := newSimulation(nil)
	lead := w.nodes[0].svc.leases
	for i := range 200 {
		lead.record([]Renewal{{Member: wire.Member{ID: wire.MemberID("m0" + string(rune('a'+i))), Incarnation: 1}}})
	}
	lead.step(context.Background())
	if len(w.log) != 1 || len(w.oracle.View().Members) != 200 {
		t.Fatalf("%d commands for %d members", len(w.log), len(w.oracle.View().Members))
	}
}

// TestLeasesAfterClockStepBack restarts a member with a lower incarnation. It must become a member again once the
// lease of its earlier incarnation has expired.
func TestLeasesAfterClockStepBack(t *testing.T) {
	w := newSimulation(nil)
	w.commit(state.Command{Join: []wire.Member{{ID: "m0", Incarnation: 9}}})
	w.nodes[0].catchUp(1)
	lead := w.nodes[0].svc.leases
	for range 14 {
		lead.step(context.Background())
		lead.record([]Renewal{{Member: wire.Member{ID: "m0", Incarnation: 5}}})
		w.clock.Advance(expiryInterval)
	}
	lead.step(context.Background())
	if m := w.oracle.View().Members["m0"]; m.Incarnation != 5 {
		t.Fatalf("the member list contains %+v", m)
	}
}

// TestGrantedLeaseIsNotReportedAsSeen lets a new leader grant leases. Until a member renews its lease, it
// must be reported as not seen.
func TestGrantedLeaseIsNotReportedAsSeen(t *testing.T) {
	w := newSimulation(nil)
	lead := w.nodes[0].svc.leases
	both := []Renewal{{Member: wire.Member{ID: "m0", Incarnation: 1}}, {Member: wire.Member{ID: "m1", Incarnation: 1}}}
	lead.record(both)
	lead.step(context.Background())
	w.clock.Advance(expiryInterval)
	w.term++
	lead.step(context.Background())
	lead.record(both[:1])
	w.clock.Advance(expiryInterval)
	want := map[wire.MemberID]time.Duration{"m0": expiryInterval, "m1": -1}
	for _, row := range lead.report() {
		if row.LastSeen != want[row.ID] {
			t.Errorf("%s: last seen %s ago, want %s", row.ID, row.LastSeen, want[row.ID])
		}
	}
}

// TestLateHeartbeatDoesNotRestoreALeavingUpstream delivers a heartbeat of an announced upstream after it has
// left. Its record must stay in the list as leaving for longer than a heartbeat may be delayed, and must then
// be removed.
func TestLateHeartbeatDoesNotRestoreALeavingUpstream(t *testing.T) {
	w := newSimulation(nil)
	lead := w.nodes[0].svc.leases
	ready := wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", false)
	leaving := wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", true)
	for _, m := range []wire.Member{ready, leaving, ready} {
		lead.record([]Renewal{{Member: m}})
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
		t.Fatalf("the member list contains %+v, %v", m, held)
	}
	pass(2 * time.Second)
	if _, held := w.oracle.View().Members["m0"]; held {
		t.Fatal("an upstream that left is never removed")
	}
}

// TestDeregistrationOfListedAndPendingUpstreams lets upstreams leave that are in the member list, whose join is
// pending, or that are unknown. Nothing may be acknowledged for the id of one of our own processes.
func TestDeregistrationOfListedAndPendingUpstreams(t *testing.T) {
	w := newSimulation(nil)
	lead := w.nodes[0].svc.leases
	held := wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", false)
	waits := wire.AnnouncedUpstream("m1", "s", "10.0.0.2:80", "e", false)
	held.Version, waits.Version = "v1", "v2"
	lead.record([]Renewal{{Member: held}, {Member: wire.Member{ID: "m2", Incarnation: 1}}})
	lead.step(context.Background())
	lead.record([]Renewal{{Member: waits}})
	for _, m := range []wire.Member{held, waits} {
		want := wire.AnnouncedUpstream(m.ID, m.Service, m.Direct, m.DataCenter, true)
		want.Version = m.Version
		if got, err := lead.leavingRecords(&wire.LeaveRequest{ID: m.ID}); err != nil || len(got) != 1 || !reflect.DeepEqual(got[0], want) {
			t.Errorf("%s leaves as %+v, %v", m.ID, got, err)
		}
	}
	if got, err := lead.leavingRecords(&wire.LeaveRequest{ID: "m2"}); err != errNoUpstream || len(got) != 0 {
		t.Errorf("our own process leaves as an upstream: %+v, %v", got, err)
	}
	for _, start := range []uint64{0, 1_700_000_000_000} {
		want := wire.DepartedUpstream("m3").WithStartTime(start)
		if got, err := lead.leavingRecords(&wire.LeaveRequest{ID: "m3", Incarnation: start}); err != nil || len(got) != 1 || !reflect.DeepEqual(got[0], want) {
			t.Errorf("an unknown upstream leaves as %+v, %v", got, err)
		}
	}
}

// TestHeartbeatAfterAnUnknownUpstreamLeft lets an upstream leave before it is known. A delayed heartbeat of the start that
// left must not add it: at this leader, at the next one, and at one that was restored from a snapshot. A later start
// must be added, and the record must be removed once heartbeats can no longer be delayed.
func TestHeartbeatAfterAnUnknownUpstreamLeft(t *testing.T) {
	const first, second = 1_700_000_000_000, 1_700_000_005_000
	record := func(started uint64) wire.Member {
		return wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", false).WithStartTime(started).WithHeartbeat(9, false)
	}
	for name, start := range map[string]uint64{"without a start time": 0, "with its start time": first} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(nil)
			l := w.nodes[0].svc.leases
			records, err := l.leavingRecords(&wire.LeaveRequest{ID: "m0", Incarnation: start})
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range records {
				l.record([]Renewal{{Member: m}})
			}
			l.step(context.Background())
			late := func(l *leases, when string) {
				t.Helper()
				l.record([]Renewal{{Member: record(start)}})
				l.step(context.Background())
				if m, held := w.oracle.View().Members["m0"]; !held || !m.Departed() {
					t.Fatalf("%s: the member list contains %+v, %v", when, m, held)
				}
			}
			late(l, "a late heartbeat")
			w.term++
			l.step(context.Background())
			late(l, "after another election")
			w.restartFromSnapshot(t)
			l = w.nodes[0].svc.leases
			late(l, "after a restart from a snapshot")
			l.record([]Renewal{{Member: record(second)}})
			l.step(context.Background())
			if m := w.oracle.View().Members["m0"]; !reflect.DeepEqual(m, record(second)) {
				t.Fatalf("after the second start the member list contains %+v", m)
			}
		})
	}
}

// TestRecordsOfUnknownUpstreamsAreBounded lets unknown upstreams leave. At the bound nothing more may be acknowledged, known
// upstreams must still be able to leave, and the records must be removed after a time.
func TestRecordsOfUnknownUpstreamsAreBounded(t *testing.T) {
	w := newSimulation(nil)
	lead := w.nodes[0].svc.leases
	known := wire.AnnouncedUpstream("m1", "s", "10.0.0.1:80", "d", false)
	lead.record([]Renewal{{Member: known}})
	lead.step(context.Background())
	leave := func(id string) error {
		records, err := lead.leavingRecords(&wire.LeaveRequest{ID: wire.MemberID(id)})
		for _, m := range records {
			lead.record([]Renewal{{Member: m}})
		}
		return err
	}
	for i := range maxDepartedUpstreams {
		if err := leave(fmt.Sprint("m0-", i)); err != nil {
			t.Fatal(err)
		}
		if i == maxDepartedUpstreams/2 {
			lead.step(context.Background()) // some are recorded, the others are pending
		}
	}
	if err := leave("m0-one-more"); err != errTooManyDeparted {
		t.Fatalf("one more than the bound: %v", err)
	}
	if err := leave("m0-0"); err != nil {
		t.Fatalf("a repeated message: %v", err)
	}
	if err := leave("m1"); err != nil {
		t.Fatalf("a known upstream: %v", err)
	}
	for range (leavingLease + time.Second) / expiryInterval {
		w.clock.Advance(expiryInterval)
		lead.step(context.Background())
	}
	for id, m := range w.oracle.View().Members {
		if m.Departed() {
			t.Fatalf("%s is never removed", id)
		}
	}
	if err := leave("m0-one-more"); err != nil {
		t.Fatalf("after the others were removed: %v", err)
	}
}

// restartFromSnapshot restarts the first node from a snapshot of the state.
func (w *simulation) restartFromSnapshot(t *testing.T) {
	t.Helper()
	data, err := w.oracle.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := w.oracle.Restore(data); err != nil {
		t.Fatal(err)
	}
	w.nodes[0].restart()
	w.nodes[0].machine = w.oracle
}

// TestSilentUpstreamIsRemoved checks that an announced upstream has a longer lease than our own processes,
// since its heartbeats may be late.
func TestSilentUpstreamIsRemoved(t *testing.T) {
	w := newSimulation(nil)
	lead := w.nodes[0].svc.leases
	lead.record([]Renewal{{Member: wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", false)}})
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
		t.Fatal("kept although it does not renew its lease")
	}
}

// TestRestartedUpstreamReplacesItsEarlierIncarnation lets an upstream leave, or crash, and start again with the same
// ID. The later start must become a member immediately, and late messages of the earlier one must change
// nothing: at this leader, at the next one, and at one that was restored from a snapshot.
func TestRestartedUpstreamReplacesItsEarlierIncarnation(t *testing.T) {
	const first, second = 1_700_000_000_000, 1_700_000_005_000
	record := func(started uint64, leaving bool) wire.Member {
		return wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", leaving).WithStartTime(started)
	}
	for name, before := range map[string][]wire.Member{
		"it crashed": {record(first, false)},
		"it left":    {record(first, false), record(first, true)},
		"it left without having sent its start time": {record(0, false), record(0, true)},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(nil)
			lead := w.nodes[0].svc.leases
			for _, m := range append(before, record(second, false)) {
				lead.record([]Renewal{{Member: m}})
				lead.step(context.Background())
			}
			check := func(when string) {
				t.Helper()
				if m := w.oracle.View().Members["m0"]; !reflect.DeepEqual(m, record(second, false)) {
					t.Fatalf("%s: the member list contains %+v", when, m)
				}
			}
			check("after the second start")
			late := func(l *leases, when string) {
				t.Helper()
				for _, m := range []wire.Member{record(first, false), record(first, true), record(0, true)} {
					l.record([]Renewal{{Member: m}})
					l.step(context.Background())
				}
				if got, err := l.leavingRecords(&wire.LeaveRequest{ID: "m0", Incarnation: first}); err != nil || len(got) != 0 {
					t.Fatalf("%s: a late leave request has an effect: %+v, %v", when, got, err)
				}
				check(when)
			}
			late(lead, "late heartbeats")
			w.term++
			lead.step(context.Background())
			late(lead, "after another election")
			w.restartFromSnapshot(t)
			late(w.nodes[0].svc.leases, "after a restart from a snapshot")
		})
	}
}

// TestRestartedUpstreamWithEarlierClock restarts an upstream whose clock was set back. It must become a member once
// the lease of its earlier incarnation has expired.
func TestRestartedUpstreamWithEarlierClock(t *testing.T) {
	w := newSimulation(nil)
	lead := w.nodes[0].svc.leases
	record := func(started uint64) wire.Member {
		return wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", false).WithStartTime(started)
	}
	lead.record([]Renewal{{Member: record(5000)}})
	lead.step(context.Background())
	for range (announcedLease + time.Second) / expiryInterval {
		w.clock.Advance(expiryInterval)
		lead.record([]Renewal{{Member: record(3000)}})
		lead.step(context.Background())
	}
	if m := w.oracle.View().Members["m0"]; m.Incarnation != 3000 {
		t.Fatalf("the member list contains %+v", m)
	}
}

// TestOnlyChangedHeartbeatsAreReplicated sends numbered heartbeats of an upstream that is cold, becomes warm,
// and leaves. Each change must be replicated once, and late heartbeats must be ignored.
func TestOnlyChangedHeartbeatsAreReplicated(t *testing.T) {
	w := newSimulation(nil)
	lead := w.nodes[0].svc.leases
	heartbeat := func(number uint64, cold, leaving bool) wire.Member {
		return wire.AnnouncedUpstream("m0", "s", "10.0.0.1:80", "d", leaving).WithHeartbeat(number, cold)
	}
	for i, c := range []struct {
		heartbeat wire.Member
		commands  int
		cold      bool
	}{
		{heartbeat(1, true, false), 1, true},
		{heartbeat(2, true, false), 1, true},
		{heartbeat(4, false, false), 2, false},
		{heartbeat(3, true, false), 2, false}, // late
		{heartbeat(5, false, false), 2, false},
		{heartbeat(6, true, false), 3, true}, // it returned
		{heartbeat(7, false, true), 4, false},
		{heartbeat(8, false, false), 4, false}, // sent before it left
	} {
		lead.record([]Renewal{{Member: c.heartbeat}})
		lead.step(context.Background())
		w.nodes[0].catchUp(len(w.log))
		if m := w.oracle.View().Members["m0"]; len(w.log) != c.commands || m.Cold != c.cold {
			t.Fatalf("%d: %d commands, %+v", i, len(w.log), m)
		}
	}
	if m := w.oracle.View().Members["m0"]; !m.Leaving {
		t.Fatalf("%+v is not leaving", m)
	}
}
