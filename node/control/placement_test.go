package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"caperdrum.org/node/consensus"
)

// placementByAddress takes the data centre from the address: north/3 is in north.
func placementByAddress(losses int) voterPlacement {
	return voterPlacement{losses, func(address string) string { return strings.Split(address, "/")[0] }}
}

// optimalMaxLoss returns the lowest possible maxLoss with up to most voters, and their number. It picks
// processes from the data centres in turn.
func optimalMaxLoss(perDataCenter []int, losses, most int) (worst, voters int) {
	taken := make([]int, len(perDataCenter))
	for took := taken; voters < most; {
		any := false
		for i, n := range perDataCenter {
			if voters < most && took[i] < n {
				took[i]++
				voters++
				any = true
			}
		}
		if !any {
			break
		}
	}
	slices.Sort(taken)
	for _, n := range taken[max(0, len(taken)-losses):] {
		worst += n
	}
	return worst, voters
}

// TestVotersOutliveTheLossOfDataCenters follows the plan to its end in clusters of every shape, from voters
// that are initially in few data centres. The loss of as many data centres as the settings allow must leave a
// majority of the voters wherever that is possible. Where it is not, the plan must report it.
func TestVotersOutliveTheLossOfDataCenters(t *testing.T) {
	const most = 7
	rapid.Check(t, func(t *rapid.T) {
		losses := rapid.IntRange(1, 2).Draw(t, "losses")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 5), 1, 6).Draw(t, "processes")
		vp := placementByAddress(losses)
		var all []consensus.Peer
		for dc, n := range sizes {
			for i := range n {
				all = append(all, peerNamed(fmt.Sprintf("dc%d/%d", dc, i)))
			}
		}
		st := consensus.Status{ID: all[0].ID, LastIndex: 100}
		st.Membership.Voters = slices.Clone(all[:rapid.IntRange(1, min(most, len(all))).Draw(t, "voters at first")])
		var next *consensus.Membership
		why := ""
		for step := 0; ; step++ {
			st.Progress = map[consensus.NodeID]consensus.Progress{}
			for _, p := range st.Membership.All() {
				st.Progress[p.ID] = consensus.Progress{RecentActive: true, Match: 100}
			}
			if next, why = planSelfForming(st, all, nil, 3, most, vp); next == nil {
				break
			}
			if len(next.Voters) > most+1 || !next.IsVoter(st.ID) || step > 60 {
				t.Fatalf("%s: %v", why, next.Voters)
			}
			st.Membership = *next
		}
		voters := st.Membership.Voters
		worst, n := optimalMaxLoss(sizes, losses, most)
		tolerable := 2*worst < n
		if tolerable && vp.lossBreaksQuorum(voters) {
			t.Fatalf("with processes %v, the loss of %d data centres takes half of %v", sizes, losses, voters)
		}
		if vp.lossBreaksQuorum(voters) == (why == "") {
			t.Fatalf("voters %v: reports %q", voters, why)
		}
	})
}
