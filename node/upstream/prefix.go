package upstream

import (
	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/wire"
)

// PrefixHash hashes the parts of a prompt that other calls may share: all but the last. It is zero if there
// are none.
func PrefixHash(parts []PromptPart) uint64 {
	if len(parts) < 2 {
		return 0
	}
	h := xxhash.New()
	for _, p := range parts[:len(parts)-1] {
		h.WriteString(p.ID)
		h.Write([]byte{0})
	}
	return max(h.Sum64(), 1)
}

// RendezvousWeight is the weight of an upstream for a hash in rendezvous hashing: the lowest weight is selected, and
// when an upstream leaves, only its own hashes move.
func RendezvousWeight(hash uint64, id wire.MemberID) uint64 {
	h := xxhash.NewWithSeed(hash)
	h.WriteString(string(id))
	return h.Sum64()
}

// SelectByPrefix returns the member with the lowest weight for the shared parts of a prompt.
func SelectByPrefix(parts []PromptPart, members []wire.Member) (first wire.Member, found bool) {
	hash := PrefixHash(parts)
	var least uint64
	for _, m := range members {
		if w := RendezvousWeight(hash, m.ID); !found || w < least {
			first, least, found = m, w, true
		}
	}
	return first, found
}
