// Package textdelta transfers a long text of sections as a delta from an earlier version.
// Sections are compared by the hash of their content (xxhash64), and the result is
// verified against the hash of the whole text.
package textdelta

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// SectionEnds returns the byte offsets of the ends of the text's sections. A section starts at each
// line whose first non-blank character is a bracket; the lines before the first one
// are a section too. The concatenated sections are the text.
func SectionEnds(text string) []int {
	var ends []int
	for pos := 0; pos < len(text); {
		n := strings.IndexByte(text[pos:], '\n')
		if n < 0 {
			break
		}
		pos += n + 1
		if strings.HasPrefix(strings.TrimLeft(text[pos:], " \t"), "[") {
			ends = append(ends, pos)
		}
	}
	if len(text) > 0 {
		ends = append(ends, len(text))
	}
	return ends
}

// SectionHashes returns the content hash of each section.
func SectionHashes(text string, ends []int) []uint64 {
	out := make([]uint64, len(ends))
	start := 0
	for i, end := range ends {
		out[i] = xxhash.Sum64String(text[start:end])
		start = end
	}
	return out
}

// op copies count sections of the base, starting with section from. If count is zero, it
// stands for the section at index literal of the new text.
type op struct {
	from, count, literal int
}

// diff returns the operations that create the sections next from those of base.
func diff(base, next []uint64) []op {
	head := 0
	for head < min(len(base), len(next)) && base[head] == next[head] {
		head++
	}
	tail := 0
	for tail < min(len(base), len(next))-head && base[len(base)-1-tail] == next[len(next)-1-tail] {
		tail++
	}
	var ops []op
	ops = appendCopy(ops, 0, head)
	indexByHash := make(map[uint64]int, len(base)-head-tail)
	for i := len(base) - tail - 1; i >= head; i-- {
		indexByHash[base[i]] = i
	}
	nextCopy := head // prefer to continue the previous copy, which keeps the number of operations low
	for i := head; i < len(next)-tail; i++ {
		index, known := indexByHash[next[i]]
		if nextCopy < len(base) && base[nextCopy] == next[i] {
			index, known = nextCopy, true
		}
		if !known {
			ops = append(ops, op{literal: i})
			continue
		}
		ops = appendCopy(ops, index, 1)
		nextCopy = index + 1
	}
	return appendCopy(ops, len(base)-tail, tail)
}

func appendCopy(ops []op, from, count int) []op {
	if count == 0 {
		return ops
	}
	if n := len(ops); n > 0 {
		last := &ops[n-1]
		if last.count > 0 && last.from+last.count == from {
			last.count += count
			return ops
		}
	}
	return append(ops, op{from: from, count: count})
}

// ErrMismatch means that a delta cannot be applied to the given text.
var ErrMismatch = errors.New("textdelta: the delta does not fit the text held")

// Apply applies d to base, whose sections end at ends. It returns the new text and its
// section ends, or ErrMismatch.
func Apply(base string, ends []int, d *wire.ConfigDelta) (string, []int, error) {
	var b strings.Builder
	b.Grow(len(base) + literalBytes(d))
	out := make([]int, 0, len(ends)+len(d.Pieces))
	for _, p := range d.Pieces {
		if p.Count == 0 {
			b.WriteString(p.Text)
			out = append(out, b.Len())
			continue
		}
		if p.From < 0 || p.Count < 0 || p.From > len(ends) || p.Count > len(ends)-p.From {
			return "", nil, ErrMismatch
		}
		start := sectionStart(ends, p.From)
		shift := b.Len() - start
		b.WriteString(base[start:ends[p.From+p.Count-1]])
		for _, end := range ends[p.From : p.From+p.Count] {
			out = append(out, end+shift)
		}
	}
	text := b.String()
	if xxhash.Sum64String(text) != d.Hash {
		return "", nil, ErrMismatch
	}
	return text, out, nil
}

func literalBytes(d *wire.ConfigDelta) int {
	n := 0
	for _, p := range d.Pieces {
		n += len(p.Text)
	}
	return n
}

func sectionStart(ends []int, section int) int {
	if section == 0 {
		return 0
	}
	return ends[section-1]
}
