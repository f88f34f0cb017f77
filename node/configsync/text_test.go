package configsync

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/textdelta"
)

var sectionForms = []string{
	"[customer:%d]\nshare = %d\n",
	"  [customer:%d]\nshare = %d\n# a comment\n",
	"[ customer:%d ]\nshare = %d\n",
	"\t[customer:%d ]\n\n rate = %d\n",
	"[data_center:d%d]\nregion = r%d\n",
	"[service:s%d]\nkind = plain\nconcurrency = %d\n",
	"[pipeline:p%[1]d]\ndeadline = %[2]ds\n[stage:p%[1]d/a]\nservice = s0\n[stage:p%[1]d/b]\nservice = s0\n",
	"[pipeline:p%[1]d]\ndeadline = %[2]ds\n[stage:p%[1]d/b]\nservice = s0\n[stage:p%[1]d/a]\nservice = s0\n",
	"[data_center:d%[1]d]\nregion = \"\"\"x\n[customer:%[1]d]\ny%[2]d\"\"\"\n",
	"[data_center:d%[1]d]\nregion = `x\n[customer:%[1]d]\ny%[2]d`\n",
}

func drawValidText(t *rapid.T) string {
	var sections []string
	sections = append(sections, "[service:s0]\nkind = plain\n")
	for range rapid.IntRange(0, 10).Draw(t, "n") {
		form := rapid.SampledFrom(sectionForms).Draw(t, "form")
		sections = append(sections, fmt.Sprintf(form, rapid.IntRange(1, 6).Draw(t, "name"), rapid.IntRange(1, 3).Draw(t, "value")))
	}
	return "# operators' text\n" + strings.Join(rapid.Permutation(sections).Draw(t, "order"), "")
}

// TestDeltaParsesLikeTheWholeText compares incremental parsing with parsing the complete text, for a sequence
// of valid texts.
func TestDeltaParsesLikeTheWholeText(t *testing.T) {
	texts := rapid.Custom(drawValidText).Filter(func(s string) bool {
		_, err := optext.Parse("t", []byte(s))
		return err == nil
	})
	deltas := 0
	rapid.Check(t, func(t *rapid.T) {
		history := textdelta.NewHistory(0, "")
		v := emptyView()
		for n := uint64(1); n < 6; n++ {
			text := texts.Draw(t, "text")
			history = history.Next(n, text)
			whole := history.Text()
			err := v.applyText(&whole)
			if d := history.DeltaFrom(v.Version, v.Hash); n > 1 && d != nil {
				t.Fatal("a delta from the current version")
			}
			if err != nil {
				t.Fatal(err)
			}
			next := texts.Draw(t, "next")
			history = history.Next(n+1, next)
			d := &wire.ConfigDelta{Base: n, Version: n + 1, Hash: xxhash.Sum64String(next)}
			if made := history.DeltaFrom(n, v.Hash); made != nil {
				d = made
				deltas++
			} else { // use a delta even where History would not
				d.Pieces = pieces(next)
			}
			if err := v.applyDelta(d); err != nil {
				t.Fatalf("%v\n%s", err, next)
			}
			n++
			want, _ := optext.Parse("t", []byte(next))
			if v.Text != next || !reflect.DeepEqual(v.Config, want) {
				t.Fatalf("from\n%s\nto\n%s\ngot %+v\nwant %+v", text, next, v.Config, want)
			}
		}
	})
	if deltas == 0 {
		t.Fatal("no delta was made")
	}
}

func pieces(text string) []wire.TextPiece {
	var out []wire.TextPiece
	start := 0
	for _, end := range textdelta.SectionEnds(text) {
		out = append(out, wire.TextPiece{Text: text[start:end]})
		start = end
	}
	return out
}
