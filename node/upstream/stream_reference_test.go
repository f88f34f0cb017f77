package upstream

import (
	"strings"
	"testing"
)

// TestParseStreamReference parses values of the header that names the attempt that began a stream. A value that is no
// id names none: what it might have meant is not guessed.
func TestParseStreamReference(t *testing.T) {
	named := func(id string) StreamReference { return StreamReference{Attempt: id} }
	long := strings.Repeat("a", maxAttemptIDBytes)
	for _, x := range []struct {
		values []string
		want   StreamReference
	}{
		{nil, StreamReference{}},
		{[]string{""}, StreamReference{}},
		{[]string{" ", ""}, StreamReference{}},
		{[]string{"ab7313417920fb8e"}, named("ab7313417920fb8e")},
		{[]string{" a1 "}, named("a1")},
		{[]string{"a1", "a1"}, named("a1")},
		{[]string{"a1, a1"}, named("a1")},
		{[]string{"a1", ""}, named("a1")},
		{[]string{long}, named(long)},
		{[]string{"a1", "b2"}, StreamReference{Invalid: `["a1" "b2"]`}},
		{[]string{"a1,b2"}, StreamReference{Invalid: `["a1,b2"]`}},
		{[]string{"a 1"}, StreamReference{Invalid: `["a 1"]`}},
		{[]string{"a\t1"}, StreamReference{Invalid: `["a\t1"]`}},
		{[]string{"é"}, StreamReference{Invalid: `["é"]`}},
		{[]string{long + "a"}, StreamReference{Invalid: `["` + long + `"]`}},
		{[]string{strings.Repeat("b", 5000), "c", "d"}, StreamReference{Invalid: `["` + strings.Repeat("b", maxAttemptIDBytes) + `" "c"]`}},
	} {
		if got := ParseStreamReference(x.values); got != x.want {
			t.Errorf("%.20q: %+v, want %+v", x.values, got, x.want)
		}
	}
}
