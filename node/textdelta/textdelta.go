// Package textdelta carries a long text of sections as the difference to an
// earlier one. Sections are compared by the hash of their content (xxhash64),
// and the result is checked against the hash of the whole text.
package textdelta

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// Ends returns the byte offsets at which the sections of text end. A section
// starts at each line whose first character, blanks aside, is a bracket; what
// stands before the first one is a section too. Joined in order, the sections
// are the text.
func Ends(text string) []int {
	var ends []int
	for at := 0; at < len(text); {
		n := strings.IndexByte(text[at:], '\n')
		if n < 0 {
			break
		}
		at += n + 1
		if strings.HasPrefix(strings.TrimLeft(text[at:], " \t"), "[") {
			ends = append(ends, at)
		}
	}
	if len(text) > 0 {
		ends = append(ends, len(text))
	}
	return ends
}

// Hashes returns the content hash of each section.
func Hashes(text string, ends []int) []uint64 {
	out := make([]uint64, len(ends))
	start := 0
	for i, end := range ends {
		out[i] = xxhash.Sum64String(text[start:end])
		start = end
	}
	return out
}

// run copies Count sections of the base from From on, or, when Count is zero,
// stands for the section at index Literal of the new text.
type run struct {
	from, count, literal int
}

// diff describes the sections next by those of base.
func diff(base, next []uint64) []run {
	head := 0
	for head < min(len(base), len(next)) && base[head] == next[head] {
		head++
	}
	tail := 0
	for tail < min(len(base), len(next))-head && base[len(base)-1-tail] == next[len(next)-1-tail] {
		tail++
	}
	var runs []run
	runs = appendCopy(runs, 0, head)
	where := make(map[uint64]int, len(base)-head-tail)
	for i := len(base) - tail - 1; i >= head; i-- {
		where[base[i]] = i
	}
	expect := head // copying goes on where the last copy ended, if it can
	for i := head; i < len(next)-tail; i++ {
		at, known := where[next[i]]
		if expect < len(base) && base[expect] == next[i] {
			at, known = expect, true
		}
		if !known {
			runs = append(runs, run{literal: i})
			continue
		}
		runs = appendCopy(runs, at, 1)
		expect = at + 1
	}
	return appendCopy(runs, len(base)-tail, tail)
}

func appendCopy(runs []run, from, count int) []run {
	if count == 0 {
		return runs
	}
	if n := len(runs); n > 0 {
		last := &runs[n-1]
		if last.count > 0 && last.from+last.count == from {
			last.count += count
			return runs
		}
	}
	return append(runs, run{from: from, count: count})
}

// ErrMismatch says that a delta does not fit the text it is applied to.
var ErrMismatch = errors.New("textdelta: the delta does not fit the text held")

// Apply returns the text that d makes of base, whose sections end at ends, and
// where the sections of the result end.
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
		start := startOf(ends, p.From)
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

func startOf(ends []int, section int) int {
	if section == 0 {
		return 0
	}
	return ends[section-1]
}
