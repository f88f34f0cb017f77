package control

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/settings"
)

// minShareOfLargest is the part of the largest reported CPU share from which on a process without the control role can
// handle the load of a stage owner. Where the largest share was 0.512 of a core, an owner with 0.352 kept up with
// bursts and one with 0.144 fell behind.
const minShareOfLargest = 0.5

// nextOwner returns the process that becomes the stage owner. Only processes that accept jobs and are not leaving are
// candidates. Among them it prefers, in this order, one that
//   - has not failed as owner recently (avoided),
//   - can handle the load,
//   - is not lost together with the control processes: none of the others can assign the next owner then,
//   - is not the leader, so that one loss does not take both,
//   - has renewed its lease (heard).
//
// A hash decides among equals.
func nextOwner(members map[wire.MemberID]wire.Member, leader wire.MemberID, avoided func(wire.MemberID) bool, heard func(wire.Member) bool) (wire.Member, bool) {
	largest := largestShare(members)
	var best wire.Member
	bestRank, found := uint64(0), false
	for id, m := range members {
		if m.Peer == "" || m.Leaving {
			continue
		}
		control := hasControlRole(m)
		suffices := sufficientShare(m, largest)
		rank := xxhash.Sum64String(string(id)) >> 5
		for i, preferred := range [...]bool{heard(m), id != leader, suffices && !control, suffices || control, !avoided(id)} {
			if preferred {
				rank |= 1 << (59 + i)
			}
		}
		if !found || rank > bestRank {
			best, bestRank, found = m, rank, true
		}
	}
	return best, found
}

// largestShare returns the largest CPU share that a member reports that is not leaving, in millicores; 0 if none does.
func largestShare(members map[wire.MemberID]wire.Member) int {
	largest := 0
	for _, m := range members {
		if !m.Leaving {
			largest = max(largest, m.Millicores)
		}
	}
	return largest
}

// sufficientShare reports whether the member's CPU share is known and large enough for the load of a stage owner.
func sufficientShare(m wire.Member, largest int) bool {
	return m.Millicores > 0 && float64(m.Millicores) >= minShareOfLargest*float64(largest)
}

func hasControlRole(m wire.Member) bool { return strings.Contains(m.Role, string(settings.Control)) }
