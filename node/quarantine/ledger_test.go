package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=1") }

func start(n int) wire.Start {
	return wire.Start{ID: wire.MemberID(fmt.Sprint("i-", n)), Incarnation: 1}
}

// crashOf is the crash of upstream n with the given calls in flight.
func crashOf(n int, calls ...wire.Fingerprint) wire.Crash {
	c := wire.Crash{Upstream: start(n)}
	for _, f := range calls {
		c.Calls = append(c.Calls, wire.CallSummary{Fingerprint: f, Customer: "foundry"})
	}
	return c
}

func answeredCalls(fingerprints ...wire.Fingerprint) []wire.CallSummary {
	return crashOf(0, fingerprints...).Calls
}

func states(l *Ledger) map[wire.Fingerprint]wire.QuarantineState {
	out := map[wire.Fingerprint]wire.QuarantineState{}
	for _, e := range l.Entries() {
		out[e.Call.Fingerprint] = e.State
	}
	return out
}

// TestBarredCalls applies a sequence of reports and checks which calls are barred after it.
func TestBarredCalls(t *testing.T) {
	report := func(crashes ...wire.Crash) wire.CrashReport { return wire.CrashReport{Crashes: crashes} }
	answered := func(f ...wire.Fingerprint) wire.CrashReport { return wire.CrashReport{Answered: answeredCalls(f...)} }
	cases := map[string]struct {
		reports []wire.CrashReport
		barred  []wire.Fingerprint
	}{
		"two crashes":                    {[]wire.CrashReport{report(crashOf(1, "f"), crashOf(2, "f"))}, nil},
		"three crashes":                  {[]wire.CrashReport{report(crashOf(1, "f")), report(crashOf(2, "f")), report(crashOf(3, "f"))}, []wire.Fingerprint{"f"}},
		"one crash reported three times": {[]wire.CrashReport{report(crashOf(1, "f")), report(crashOf(1, "f")), report(crashOf(1, "f"))}, nil},
		"unrelated calls in flight": {[]wire.CrashReport{report(crashOf(1, "f", "g")), report(crashOf(2, "f", "g", "h")), report(crashOf(3, "f", "g"), crashOf(4, "f", "h"))},
			[]wire.Fingerprint{"f"}},
		"two calls with the same three crashes":  {[]wire.CrashReport{report(crashOf(1, "f", "g"), crashOf(2, "f", "g"), crashOf(3, "f", "g"))}, nil},
		"same crashes, then one is answered":     {[]wire.CrashReport{report(crashOf(1, "f", "g"), crashOf(2, "f", "g"), crashOf(3, "f", "g")), answered("g")}, []wire.Fingerprint{"f"}},
		"same crashes, then one crashes another": {[]wire.CrashReport{report(crashOf(1, "f", "g"), crashOf(2, "f", "g"), crashOf(3, "f", "g")), report(crashOf(4, "f"))}, []wire.Fingerprint{"f"}},
		"two calls that always occur together":   {[]wire.CrashReport{report(crashOf(1, "f", "g"), crashOf(2, "f", "g"), crashOf(3, "f", "g"), crashOf(4, "f", "g"), crashOf(5, "f", "g"))}, []wire.Fingerprint{"f", "g"}},
		"a late report makes a bar ambiguous":    {[]wire.CrashReport{report(crashOf(1, "g"), crashOf(2, "g"), crashOf(3, "g")), report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f"))}, nil},
		"unrelated call, also at another crash": {[]wire.CrashReport{report(crashOf(1, "f", "h"), crashOf(2, "f", "h"), crashOf(3, "f")), report(crashOf(9, "h"))},
			[]wire.Fingerprint{"f"}},
		"unrelated call, reported first": {[]wire.CrashReport{report(crashOf(1, "g")), report(crashOf(2, "g")), report(crashOf(3, "g")),
			report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f"), crashOf(4, "f"))}, []wire.Fingerprint{"f"}},
		"two poison calls, once at the same upstream": {[]wire.CrashReport{report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f", "g")),
			report(crashOf(4, "g"), crashOf(5, "g")), report(crashOf(6, "g"))}, []wire.Fingerprint{"f", "g"}},
		"five crashes, three of them explained by another call": {[]wire.CrashReport{report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f")),
			report(crashOf(1, "h"), crashOf(2, "h"), crashOf(3, "h"), crashOf(4, "h"), crashOf(5, "h"))}, []wire.Fingerprint{"h"}},
		"answered between crashes": {[]wire.CrashReport{report(crashOf(1, "f"), crashOf(2, "f")), answered("f"), report(crashOf(3, "f"), crashOf(4, "f"), crashOf(5, "f"))}, nil},
		"answered, then five crashes": {[]wire.CrashReport{answered("f"), report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f"), crashOf(4, "f")), report(crashOf(5, "f"))},
			[]wire.Fingerprint{"f"}},
		"answered repeatedly":                       {[]wire.CrashReport{answered("f"), report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f"), crashOf(4, "f")), answered("f"), report(crashOf(5, "f"))}, nil},
		"in flight beside a call that was answered": {[]wire.CrashReport{answered("g"), report(crashOf(1, "f", "g"), crashOf(2, "f", "g"), crashOf(3, "f", "g"))}, []wire.Fingerprint{"f"}},
		"answered after it was barred":              {[]wire.CrashReport{report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f")), answered("f")}, nil},
		"an unrelated call was answered":            {[]wire.CrashReport{answered("g"), report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f"))}, []wire.Fingerprint{"f"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var l Ledger
			for i, r := range c.reports {
				before := l.Suspects()
				l.Apply(&r, int64(i))
				after := l.Suspects()
				if slices.Equal(before.List, after.List) != (before.Revision == after.Revision) {
					t.Fatalf("revision %d with suspects %v, then revision %d with %v", before.Revision, before.List, after.Revision, after.List)
				}
			}
			var barred []wire.Fingerprint
			for _, s := range l.Suspects().List {
				if s.Barred {
					barred = append(barred, s.Fingerprint)
				}
			}
			if !slices.Equal(barred, c.barred) {
				t.Fatalf("barred: %v, want %v; states: %v", barred, c.barred, states(&l))
			}
		})
	}
}

// TestBarsEnd checks that a bar expires, comes back after one more crash, and can be lifted.
func TestBarsEnd(t *testing.T) {
	keep := recordTTL.Milliseconds()
	var l Ledger
	barF := wire.CrashReport{Crashes: []wire.Crash{crashOf(1, "f", "g"), crashOf(2, "f"), crashOf(3, "f")}}
	l.Apply(&barF, 0)
	l.Expire(keep)
	if got := states(&l)["f"]; got != wire.QuarantineBarred {
		t.Fatalf("state of f is %q, want barred", got)
	}
	l.Expire(keep + 1)
	if s := states(&l); s["f"] != wire.QuarantineSuspected || len(s) != 1 {
		t.Fatalf("states after %v: %v", recordTTL, s)
	}
	l.Apply(&wire.CrashReport{Crashes: []wire.Crash{crashOf(4, "f")}}, keep+2)
	if got := states(&l)["f"]; got != wire.QuarantineBarred {
		t.Fatalf("state of f after another crash is %q, want barred", got)
	}
	if l.Lift("g") || !l.Lift("f") || l.Lift("f") || len(l.Suspects().List) != 0 {
		t.Fatalf("states after the bar was lifted: %v", states(&l))
	}
}

// TestOneCustomerFillsTheLedger reports crashes for more calls of one customer than the ledger holds. The
// record and the bar of another customer's call must not be evicted.
func TestOneCustomerFillsTheLedger(t *testing.T) {
	var l Ledger
	l.Apply(&wire.CrashReport{Crashes: []wire.Crash{crashOf(-1, "f"), crashOf(-2, "f"), crashOf(-3, "f")}}, 0)
	const calls = 2 * maxRecords
	for i := 0; i < calls; {
		var r wire.CrashReport
		for range calls / 16 {
			f := wire.Fingerprint(fmt.Sprint("g", i))
			for crash := range barAfter {
				c := crashOf(barAfter*i+crash, f)
				c.Calls[0].Customer = "harbour"
				r.Crashes = append(r.Crashes, c)
			}
			i++
		}
		l.Apply(&r, int64(i))
	}
	if len(l.Records) > maxRecords || states(&l)["f"] != wire.QuarantineBarred {
		t.Fatalf("%d records, state of f is %q, want barred", len(l.Records), states(&l)["f"])
	}
}

// TestLedgerKeepsItsBounds applies random reports in any order. A call is never barred with fewer than three
// crashes, or fewer than five since it was answered. A call with three crashes that no other call shares is
// always barred, unless it was answered.
func TestLedgerKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		crashes := map[wire.Fingerprint]map[int]bool{}
		since := map[wire.Fingerprint]map[int]bool{} // crashes since the last answer
		cleared := map[wire.Fingerprint]bool{}
		calls := []wire.Fingerprint{"a", "b", "c", "d"}
		for i := range rapid.IntRange(1, 40).Draw(t, "reports") {
			var r wire.CrashReport
			if f := rapid.SampledFrom(calls).Draw(t, "answered"); rapid.IntRange(0, 5).Draw(t, "whether") == 0 {
				r.Answered = answeredCalls(f)
				cleared[f], since[f] = true, nil
			}
			n := rapid.IntRange(1, 12).Draw(t, "upstream")
			on := rapid.SliceOfNDistinct(rapid.SampledFrom(calls), 0, 3, rapid.ID).Draw(t, "calls")
			r.Crashes = append(r.Crashes, crashOf(n, on...))
			for _, f := range on {
				if crashes[f] == nil {
					crashes[f] = map[int]bool{}
				}
				crashes[f][n] = true
				if since[f] == nil {
					since[f] = map[int]bool{}
				}
				since[f][n] = true
			}
			before, known := l.Revision, l.Suspects().List
			l.Apply(&r, int64(i))
			if same := slices.Equal(known, l.Suspects().List); same != (before == l.Revision) {
				t.Fatalf("revision %d, then %d, but same suspects: %v", before, l.Revision, same)
			}
			for f, s := range states(&l) {
				if s == wire.QuarantineBarred && (len(since[f]) < barAfter || cleared[f] && len(since[f]) < barAfterAmbiguous) {
					t.Fatalf("%s is barred: cleared %v, %d crashes", f, cleared[f], len(since[f]))
				}
			}
			for f := range crashes {
				if exclusiveCrashes(f, crashes) >= barAfter && !cleared[f] && states(&l)[f] != wire.QuarantineBarred {
					t.Fatalf("state of %s is %q after crashes %v, want barred", f, states(&l)[f], crashes)
				}
			}
		}
	})
}

// exclusiveCrashes counts the crashes at which no other call was in flight.
func exclusiveCrashes(f wire.Fingerprint, crashes map[wire.Fingerprint]map[int]bool) int {
	n := 0
	for upstream := range crashes[f] {
		shared := false
		for g, other := range crashes {
			shared = shared || g != f && other[upstream]
		}
		if !shared {
			n++
		}
	}
	return n
}

// TestGuard checks calls against the replicated suspects, and against the process's own reports while it has
// no contact with control.
func TestGuard(t *testing.T) {
	call := Call{Customer: "foundry", Method: "POST", Host: "h", Target: "/x", Body: []byte("body")}
	sameShape := call
	sameShape.Body = []byte("ydob")
	sketch := call.Sketch("chat")
	g := NewGuard()
	expect := func(c Call, includeLocal bool, want Status) {
		t.Helper()
		if got, _ := g.Check(c, includeLocal); got != want {
			t.Fatalf("status of %q is %d, want %d", c.Body, got, want)
		}
	}
	expect(call, true, Unsuspected)
	g.Update(wire.Suspects{Revision: 3, List: []wire.Suspect{{Fingerprint: sketch.Fingerprint, Shape: sketch.Shape}}})
	expect(call, false, Suspected)
	expect(sameShape, false, Unsuspected)
	g.Update(wire.Suspects{Revision: 4, List: []wire.Suspect{{Fingerprint: sketch.Fingerprint, Shape: sketch.Shape, Barred: true}}})
	expect(call, false, Barred)
	expect(sameShape, false, Unsuspected)
	g.Update(wire.Suspects{Revision: 5})
	expect(call, false, Unsuspected)
	for i := range barAfterAmbiguous {
		expect(call, true, min(Status(i/suspectAfter), Suspected))
		g.RecordLocal(&wire.CrashReport{Crashes: []wire.Crash{{Upstream: start(i), Calls: []wire.CallSummary{sketch}}}}, time.Unix(1000, 0))
	}
	expect(call, false, Unsuspected)
	expect(call, true, Barred)
	expect(sameShape, true, Unsuspected)
	g.RecordLocal(&wire.CrashReport{Answered: []wire.CallSummary{sketch}}, time.Unix(1001, 0))
	expect(call, true, Unsuspected)
}

// TestEvictionOfManyCrashes reports crashes for more calls than the ledger holds. A suspect must not be evicted, though
// its customer has the most records; calls with a single crash are, oldest first.
func TestEvictionOfManyCrashes(t *testing.T) {
	var l Ledger
	l.Apply(&wire.CrashReport{Crashes: []wire.Crash{crashOf(-1, "f"), crashOf(-2, "f")}}, 0)
	var wave wire.CrashReport
	for i := range 2 * maxRecords {
		wave.Crashes = append(wave.Crashes, crashOf(i, wire.Fingerprint(fmt.Sprint("g", i))))
	}
	l.Apply(&wave, 1)
	l.Apply(&wire.CrashReport{Crashes: []wire.Crash{crashOf(-3, "f")}}, 2)
	if len(l.Records) > maxRecords || states(&l)["f"] != wire.QuarantineBarred {
		t.Fatalf("%d records, state of f is %q, want barred", len(l.Records), states(&l)["f"])
	}
}
