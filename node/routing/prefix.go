package routing

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	prefixBlockBytes = 256 // bytes of the messages per block
	maxPrefixBlocks  = 128
	slotsPerBucket   = 8       // one cache line
	prefixBuckets    = 1 << 14 // 131072 blocks, 1 MB per service
	prefixTTL        = 600     // seconds after which a block is assumed to be evicted
	maxHolders       = 8       // endpoints with a cached prefix that one choice considers
)

// PrefixHashes returns the chained hashes of a prompt's blocks, seeded with the model:
// equal hashes at a position mean equal prefixes up to there. A trailing partial block is
// left out.
func PrefixHashes(model string, messages []byte) []uint64 {
	n := min(len(messages)/prefixBlockBytes, maxPrefixBlocks)
	out := make([]uint64, n)
	h := xxhash.Sum64String(model)
	var d xxhash.Digest
	var seed [8]byte
	for i := range out {
		binary.LittleEndian.PutUint64(seed[:], h)
		d.Reset()
		d.Write(seed[:])
		d.Write(messages[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		h = d.Sum64()
		out[i] = h
	}
	return out
}

// prefixIndex is a bounded estimate of which endpoint has which prompt blocks cached,
// learned from what this entry sent. It is a set-associative table of atomic words, so
// that readers and writers need no lock; a lost update costs no more than a wrong
// estimate.
//
// A word holds 32 bits of the block's hash, the endpoint's 16-bit index and the time of
// the last use in seconds modulo 2^16.
type prefixIndex struct {
	buckets [prefixBuckets][slotsPerBucket]atomic.Uint64
}

func packEntry(hash uint64, endpoint uint16, second uint16) uint64 {
	return (hash>>32|1)<<32 | uint64(endpoint)<<16 | uint64(second)
}

func (x *prefixIndex) bucket(hash uint64) *[slotsPerBucket]atomic.Uint64 {
	return &x.buckets[hash%prefixBuckets]
}

// add records that the endpoint has the blocks. Second is the time in seconds and may
// wrap around. The oldest entry of a full bucket is replaced.
func (x *prefixIndex) add(hashes []uint64, endpoint uint16, second uint16) {
	for _, h := range hashes {
		w := packEntry(h, endpoint, second)
		b := x.bucket(h)
		victim, oldest := 0, -1
		for i := range b {
			v := b[i].Load()
			if v>>16 == w>>16 || v == 0 {
				victim = i
				break
			}
			if age := int(second - uint16(v)); age > oldest {
				victim, oldest = i, age
			}
		}
		b[victim].Store(w)
	}
}

// known reports whether any endpoint has the block.
func (x *prefixIndex) known(hash uint64, second uint16) bool {
	tag := hash>>32 | 1
	b := x.bucket(hash)
	for i := range b {
		if v := b[i].Load(); v>>32 == tag && second-uint16(v) < prefixTTL {
			return true
		}
	}
	return false
}

// holder is an endpoint that has the first blocks of a prompt cached.
type holder struct {
	endpoint uint16
	blocks   int
	isHome   bool // the endpoint is a home in the ring: this entry did not send the prefix there, but others may have
}

// holders appends to out the endpoints with the longest cached prefixes, longest first.
// Hashes are chained, so the longest known prefix is found by binary search. Below it
// only positions at one half, one quarter and so on are looked up, so a shorter prefix
// may be credited with less than it has.
func (x *prefixIndex) holders(hashes []uint64, second uint16, out []holder) []holder {
	low, high := 0, len(hashes)
	for low < high {
		mid := (low + high) / 2
		if x.known(hashes[mid], second) {
			low = mid + 1
		} else {
			high = mid
		}
	}
	for i := low - 1; i >= 0 && len(out) < maxHolders; i = (i+1)/2 - 1 {
		tag := hashes[i]>>32 | 1
		b := x.bucket(hashes[i])
		for j := range b {
			v := b[j].Load()
			if v>>32 == tag && second-uint16(v) < prefixTTL {
				out = appendHolder(out, holder{endpoint: uint16(v >> 16), blocks: i + 1})
			}
		}
	}
	return out
}

func appendHolder(out []holder, h holder) []holder {
	for _, other := range out {
		if other.endpoint == h.endpoint {
			return out
		}
	}
	if len(out) == maxHolders {
		return out
	}
	return append(out, h)
}
