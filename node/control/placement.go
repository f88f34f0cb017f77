package control

import (
	"fmt"
	"slices"

	"caperdrum.org/node/consensus"
)

// voterPlacement describes how voters are distributed over data centres, some of which may fail together.
// Acknowledged changes survive that, and new ones are accepted, while the remaining data centres contain a
// majority of the voters.
type voterPlacement struct {
	losses       int                         // number of data centres that may fail together
	dataCenterOf func(address string) string // data centre of the process at a peer address; empty if unknown
}

// placement derives the location of processes from the member list.
func (s *Service) placement() voterPlacement {
	by := map[string]string{}
	for _, m := range s.cluster.View().Members {
		if m.Peer != "" {
			by[m.Peer] = m.DataCenter
		}
	}
	return voterPlacement{s.set.Control.DataCenterLosses, func(address string) string { return by[address] }}
}

// counts returns the number of voters per data centre. A voter whose data centre is unknown counts as the
// only one in its own.
func (vp voterPlacement) counts(voters []consensus.Peer) map[string]int {
	out := map[string]int{}
	for _, v := range voters {
		dc := vp.dataCenterOf(v.Address)
		if dc == "" {
			dc = "at " + v.Address
		}
		out[dc]++
	}
	return out
}

// maxLoss returns how many voters are lost if the data centres with the most voters fail.
func (vp voterPlacement) maxLoss(voters []consensus.Peer) int {
	var counts []int
	for _, n := range vp.counts(voters) {
		counts = append(counts, n)
	}
	slices.Sort(counts)
	sum := 0
	for _, n := range counts[max(0, len(counts)-vp.losses):] {
		sum += n
	}
	return sum
}

// lossBreaksQuorum reports whether that failure takes half of the voters or more.
func (vp voterPlacement) lossBreaksQuorum(voters []consensus.Peer) bool {
	return vp.losses > 0 && 2*vp.maxLoss(voters) >= len(voters)
}

// improves reports whether the failure takes half of the voters now, and fewer once p has replaced a voter of
// the largest data centre.
func (vp voterPlacement) improves(voters []consensus.Peer, p consensus.Peer) bool {
	if !vp.lossBreaksQuorum(voters) {
		return false
	}
	next := append(slices.Clone(voters), p)
	v, ok := vp.removalCandidate(next, p.ID)
	return ok && vp.maxLoss(without(next, v.ID)) < vp.maxLoss(voters)
}

// removalCandidate returns a voter, other than keep, of the data centre with the most voters. It returns
// false if no data centre has more than one.
func (vp voterPlacement) removalCandidate(voters []consensus.Peer, keep consensus.NodeID) (consensus.Peer, bool) {
	counts := vp.counts(voters)
	best, most := consensus.Peer{}, 0
	for _, v := range voters {
		if n := counts[vp.dataCenterOf(v.Address)]; v.ID != keep && n > most {
			best, most = v, n
		}
	}
	return best, most > 1
}

// bestCandidate returns the offered process that should become a voter next: one whose data centre has the
// fewest members.
func (vp voterPlacement) bestCandidate(m consensus.Membership, offers []consensus.Peer) (consensus.Peer, bool) {
	counts := vp.counts(m.All())
	best, found, least := consensus.Peer{}, false, 0
	for _, p := range offers {
		if m.IsVoter(p.ID) || m.IsLearner(p.ID) {
			continue
		}
		if n := counts[vp.dataCenterOf(p.Address)]; !found || n < least {
			best, found, least = p, true, n
		}
	}
	return best, found
}

// warning returns a text if the voters do not tolerate the failures in the settings, else an empty string.
func (vp voterPlacement) warning(voters []consensus.Peer) string {
	if !vp.lossBreaksQuorum(voters) {
		return ""
	}
	return fmt.Sprintf("the loss of %d data centres would take %d of %d voters, and no process elsewhere offers itself", vp.losses, vp.maxLoss(voters), len(voters))
}
