package stagework

import (
	"hash/fnv"
	"strings"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/settings"
)

// ownerOf returns the process that owns the queues of all stage upstreams: the
// first by a hash among the proxies that also play control, which have the
// larger VMs, or else among all proxies. Processes whose views differ for a
// moment may use two owners; that costs calls that are filled less, no more.
func ownerOf(members map[wire.MemberID]wire.Member, avoid func(wire.MemberID) bool) (owner wire.Member, ok bool) {
	best := uint64(0)
	bestControl := false
	for id, m := range members {
		if m.Peer == "" || m.Leaving || avoid(id) {
			continue
		}
		onControl := strings.Contains(m.Role, string(settings.Control))
		rank := hashOf(id)
		if ok && (bestControl && !onControl || bestControl == onControl && rank <= best) {
			continue
		}
		owner, best, bestControl, ok = m, rank, onControl, true
	}
	return owner, ok
}

func hashOf(id wire.MemberID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}
