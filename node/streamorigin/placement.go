package streamorigin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/wire"
)

// maxHolders bounds the processes of a large cluster that hold records, and with them the connections between
// processes.
const maxHolders = 32

// Placement says which processes hold the record of a stream. Processes with the same member list agree on it, and
// few records move when a member is added or removed.
type Placement struct {
	holders []wire.Member
}

// NewPlacement returns the placement for the processes of a member list.
func NewPlacement(processes []wire.Member) *Placement {
	all := ranked(0, processes)
	return &Placement{holders: all[:min(len(all), maxHolders)]}
}

// Ranked returns the processes that may hold the record, the preferred ones first. The first of them are in
// different data centres.
func (p *Placement) Ranked(key Key) []wire.Member {
	if p == nil {
		return nil
	}
	h := xxhash.New()
	h.WriteString(key.Customer)
	h.Write([]byte{0})
	h.WriteString(key.Attempt)
	return ranked(h.Sum64(), p.holders)
}

// ranked orders processes by rendezvous hashing within each data centre, and then takes one of each data centre in
// turn.
func ranked(hash uint64, processes []wire.Member) []wire.Member {
	type candidate struct {
		turn   int // rank within its data centre
		index  int // in processes
		weight uint64
	}
	list := make([]candidate, len(processes))
	for i := range processes {
		h := xxhash.NewWithSeed(hash)
		h.WriteString(string(processes[i].ID))
		list[i] = candidate{index: i, weight: h.Sum64()}
	}
	byWeight := func(a, b candidate) int {
		if a.weight != b.weight {
			return cmp.Compare(a.weight, b.weight)
		}
		return cmp.Compare(processes[a.index].ID, processes[b.index].ID)
	}
	slices.SortFunc(list, byWeight)
	turns := map[string]int{}
	for i, c := range list {
		dc := processes[c.index].DataCenter
		list[i].turn = turns[dc]
		turns[dc]++
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.turn, b.turn) })
	out := make([]wire.Member, len(list))
	for i, c := range list {
		out[i] = processes[c.index]
	}
	return out
}
