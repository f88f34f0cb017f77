package control

import (
	"fmt"
	"testing"

	"caperdrum.org/api/wire"
)

// candidate returns the record of a process with the given roles and CPU share that accepts jobs.
func candidate(id wire.MemberID, role string, millicores int) wire.Member {
	return wire.Member{ID: id, Role: role, Peer: "127.0.0.1:1", Incarnation: 1, Millicores: millicores}
}

const both = "proxy+control"

// TestOwnerPlacement guards against an owner that is lost together with the control processes where another one can handle the
// load, and against one that cannot handle it. Each case lists all processes; want must be chosen.
func TestOwnerPlacement(t *testing.T) {
	leaving := func(m wire.Member) wire.Member { m.Leaving = true; return m }
	noPeer := func(m wire.Member) wire.Member { m.Peer = ""; return m }
	type ids = []wire.MemberID
	for _, c := range []struct {
		name    string
		members []wire.Member
		leader  wire.MemberID
		failed  ids
		silent  ids // no renewal was received
		want    wire.MemberID
	}{
		{name: "no process"},
		{name: "no process that accepts jobs", members: []wire.Member{leaving(candidate("a", both, 512)), noPeer(candidate("b", both, 512))}},

		{name: "no shares: the control role first", members: []wire.Member{candidate("lead", both, 0), candidate("e", "proxy", 0)}, leader: "lead", want: "lead"},
		{name: "no shares: not the leader", members: []wire.Member{candidate("lead", both, 0), candidate("c", both, 0), candidate("e", "proxy", 0)}, leader: "lead", want: "c"},
		{name: "no shares: not the leader although it alone was heard from", members: []wire.Member{candidate("lead", both, 0), candidate("c", both, 0)}, leader: "lead", silent: ids{"c"}, want: "c"},
		{name: "no shares: one that was heard from", members: []wire.Member{candidate("lead", both, 0), candidate("c", both, 0), candidate("d", both, 0)}, leader: "lead", silent: ids{"d"}, want: "c"},
		{name: "no shares: one that has not failed, even without control", members: []wire.Member{candidate("lead", both, 0), candidate("e", "proxy", 0)}, leader: "lead", failed: ids{"lead"}, want: "e"},

		{name: "0.352 of 0.512 can handle the load", members: []wire.Member{candidate("lead", both, 512), candidate("c", both, 512), candidate("e", "proxy", 352), candidate("f", "proxy", 109)}, leader: "lead", want: "e"},
		{name: "0.144 of 0.512 cannot", members: []wire.Member{candidate("lead", both, 512), candidate("c", both, 512), candidate("e", "proxy", 144)}, leader: "lead", want: "c"},
		{name: "the half suffices", members: []wire.Member{candidate("lead", both, 512), candidate("c", both, 512), candidate("e", "proxy", 256)}, leader: "lead", want: "e"},
		{name: "less than the half does not", members: []wire.Member{candidate("lead", both, 512), candidate("c", both, 512), candidate("e", "proxy", 255)}, leader: "lead", want: "c"},
		{name: "the half of an odd share is rounded up", members: []wire.Member{candidate("lead", both, 513), candidate("c", both, 512), candidate("e", "proxy", 256)}, leader: "lead", want: "c"},
		{name: "the largest share of any process counts", members: []wire.Member{candidate("lead", both, 100), candidate("c", both, 100), candidate("e", "proxy", 120), noPeer(candidate("a", "agent", 512))}, leader: "lead", want: "c"},
		{name: "not that of a process that leaves", members: []wire.Member{candidate("lead", both, 100), candidate("c", both, 100), candidate("e", "proxy", 120), leaving(candidate("d", both, 512))}, leader: "lead", want: "e"},
		{name: "control processes of the previous version report no share", members: []wire.Member{candidate("lead", both, 0), candidate("c", both, 0), candidate("e", "proxy", 352)}, leader: "lead", want: "e"},
		{name: "an unknown share does not suffice", members: []wire.Member{candidate("lead", both, 512), candidate("c", both, 512), candidate("e", "proxy", 0)}, leader: "lead", want: "c"},
		{name: "a control process may have a small share", members: []wire.Member{candidate("lead", both, 512), candidate("c", both, 100), candidate("e", "proxy", 144)}, leader: "lead", want: "c"},

		{name: "outside control although not heard from", members: []wire.Member{candidate("lead", both, 512), candidate("c", both, 512), candidate("e", "proxy", 352)}, leader: "lead", silent: ids{"e"}, want: "e"},
		{name: "among those outside control, one that was heard from", members: []wire.Member{candidate("lead", both, 512), candidate("e", "proxy", 352), candidate("f", "proxy", 352)}, leader: "lead", silent: ids{"f"}, want: "e"},
		{name: "the next one outside control after a failure", members: []wire.Member{candidate("lead", both, 512), candidate("c", both, 512), candidate("e", "proxy", 352), candidate("f", "proxy", 352)}, leader: "lead", failed: ids{"e"}, want: "f"},
		{name: "control after all outside it have failed", members: []wire.Member{candidate("lead", both, 512), candidate("c", both, 512), candidate("e", "proxy", 352), candidate("f", "proxy", 144)}, leader: "lead", failed: ids{"e"}, want: "c"},
		{name: "all have failed", members: []wire.Member{candidate("lead", both, 512), candidate("c", both, 512), candidate("e", "proxy", 352)}, leader: "lead", failed: ids{"lead", "c", "e"}, want: "e"},
		{name: "the leader rather than a process that cannot handle the load", members: []wire.Member{candidate("lead", both, 512), candidate("e", "proxy", 144)}, leader: "lead", want: "lead"},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := func(list ids) map[wire.MemberID]bool {
				out := map[wire.MemberID]bool{}
				for _, id := range list {
					out[id] = true
				}
				return out
			}
			failed, silent, members := in(c.failed), in(c.silent), map[wire.MemberID]wire.Member{}
			for _, m := range c.members {
				members[m.ID] = m
			}
			got, ok := nextOwner(members, c.leader, func(id wire.MemberID) bool { return failed[id] }, func(m wire.Member) bool { return !silent[m.ID] })
			if got.ID != c.want || ok != (c.want != "") {
				t.Fatalf("%q is chosen, want %q", got.ID, c.want)
			}
		})
	}
}

// TestOwnerPlacementAmongEquals guards against a choice that depends on the order of the member map: leaders would alternate
// between equal processes.
func TestOwnerPlacementAmongEquals(t *testing.T) {
	none, all := func(wire.MemberID) bool { return false }, func(wire.Member) bool { return true }
	members := map[wire.MemberID]wire.Member{}
	for i := range 20 {
		m := candidate(wire.MemberID(fmt.Sprint("e", i)), "proxy", 352)
		members[m.ID] = m
	}
	first, _ := nextOwner(members, "lead", none, all)
	for range 20 {
		if got, _ := nextOwner(members, "lead", none, all); got.ID != first.ID {
			t.Fatalf("%s is chosen after %s", got.ID, first.ID)
		}
	}
}
