package control

import (
	"fmt"
	"slices"

	"caperdrum.org/node/consensus"
)

// spread says how voters lie in data centres, of which some may be lost at once: what was
// acknowledged outlives that, and changes go on, while the others hold more than half.
type voterPlacement struct {
	losses       int                         // data centres that may be lost at once
	dataCenterOf func(address string) string // data centre of a process by its peer address; empty: not known
}

// spread reads where processes are from the members.
func (s *Service) placement() voterPlacement {
	by := map[string]string{}
	for _, m := range s.cluster.View().Members {
		if m.Peer != "" {
			by[m.Peer] = m.DataCenter
		}
	}
	return voterPlacement{s.set.Control.DataCenterLosses, func(address string) string { return by[address] }}
}

// counts returns how many of the voters each data centre holds. One whose data centre is not
// known counts as alone in its own.
func (sp voterPlacement) counts(voters []consensus.Peer) map[string]int {
	out := map[string]int{}
	for _, v := range voters {
		dc := sp.dataCenterOf(v.Address)
		if dc == "" {
			dc = "at " + v.Address
		}
		out[dc]++
	}
	return out
}

// worst is how many voters the data centres hold whose loss costs the most.
func (sp voterPlacement) maxLoss(voters []consensus.Peer) int {
	var counts []int
	for _, n := range sp.counts(voters) {
		counts = append(counts, n)
	}
	slices.Sort(counts)
	sum := 0
	for _, n := range counts[max(0, len(counts)-sp.losses):] {
		sum += n
	}
	return sum
}

// crowded reports whether the loss takes half of the voters or more.
func (sp voterPlacement) lossBreaksQuorum(voters []consensus.Peer) bool {
	return sp.losses > 0 && 2*sp.maxLoss(voters) >= len(voters)
}

// improves reports whether the loss takes half of the voters now, and costs less once the
// process votes in the place of one where most do.
func (sp voterPlacement) improves(voters []consensus.Peer, p consensus.Peer) bool {
	if !sp.lossBreaksQuorum(voters) {
		return false
	}
	next := append(slices.Clone(voters), p)
	v, ok := sp.removalCandidate(next, p.ID)
	return ok && sp.maxLoss(without(next, v.ID)) < sp.maxLoss(voters)
}

// surplus returns a voter of the data centre that holds most of them, other than keep.
func (sp voterPlacement) removalCandidate(voters []consensus.Peer, keep consensus.NodeID) (consensus.Peer, bool) {
	counts := sp.counts(voters)
	best, most := consensus.Peer{}, 0
	for _, v := range voters {
		if n := counts[sp.dataCenterOf(v.Address)]; v.ID != keep && n > most {
			best, most = v, n
		}
	}
	return best, most > 1
}

// best returns the process that should vote next: of those that offer themselves, one whose
// data centre has the fewest members.
func (sp voterPlacement) bestCandidate(m consensus.Membership, offers []consensus.Peer) (consensus.Peer, bool) {
	counts := sp.counts(m.All())
	best, found, least := consensus.Peer{}, false, 0
	for _, p := range offers {
		if m.Has(p.ID) || m.HasLearner(p.ID) {
			continue
		}
		if n := counts[sp.dataCenterOf(p.Address)]; !found || n < least {
			best, found, least = p, true, n
		}
	}
	return best, found
}

// warning says that the losses are not borne, where they are not; empty where they are.
func (sp voterPlacement) warning(voters []consensus.Peer) string {
	if !sp.lossBreaksQuorum(voters) {
		return ""
	}
	return fmt.Sprintf("the loss of %d data centres would take %d of %d voters, and no process elsewhere offers itself", sp.losses, sp.maxLoss(voters), len(voters))
}
