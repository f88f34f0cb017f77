package optext

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// manyRoutes is a text of n routes, every tenth of which has a stage.
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

// TestNextReadsLikeParse changes a text in many ways: what is read on top of the text
// before is what is read from the start, the configuration before stays as it was, and
// faults name the lines of the whole text.
func TestNextReadsLikeParse(t *testing.T) {
	text := manyRoutes(20)
	for name, next := range map[string]string{
		"nothing":                    text,
		"a route":                    strings.Replace(text, "goal = 1.2s", "goal = 2s", 1),
		"a stage":                    strings.Replace(text, "result_bytes = 8000", "result_bytes = 9000", 1),
		"a stage is gone":            strings.Replace(text, "[route_stage:r00010/0]\nservice = t\nresult_bytes = 8000\n", "", 1),
		"a stage more":               strings.Replace(text, "[route:r00001]", "[route_stage:r00000/1]\nservice = t\n[route:r00001]", 1),
		"limits":                     strings.Replace(text, "16384", "8192", 1),
		"a key":                      strings.Replace(text, "k2", "k3", 1),
		"routes in another order":    text[:strings.Index(text, "[route:")] + "[route:first]\nhost = b\npath_prefix = /\nservice = s\ntimeout = 1s\n" + text[strings.Index(text, "[route:"):],
		"a service that is used":     strings.Replace(text, "[service:t]\nkind = batch\nupstreams = announced\nbatch = 4\ncalls = 1\n", "", 1),
		"a place that is taken":      strings.Replace(text, "/p/00003/", "/p/00002/", 1),
		"an unknown key":             strings.Replace(text, "keys = k1", "kyes = k1", 1),
		"a section twice":            text + "[customer:c]\nshare = 2\n",
		"a value over several lines": text + "[data_center:d]\nregion = \"\"\"x\n[customer:e]\ny\"\"\"\n",
		"nothing but a comment":      "# nothing\n",
	} {
		t.Run(name, func(t *testing.T) {
			before, err := Parse("t", []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			got, gotErr := before.Next("t", next)
			want, wantErr := Parse("t", []byte(next))
			if fmt.Sprint(gotErr) != fmt.Sprint(wantErr) {
				t.Fatalf("got error\n%v\nwant\n%v", gotErr, wantErr)
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("got %+v\nwant %+v", got, want)
			}
			if again, _ := Parse("t", []byte(text)); !reflect.DeepEqual(before, again) {
				t.Fatal("the configuration before has changed")
			}
		})
	}
}

// BenchmarkNext reads a text of 4,200 routes of which one has changed: from the start,
// and on top of the text before.
func BenchmarkNext(b *testing.B) {
	text := manyRoutes(4200)
	before, err := Parse("t", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	next := strings.Replace(text, "goal = 1.2s", "goal = 2s", 1)
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			if _, err := Parse("t", []byte(next)); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("one section", func(b *testing.B) {
		for b.Loop() {
			if _, err := before.Next("t", next); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// TestReadingAllocatesByWhatStands reads texts of many sections, each of which names a few of the many keys that
// it might have. What a section costs depends on the keys that stand in it: a process that starts reads the whole
// text before it serves.
func TestReadingAllocatesByWhatStands(t *testing.T) {
	for _, routes := range []int{300, 3000} {
		text := []byte(manyRoutes(routes))
		lines := bytes.Count(text, []byte("\n"))
		allocations := testing.AllocsPerRun(3, func() {
			if _, err := Parse("text", text); err != nil {
				t.Fatal(err)
			}
		})
		const most = 7 // a line: its key in the INI file, in the index of lines, and its value
		if got := allocations / float64(lines); got > most {
			t.Errorf("%d routes: %.1f allocations a line, more than %d", routes, got, most)
		} else {
			t.Logf("%d routes: %.1f allocations a line", routes, got)
		}
	}
}
