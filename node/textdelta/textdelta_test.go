package textdelta

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
)

func drawText(t *rapid.T) string {
	var b strings.Builder
	for _, s := range rapid.SliceOfN(rapid.IntRange(0, 12), 0, 24).Draw(t, "sections") {
		fmt.Fprintf(&b, "[customer:%d]\nshare = 1\n", s) // few different names, so that duplicates and moves are common
	}
	if rapid.Bool().Draw(t, "cut") && b.Len() > 0 {
		return b.String()[rapid.IntRange(0, b.Len()-1).Draw(t, "from"):]
	}
	return b.String()
}

// TestDeltaFromEveryVersion checks the deltas between all pairs of versions, for texts with
// duplicate, moved and truncated sections.
func TestDeltaFromEveryVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := []string{drawText(t)}
		h := NewHistory(0, texts[0])
		for v := 1; v <= rapid.IntRange(1, 8).Draw(t, "versions"); v++ {
			texts = append(texts, drawText(t))
			h = h.Next(uint64(v), texts[v])
		}
		want := texts[len(texts)-1]
		for base, text := range texts[:len(texts)-1] {
			d := h.DeltaFrom(uint64(base), xxhash.Sum64String(text))
			if d == nil {
				continue // the delta would not be shorter than the text
			}
			got, ends, err := Apply(text, SectionEnds(text), d)
			if err != nil || got != want {
				t.Fatalf("from version %d: %q, %v; want %q", base, got, err, want)
			}
			if fmt.Sprint(ends) != fmt.Sprint(SectionEnds(want)) {
				t.Fatalf("section ends %v, want %v", ends, SectionEnds(want))
			}
			if h.DeltaFrom(uint64(base), 1) != nil {
				t.Fatal("a delta from a text that was never accepted")
			}
		}
	})
}

// TestSmallChangeCostsItsSize checks that deltas contain only the changed sections, after many
// versions and with changes far apart.
func TestSmallChangeCostsItsSize(t *testing.T) {
	text := func(a, b int) string {
		var s strings.Builder
		for i := range 2000 {
			share := 1
			switch i {
			case 3:
				share = a
			case 1990:
				share = b
			}
			fmt.Fprintf(&s, "[customer:%d]\nshare = %d\n", i, share)
		}
		return s.String()
	}
	h := NewHistory(1, text(1, 1))
	for v := 2; v < 600; v++ {
		h = h.Next(uint64(v), text(v, 2*v))
	}
	d := h.DeltaFrom(1, xxhash.Sum64String(text(1, 1)))
	if d == nil || literalBytes(d) > 80 || len(d.Pieces) != 5 {
		t.Fatalf("delta over 598 versions: %+v", d)
	}
}

func FuzzApply(f *testing.F) {
	f.Add("a\n[b]\n[c]\n", 0, 2, "x")
	f.Add("", 1, -1, "")
	f.Add("[a]", 0, int(^uint(0)>>1), "")
	f.Fuzz(func(t *testing.T, base string, from, count int, text string) {
		d := &wire.ConfigDelta{Pieces: []wire.TextPiece{{From: from, Count: count, Text: text}}}
		if got, _, err := Apply(base, SectionEnds(base), d); err == nil && xxhash.Sum64String(got) != 0 {
			t.Fatal("a text with another hash was accepted")
		}
	})
}
