package optext

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// manyRoutes returns a text with n routes, every tenth of which has a stage.
func manyRoutes(n int) string {
	var b strings.Builder
	b.WriteString("[service:s]\nkind = plain\nupstreams = announced\n[service:t]\nkind = batch\nupstreams = announced\nbatch = 4\ncalls = 1\n")
	for i := range n {
		fmt.Fprintf(&b, "[route:r%05d]\nhost = a.example\npath_prefix = /p/%05d/\nservice = s\ntimeout = 12s\ngoal = 1.2s\nstreaming = true\nattempts = 1\n", i, i)
		if i%10 == 0 {
			fmt.Fprintf(&b, "[route_stage:r%05d/0]\nservice = t\nresult_bytes = 8000\n", i)
		}
	}
	b.WriteString("[customer:c]\nkeys = k1, k2\n[limits:callers]\nmax_header_bytes = 16384\n")
	return b.String()
}

// TestParseIncrementalMatchesParse checks for many kinds of change that ParseIncremental and Parse return the same
// configuration or the same errors, with line numbers of the whole text, and that
// ParseIncremental does not modify the previous configuration.
func TestParseIncrementalMatchesParse(t *testing.T) {
	text := manyRoutes(20)
	for name, next := range map[string]string{
		"nothing":                          text,
		"a route":                          strings.Replace(text, "goal = 1.2s", "goal = 2s", 1),
		"a stage":                          strings.Replace(text, "result_bytes = 8000", "result_bytes = 9000", 1),
		"a removed stage":                  strings.Replace(text, "[route_stage:r00010/0]\nservice = t\nresult_bytes = 8000\n", "", 1),
		"an added stage":                   strings.Replace(text, "[route:r00001]", "[route_stage:r00000/1]\nservice = t\n[route:r00001]", 1),
		"limits":                           strings.Replace(text, "16384", "8192", 1),
		"the last key":                     strings.Replace(text, "keys = k1, k2\n", "", 1),
		"the last customer":                strings.Replace(text, "[customer:c]\nkeys = k1, k2\n", "[authentication:callers]\nrequired = true\n", 1),
		"keys without effect":              text + "[authentication:callers]\nrequired = false\n",
		"a key":                            strings.Replace(text, "k2", "k3", 1),
		"routes in another order":          text[:strings.Index(text, "[route:")] + "[route:first]\nhost = b\npath_prefix = /\nservice = s\ntimeout = 1s\n" + text[strings.Index(text, "[route:"):],
		"a removed service that is in use": strings.Replace(text, "[service:t]\nkind = batch\nupstreams = announced\nbatch = 4\ncalls = 1\n", "", 1),
		"a duplicate host and path":        strings.Replace(text, "/p/00003/", "/p/00002/", 1),
		"an unknown key":                   strings.Replace(text, "keys = k1", "kyes = k1", 1),
		"a duplicate section":              text + "[customer:c]\nshare = 2\n",
		"a value that spans lines":         text + "[data_center:d]\nregion = \"\"\"x\n[customer:e]\ny\"\"\"\n",
		"nothing but a comment":            "# nothing\n",
	} {
		t.Run(name, func(t *testing.T) {
			before, err := Parse("t", []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			got, gotErr := before.ParseIncremental("t", next)
			want, wantErr := Parse("t", []byte(next))
			if fmt.Sprint(gotErr) != fmt.Sprint(wantErr) {
				t.Fatalf("got error\n%v\nwant\n%v", gotErr, wantErr)
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("got %+v\nwant %+v", got, want)
			}
			if again, _ := Parse("t", []byte(text)); !reflect.DeepEqual(before, again) {
				t.Fatal("ParseIncremental modified the previous configuration")
			}
		})
	}
}

// BenchmarkParseIncremental compares Parse with ParseIncremental on a text of 4,200 routes of which one has changed.
func BenchmarkParseIncremental(b *testing.B) {
	text := manyRoutes(4200)
	before, err := Parse("t", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	next := strings.Replace(text, "goal = 1.2s", "goal = 2s", 1)
	b.Run("full", func(b *testing.B) {
		for b.Loop() {
			if _, err := Parse("t", []byte(next)); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("incremental", func(b *testing.B) {
		for b.Loop() {
			if _, err := before.ParseIncremental("t", next); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// TestParseAllocationsPerLine checks that the cost of parsing a section depends on the keys present in it, not
// on the many keys it could have: a starting process parses the whole text before it serves calls.
func TestParseAllocationsPerLine(t *testing.T) {
	for _, routes := range []int{300, 3000} {
		text := []byte(manyRoutes(routes))
		lines := bytes.Count(text, []byte("\n"))
		allocations := testing.AllocsPerRun(3, func() {
			if _, err := Parse("text", text); err != nil {
				t.Fatal(err)
			}
		})
		const maxPerLine = 7 // for each line: the key in the INI file, the key in the line index, and the value
		if got := allocations / float64(lines); got > maxPerLine {
			t.Errorf("%d routes: %.1f allocations per line, more than %d", routes, got, maxPerLine)
		} else {
			t.Logf("%d routes: %.1f allocations per line", routes, got)
		}
	}
}
