package configsync

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

func evacuationsOf(revision uint64, dataCenters ...string) *wire.Evacuations {
	e := &wire.Evacuations{Revision: revision}
	for _, dc := range dataCenters {
		e.List = append(e.List, wire.Evacuation{DataCenter: dc, Evacuated: true, Revision: revision})
	}
	return e
}

// upstreamsIn returns an announced upstream and one behind an agent in each data centre.
func upstreamsIn(dataCenters ...string) *wire.MembersDelta {
	d := &wire.MembersDelta{To: 1, Whole: true}
	for _, dc := range dataCenters {
		d.Changed = append(d.Changed, wire.AnnouncedUpstream(wire.MemberID("i-"+dc), "llm", "10.0.0.1:80", dc, false),
			wire.Member{ID: wire.MemberID("a-" + dc), Service: "llm", Gate: "10.0.0.1:81", DataCenter: dc})
	}
	return d
}

// TestEvacuatedUpstreamsGetNoCalls evacuates data centres and ends the evacuations, in the initial view and
// in updates without other changes.
func TestEvacuatedUpstreamsGetNoCalls(t *testing.T) {
	h := NewHolder(wire.Member{ID: "m"})
	take := func(r wire.SyncReply) *View {
		t.Helper()
		r.MembersSeq = 1
		if _, err := h.Apply(&r, time.Unix(1000, 0)); err != nil {
			t.Fatal(err)
		}
		return h.View()
	}
	expect := func(v *View, want int) {
		t.Helper()
		if announced, agents := len(v.Announced["llm"]), len(v.Agents["llm"]); announced != want || agents != want || v.Members.Len() != 4 {
			t.Fatalf("%d announced, %d agents, %d members; want %d", announced, agents, v.Members.Len(), want)
		}
	}
	expect(take(wire.SyncReply{Members: upstreamsIn("north", "south"), Evacuations: evacuationsOf(2, "north"), EvacuationsRevision: 2}), 1)
	if got := h.Request(0).Evacuations; got != 2 {
		t.Fatalf("requests updates after revision %d", got)
	}
	expect(take(wire.SyncReply{Evacuations: evacuationsOf(3, "north", "south"), EvacuationsRevision: 3}), 0)
	expect(take(wire.SyncReply{Evacuations: evacuationsOf(4), EvacuationsRevision: 4}), 2)
	if _, err := h.Apply(&wire.SyncReply{MembersSeq: 1, Evacuations: evacuationsOf(3, "north"), EvacuationsRevision: 3}, time.Unix(1000, 0)); !errors.Is(err, errOlderState) {
		t.Fatalf("a control process with an older state: %v", err)
	}
	expect(h.View(), 2)
	if _, err := h.Apply(&wire.SyncReply{MembersSeq: 1, EvacuationsRevision: 9}, time.Unix(1000, 0)); !errors.Is(err, errIncompleteUpdate) {
		t.Fatalf("a reply without its updates: %v", err)
	}
}
