package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
)

// unknownPlacement is for voters whose data centres are unknown.
var unknownPlacement = voterPlacement{dataCenterOf: func(string) string { return "" }}

func peerNamed(name string) consensus.Peer {
	return consensus.Peer{ID: consensus.NodeID(name), Address: name}
}

// TestSelfFormingPlanKeepsAQuorum draws voters, learners, offers and silent members, and follows the plan to
// its end. Each step must change at most one voter, the number of voters must stay between the minimum and
// the maximum (plus failed ones), and the leader must stay. At the end, no failed member may be left, except
// to keep the minimum.
func TestSelfFormingPlanKeepsAQuorum(t *testing.T) {
	const least, most = 3, 7
	rapid.Check(t, func(t *rapid.T) {
		st := consensus.Status{ID: "v0", LastIndex: 100, Progress: map[consensus.NodeID]consensus.Progress{}}
		silent := map[consensus.NodeID]bool{}
		var offers []consensus.Peer
		for i := range rapid.IntRange(1, 7).Draw(t, "voters") {
			p := peerNamed(fmt.Sprint("v", i))
			st.Membership.Voters = append(st.Membership.Voters, p)
			switch rapid.IntRange(0, 3).Draw(t, "fate") * min(i, 1) {
			case 1:
				silent[p.ID] = true
			case 2: // it lost its data folder
				offers = append(offers, consensus.Peer{ID: p.ID + "-new", Address: p.Address})
			}
		}
		for i := range rapid.IntRange(0, 3).Draw(t, "spares") {
			offers = append(offers, peerNamed(fmt.Sprint("s", i)))
		}
		start := len(st.Membership.Voters)
		for range 40 {
			for _, p := range st.Membership.All() {
				st.Progress[p.ID] = consensus.Progress{RecentActive: !silent[p.ID], Match: 100}
			}
			next, why := planSelfForming(st, offers, silent, least, most, unknownPlacement)
			if next == nil {
				checkEnd(t, st, offers, silent, least, most)
				return
			}
			if d := len(next.Voters) - len(st.Membership.Voters); d > 1 || d < -1 {
				t.Fatalf("%s: from %d to %d voters", why, len(st.Membership.Voters), len(next.Voters))
			}
			if len(next.Voters) < min(least, start) || !next.IsVoter("v0") {
				t.Fatalf("%s: voters %v", why, next.Voters)
			}
			st.Membership = *next
		}
		t.Fatal("the plan does not end")
	})
}

func checkEnd(t *rapid.T, st consensus.Status, offers []consensus.Peer, silent map[consensus.NodeID]bool, least, most int) {
	failed := failedMembers(st, offers, silent)
	if len(failed) > 0 && len(st.Membership.Voters) > least {
		t.Fatalf("failed members %v remain among %v", failed, st.Membership.Voters)
	}
	for _, o := range offers {
		if !st.Membership.IsVoter(o.ID) && len(st.Membership.Voters) < most {
			t.Fatalf("%s has offered to vote and is not a voter", o.ID)
		}
	}
}

// TestOffersExpire lets an offer expire, and a second replica take the address of the first.
func TestOffersExpire(t *testing.T) {
	var o offers
	start := time.Unix(1000, 0)
	o.add(consensus.Peer{ID: "a/1", Address: "a"}, start)
	o.add(consensus.Peer{ID: "a/2", Address: "a"}, start)
	if got := o.fresh(start); len(got) != 1 || got[0].ID != "a/2" {
		t.Fatalf("got %v", got)
	}
	if got := o.fresh(start.Add(offerTTL + 1)); len(got) != 0 {
		t.Fatalf("got %v", got)
	}
}

// TestNextOwner checks which owner is chosen from each set of processes.
func TestNextOwner(t *testing.T) {
	proxy := func(id, role string, leaving bool) wire.Member {
		return wire.Member{ID: wire.MemberID(id), Role: role, Peer: id, Leaving: leaving}
	}
	cases := map[string]struct {
		members []wire.Member
		avoid   wire.MemberID
		want    wire.MemberID
		heard   []wire.MemberID
	}{
		"nobody":                                       {nil, "", "", nil},
		"an agent is never chosen":                     {[]wire.Member{{ID: "agent", Role: "agent"}}, "", "", nil},
		"control before others":                        {[]wire.Member{proxy("a", "proxy", false), proxy("b", "proxy+control", false)}, "", "b", nil},
		"not the leader, if there is another":          {[]wire.Member{proxy("leader", "proxy+control", false), proxy("b", "proxy+control", false)}, "", "b", nil},
		"the leader before a smaller VM":               {[]wire.Member{proxy("leader", "proxy+control", false), proxy("b", "proxy", false)}, "", "leader", nil},
		"not a process that is leaving":                {[]wire.Member{proxy("a", "proxy+control", true), proxy("b", "proxy", false)}, "", "b", nil},
		"a recently failed one is last":                {[]wire.Member{proxy("a", "proxy+control", false), proxy("b", "proxy", false)}, "a", "b", nil},
		"one that has renewed":                         {[]wire.Member{proxy("a", "proxy+control", false), proxy("b", "proxy+control", false)}, "", "a", []wire.MemberID{"a"}},
		"another that has renewed":                     {[]wire.Member{proxy("a", "proxy+control", false), proxy("b", "proxy+control", false)}, "", "b", []wire.MemberID{"b"}},
		"the larger VM, whether it has renewed or not": {[]wire.Member{proxy("a", "proxy+control", false), proxy("b", "proxy", false)}, "", "a", []wire.MemberID{"b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			members := map[wire.MemberID]wire.Member{}
			for _, m := range c.members {
				members[m.ID] = m
			}
			got, _ := nextOwner(members, "leader", func(id wire.MemberID) bool { return id == c.avoid }, func(m wire.Member) bool { return slices.Contains(c.heard, m.ID) })
			if got.ID != c.want {
				t.Fatalf("chose %q, want %q", got.ID, c.want)
			}
		})
	}
}
