package textdelta

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// historyLength is how many earlier versions a History makes deltas from. A
// version costs the size of its own change.
const historyLength = 4096

// History is an immutable record of a text and of the way back to its earlier
// versions. It is safe for use by many goroutines.
type History struct {
	version uint64
	text    string
	hash    uint64
	ends    []int
	hashes  []uint64
	back    []step // oldest first; step i leads to its version from the one after it

	mu     sync.Mutex
	deltas map[uint64]*wire.ConfigDelta // by base version
}

type step struct {
	version uint64
	hash    uint64 // of the whole text of version
	runs    []run
	hashes  []uint64 // of the literals in runs
}

// NewHistory returns a record that knows no earlier version.
func NewHistory(version uint64, text string) *History {
	h := &History{version: version, text: text, hash: xxhash.Sum64String(text), ends: Ends(text), deltas: map[uint64]*wire.ConfigDelta{}}
	h.hashes = Hashes(text, h.ends)
	return h
}

// Next returns the record after version was accepted. The version must be
// higher than h's; numbers may be left out.
func (h *History) Next(version uint64, text string) *History {
	n := NewHistory(version, text)
	s := step{version: h.version, hash: h.hash, runs: diff(n.hashes, h.hashes)}
	for i, r := range s.runs {
		if r.count == 0 {
			s.hashes = append(s.hashes, h.hashes[r.literal])
			s.runs[i].literal = len(s.hashes) - 1
		}
	}
	kept := h.back
	if len(kept) >= historyLength {
		kept = append([]step(nil), kept[len(kept)-historyLength/2:]...)
	}
	n.back = append(kept[:len(kept):len(kept)], s)
	return n
}

// Text returns the current version.
func (h *History) Text() wire.ConfigText {
	return wire.ConfigText{Version: h.version, Text: h.text, Hash: h.hash}
}

// Delta returns what leads from the version base, whose text has the given
// hash, to the current one. It is nil when that text is not known, or when the
// delta would be no shorter than the text.
func (h *History) Delta(base, hash uint64) *wire.ConfigDelta {
	at, known := slices.BinarySearchFunc(h.back, base, func(s step, v uint64) int { return cmp.Compare(s.version, v) })
	if !known || h.back[at].hash != hash {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	d, made := h.deltas[base]
	if !made {
		d = h.delta(base, at)
		h.deltas[base] = d
	}
	return d
}

// To returns what leads from the current version to text, which is to become the given
// one. It is nil when that would be no shorter than the text.
func (h *History) To(version uint64, text string) *wire.ConfigDelta {
	n := NewHistory(version, text)
	return n.between(h.version, h.hashes)
}

// Apply returns the record after the change that d makes of the current version.
func (h *History) Apply(d *wire.ConfigDelta) (*History, error) {
	if d.Base != h.version {
		return nil, errors.Annotatef(ErrMismatch, "a delta from version %d on top of %d", d.Base, h.version)
	}
	text, _, err := Apply(h.text, h.ends, d)
	if err != nil {
		return nil, err
	}
	return h.Next(d.Version, text), nil
}

const pieceOverhead = 32 // bytes of a piece on the wire besides its text

func (h *History) delta(base uint64, at int) *wire.ConfigDelta {
	hashes := h.hashes
	for i := len(h.back) - 1; i >= at; i-- {
		hashes = h.back[i].undo(hashes)
	}
	return h.between(base, hashes)
}

// between returns what leads from the version base, whose sections have the given
// hashes, to the current one, or nil when that would be no shorter than the text.
func (h *History) between(base uint64, hashes []uint64) *wire.ConfigDelta {
	d := &wire.ConfigDelta{Base: base, Version: h.version, Hash: h.hash}
	for _, r := range diff(hashes, h.hashes) {
		p := wire.TextPiece{From: r.from, Count: r.count}
		if r.count == 0 {
			p.Text = h.text[startOf(h.ends, r.literal):h.ends[r.literal]]
		}
		d.Pieces = append(d.Pieces, p)
	}
	if literalBytes(d)+pieceOverhead*len(d.Pieces) >= len(h.text) {
		return nil
	}
	return d
}

func (s *step) undo(hashes []uint64) []uint64 {
	var out []uint64
	for _, r := range s.runs {
		if r.count == 0 {
			out = append(out, s.hashes[r.literal])
			continue
		}
		out = append(out, hashes[r.from:r.from+r.count]...)
	}
	return out
}
