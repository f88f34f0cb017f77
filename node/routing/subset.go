package routing

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/wire"
)

// subset selects size of a service's members for this entry: those in its own data centre
// first, then by rendezvous hash (Thaler and Ravishankar, "A Name-Based Mapping Scheme for
// Rendezvous", 1996). This bounds connections and load estimates, and a change of members
// moves few of them. Size zero selects all.
func subset(members []wire.Member, entry, dataCenter string, size int) []wire.Member {
	if size <= 0 || len(members) <= size {
		return members
	}
	type ranked struct {
		member wire.Member
		near   bool
		weight uint64
	}
	list := make([]ranked, len(members))
	for i, m := range members {
		list[i] = ranked{m, m.DataCenter == dataCenter, xxhash.Sum64String(entry + "\x00" + string(m.ID))}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].near != list[j].near {
			return list[i].near
		}
		return list[i].weight > list[j].weight
	})
	out := make([]wire.Member, size)
	for i := range out {
		out[i] = list[i].member
	}
	return out
}
