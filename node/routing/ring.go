package routing

import (
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// ring assigns every prompt prefix a home endpoint by consistent hashing (Karger et al.,
// 1997), so that entries send the same prefix to the same cache without coordination.
type ring []ringPoint

type ringPoint struct {
	hash     uint64
	endpoint *Endpoint
}

const (
	totalRingPoints = 4096 // approximate total, so that even a few endpoints get even shares
	minPointsEach   = 8
)

func newRing(endpoints []*Endpoint) ring {
	each := max(totalRingPoints/max(len(endpoints), 1), minPointsEach)
	r := make(ring, 0, len(endpoints)*each)
	for _, e := range endpoints {
		h := xxhash.Sum64String(string(e.Member.ID))
		for range each {
			r = append(r, ringPoint{h, e})
			h = xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, h))
		}
	}
	slices.SortFunc(r, func(a, b ringPoint) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	return r
}

func (r ring) home(hash uint64) *Endpoint {
	i := sort.Search(len(r), func(i int) bool { return r[i].hash >= hash })
	if i == len(r) {
		i = 0
	}
	return r[i].endpoint
}

// homes appends the home endpoints of the prefixes whose length is a power of two and
// greater than half of the longest known one, longest first. Homes as long as a known
// holder are listed too: one answer from elsewhere must not keep this entry there while
// the other entries go to the home. Powers of two are used because a later turn of a chat
// is longer than an earlier one, but shares the lengths below it.
func (r ring) homes(prefix []uint64, known int, out []holder) []holder {
	if len(r) == 0 {
		return out
	}
	n := 1
	for 2*n <= len(prefix) {
		n *= 2
	}
	for ; 2*n > known && len(out) < cap(out); n /= 2 {
		out = appendHolder(out, holder{r.home(prefix[n-1]).index, n, true})
	}
	return out
}
