package textdelta

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// maxHistoryVersions bounds the earlier versions that a History can create deltas from. The
// memory for a version is proportional to the size of its change.
const maxHistoryVersions = 4096

// History is the current version of a text with reverse deltas to its earlier versions. Its
// content is immutable, and it is safe for concurrent use.
type History struct {
	version uint64
	text    string
	hash    uint64
	ends    []int
	hashes  []uint64
	reverse []reverseDelta // ordered by version; each leads from the next version back to its own

	mu     sync.Mutex
	deltas map[uint64]*wire.ConfigDelta // cached deltas, by base version
}

type reverseDelta struct {
	version       uint64
	hash          uint64 // of the whole text of version
	ops           []op
	literalHashes []uint64 // of the sections that ops refer to as literals
}

// NewHistory returns a history without earlier versions.
func NewHistory(version uint64, text string) *History {
	h := &History{version: version, text: text, hash: xxhash.Sum64String(text), ends: SectionEnds(text), deltas: map[uint64]*wire.ConfigDelta{}}
	h.hashes = SectionHashes(text, h.ends)
	return h
}

// Next returns the history after a new version. The version must be higher than h's, but
// need not be the next number.
func (h *History) Next(version uint64, text string) *History {
	n := NewHistory(version, text)
	s := reverseDelta{version: h.version, hash: h.hash, ops: diff(n.hashes, h.hashes)}
	for i, r := range s.ops {
		if r.count == 0 {
			s.literalHashes = append(s.literalHashes, h.hashes[r.literal])
			s.ops[i].literal = len(s.literalHashes) - 1
		}
	}
	kept := h.reverse
	if len(kept) >= maxHistoryVersions {
		kept = append([]reverseDelta(nil), kept[len(kept)-maxHistoryVersions/2:]...)
	}
	n.reverse = append(kept[:len(kept):len(kept)], s)
	return n
}

// Text returns the current version.
func (h *History) Text() wire.ConfigText {
	return wire.ConfigText{Version: h.version, Text: h.text, Hash: h.hash}
}

// DeltaFrom returns the delta from version base, whose text has the given hash, to the current
// version. It returns nil if that text is not in the history, or if the delta would not be
// shorter than the text.
func (h *History) DeltaFrom(base, hash uint64) *wire.ConfigDelta {
	index, known := slices.BinarySearchFunc(h.reverse, base, func(s reverseDelta, v uint64) int { return cmp.Compare(s.version, v) })
	if !known || h.reverse[index].hash != hash {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	d, cached := h.deltas[base]
	if !cached {
		d = h.makeDelta(base, index)
		h.deltas[base] = d
	}
	return d
}

// DeltaTo returns the delta from the current version to the given version and its text. It returns
// nil if the delta would not be shorter than the text.
func (h *History) DeltaTo(version uint64, text string) *wire.ConfigDelta {
	n := NewHistory(version, text)
	return n.between(h.version, h.hashes)
}

// Apply returns the history after applying d to the current version. It returns an
// ErrMismatch if d does not fit.
func (h *History) Apply(d *wire.ConfigDelta) (*History, error) {
	if d.Base != h.version {
		return nil, errors.Annotatef(ErrMismatch, "a delta from version %d applied to version %d", d.Base, h.version)
	}
	text, _, err := Apply(h.text, h.ends, d)
	if err != nil {
		return nil, err
	}
	return h.Next(d.Version, text), nil
}

const pieceOverheadBytes = 32 // per piece on the wire, besides its text

func (h *History) makeDelta(base uint64, at int) *wire.ConfigDelta {
	hashes := h.hashes
	for i := len(h.reverse) - 1; i >= at; i-- {
		hashes = h.reverse[i].apply(hashes)
	}
	return h.between(base, hashes)
}

// between returns the delta from version base, whose sections have the given hashes, to the
// current version. It returns nil if the delta would not be shorter than the text.
func (h *History) between(base uint64, hashes []uint64) *wire.ConfigDelta {
	d := &wire.ConfigDelta{Base: base, Version: h.version, Hash: h.hash}
	for _, r := range diff(hashes, h.hashes) {
		p := wire.TextPiece{From: r.from, Count: r.count}
		if r.count == 0 {
			p.Text = h.text[sectionStart(h.ends, r.literal):h.ends[r.literal]]
		}
		d.Pieces = append(d.Pieces, p)
	}
	if literalBytes(d)+pieceOverheadBytes*len(d.Pieces) >= len(h.text) {
		return nil
	}
	return d
}

func (s *reverseDelta) apply(hashes []uint64) []uint64 {
	var out []uint64
	for _, r := range s.ops {
		if r.count == 0 {
			out = append(out, s.literalHashes[r.literal])
			continue
		}
		out = append(out, hashes[r.from:r.from+r.count]...)
	}
	return out
}
