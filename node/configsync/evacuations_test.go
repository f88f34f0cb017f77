package configsync

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

func evacuated(revision uint64, dataCenters ...string) *wire.Evacuations {
	e := &wire.Evacuations{Revision: revision}
	for _, dc := range dataCenters {
		e.List = append(e.List, wire.Evacuation{DataCenter: dc, Evacuated: true, Revision: revision})
	}
	return e
}

// upstreamsIn are one announced upstream and one behind an agent in each data centre.
func upstreamsIn(dataCenters ...string) *wire.MembersDelta {
	d := &wire.MembersDelta{To: 1, Whole: true}
	for _, dc := range dataCenters {
		d.Changed = append(d.Changed, wire.AnnouncedUpstream(wire.MemberID("i-"+dc), "llm", "10.0.0.1:80", dc, false),
			wire.Member{ID: wire.MemberID("a-" + dc), Service: "llm", Gate: "10.0.0.1:81", DataCenter: dc})
	}
	return d
}

// TestEvacuatedUpstreamsGetNoCalls follows a data centre out and back: with the first view of a
// process that has just started, and with a change alone.
func TestEvacuatedUpstreamsGetNoCalls(t *testing.T) {
	h := NewHolder(wire.Member{ID: "m"})
	take := func(r wire.SyncReply) *View {
		t.Helper()
		r.MembersSeq = 1
		if _, err := h.Take(&r, time.Unix(1000, 0)); err != nil {
			t.Fatal(err)
		}
		return h.View()
	}
	expect := func(v *View, want int) {
		t.Helper()
		if announced, agents := len(v.Announced["llm"]), len(v.ByService["llm"]); announced != want || agents != want || v.Members.Len() != 4 {
			t.Fatalf("%d announced, %d agents, %d members; want %d", announced, agents, v.Members.Len(), want)
		}
	}
	expect(take(wire.SyncReply{Members: upstreamsIn("north", "south"), Evacuations: evacuated(2, "north"), EvacuationsRevision: 2}), 1)
	if got := h.Request(0).Evacuations; got != 2 {
		t.Fatalf("asks for what follows revision %d", got)
	}
	expect(take(wire.SyncReply{Evacuations: evacuated(3, "north", "south"), EvacuationsRevision: 3}), 0)
	expect(take(wire.SyncReply{Evacuations: evacuated(4), EvacuationsRevision: 4}), 2)
	if _, err := h.Take(&wire.SyncReply{MembersSeq: 1, Evacuations: evacuated(3, "north"), EvacuationsRevision: 3}, time.Unix(1000, 0)); !errors.Is(err, errBehind) {
		t.Fatalf("a control process that is behind: %v", err)
	}
	expect(h.View(), 2)
	if _, err := h.Take(&wire.SyncReply{MembersSeq: 1, EvacuationsRevision: 9}, time.Unix(1000, 0)); !errors.Is(err, errGap) {
		t.Fatalf("news that are not brought: %v", err)
	}
}
