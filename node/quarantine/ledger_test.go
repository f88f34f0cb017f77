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

// crashOf is the end of an upstream with the calls that it had.
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

// TestWhoIsBarred tells reports one after the other and looks at what the ledger holds then.
func TestWhoIsBarred(t *testing.T) {
	report := func(crashes ...wire.Crash) wire.CrashReport { return wire.CrashReport{Crashes: crashes} }
	answered := func(f ...wire.Fingerprint) wire.CrashReport { return wire.CrashReport{Answered: answeredCalls(f...)} }
	cases := map[string]struct {
		reports []wire.CrashReport
		barred  []wire.Fingerprint
	}{
		"two ends":                          {[]wire.CrashReport{report(crashOf(1, "f"), crashOf(2, "f"))}, nil},
		"three":                             {[]wire.CrashReport{report(crashOf(1, "f")), report(crashOf(2, "f")), report(crashOf(3, "f"))}, []wire.Fingerprint{"f"}},
		"one end that is reported by three": {[]wire.CrashReport{report(crashOf(1, "f")), report(crashOf(1, "f")), report(crashOf(1, "f"))}, nil},
		"calls that were beside it": {[]wire.CrashReport{report(crashOf(1, "f", "g")), report(crashOf(2, "f", "g", "h")), report(crashOf(3, "f", "g"), crashOf(4, "f", "h"))},
			[]wire.Fingerprint{"f"}},
		"two that were on the same three": {[]wire.CrashReport{report(crashOf(1, "f", "g"), crashOf(2, "f", "g"), crashOf(3, "f", "g"))}, nil},
		"then one of them is answered":    {[]wire.CrashReport{report(crashOf(1, "f", "g"), crashOf(2, "f", "g"), crashOf(3, "f", "g")), answered("g")}, []wire.Fingerprint{"f"}},
		"then one ends another":           {[]wire.CrashReport{report(crashOf(1, "f", "g"), crashOf(2, "f", "g"), crashOf(3, "f", "g")), report(crashOf(4, "f"))}, []wire.Fingerprint{"f"}},
		"two that always come together":   {[]wire.CrashReport{report(crashOf(1, "f", "g"), crashOf(2, "f", "g"), crashOf(3, "f", "g"), crashOf(4, "f", "g"), crashOf(5, "f", "g"))}, []wire.Fingerprint{"f", "g"}},
		"a late report covers a bar":      {[]wire.CrashReport{report(crashOf(1, "g"), crashOf(2, "g"), crashOf(3, "g")), report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f"))}, nil},
		"one that was beside it, and on another end": {[]wire.CrashReport{report(crashOf(1, "f", "h"), crashOf(2, "f", "h"), crashOf(3, "f")), report(crashOf(9, "h"))},
			[]wire.Fingerprint{"f"}},
		"one that was beside it, reported first": {[]wire.CrashReport{report(crashOf(1, "g")), report(crashOf(2, "g")), report(crashOf(3, "g")),
			report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f"), crashOf(4, "f"))}, []wire.Fingerprint{"f"}},
		"two that end upstreams, on some together": {[]wire.CrashReport{report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f", "g")),
			report(crashOf(4, "g"), crashOf(5, "g")), report(crashOf(6, "g"))}, []wire.Fingerprint{"f", "g"}},
		"one that was on others' ends five times": {[]wire.CrashReport{report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f")),
			report(crashOf(1, "h"), crashOf(2, "h"), crashOf(3, "h"), crashOf(4, "h"), crashOf(5, "h"))}, []wire.Fingerprint{"h"}},
		"answered between ends": {[]wire.CrashReport{report(crashOf(1, "f"), crashOf(2, "f")), answered("f"), report(crashOf(3, "f"), crashOf(4, "f"), crashOf(5, "f"))}, nil},
		"answered, and five ends after it": {[]wire.CrashReport{answered("f"), report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f"), crashOf(4, "f")), report(crashOf(5, "f"))},
			[]wire.Fingerprint{"f"}},
		"answered on and on":          {[]wire.CrashReport{answered("f"), report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f"), crashOf(4, "f")), answered("f"), report(crashOf(5, "f"))}, nil},
		"beside one that is answered": {[]wire.CrashReport{answered("g"), report(crashOf(1, "f", "g"), crashOf(2, "f", "g"), crashOf(3, "f", "g"))}, []wire.Fingerprint{"f"}},
		"answered once it is barred":  {[]wire.CrashReport{report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f")), answered("f")}, nil},
		"another was answered":        {[]wire.CrashReport{answered("g"), report(crashOf(1, "f"), crashOf(2, "f"), crashOf(3, "f"))}, []wire.Fingerprint{"f"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var l Ledger
			for i, r := range c.reports {
				before := l.Suspects()
				l.Take(&r, int64(i))
				after := l.Suspects()
				if slices.Equal(before.List, after.List) != (before.Revision == after.Revision) {
					t.Fatalf("revision %d with %v, then %d with %v", before.Revision, before.List, after.Revision, after.List)
				}
			}
			var barred []wire.Fingerprint
			for _, s := range l.Suspects().List {
				if s.Barred {
					barred = append(barred, s.Fingerprint)
				}
			}
			if !slices.Equal(barred, c.barred) {
				t.Fatalf("barred are %v, want %v; %v", barred, c.barred, states(&l))
			}
		})
	}
}

// TestBarsEnd lets time pass, and an operator lift a bar.
func TestBarsEnd(t *testing.T) {
	keep := keepTime.Milliseconds()
	var l Ledger
	barF := wire.CrashReport{Crashes: []wire.Crash{crashOf(1, "f", "g"), crashOf(2, "f"), crashOf(3, "f")}}
	l.Take(&barF, 0)
	l.Expire(keep)
	if got := states(&l)["f"]; got != wire.QuarantineBarred {
		t.Fatalf("f is %q", got)
	}
	l.Expire(keep + 1)
	if s := states(&l); s["f"] != wire.QuarantineSuspected || len(s) != 1 {
		t.Fatalf("after %v: %v", keepTime, s)
	}
	l.Take(&wire.CrashReport{Crashes: []wire.Crash{crashOf(4, "f")}}, keep+2)
	if got := states(&l)["f"]; got != wire.QuarantineBarred {
		t.Fatalf("f has ended one more and is %q", got)
	}
	if l.Lift("g") || !l.Lift("f") || l.Lift("f") || len(l.Suspects().List) != 0 {
		t.Fatalf("lifted: %v", states(&l))
	}
}

// TestOneCustomerFillsTheLedger sends ever new calls that end upstreams. What another customer's call is
// accused of, and its bar, stay.
func TestOneCustomerFillsTheLedger(t *testing.T) {
	var l Ledger
	l.Take(&wire.CrashReport{Crashes: []wire.Crash{crashOf(-1, "f"), crashOf(-2, "f"), crashOf(-3, "f")}}, 0)
	const calls = 2 * maxRecords
	for i := 0; i < calls; {
		var r wire.CrashReport
		for range calls / 16 {
			f := wire.Fingerprint(fmt.Sprint("g", i))
			for end := range barAfter {
				c := crashOf(barAfter*i+end, f)
				c.Calls[0].Customer = "harbour"
				r.Crashes = append(r.Crashes, c)
			}
			i++
		}
		l.Take(&r, int64(i))
	}
	if len(l.Records) > maxRecords || states(&l)["f"] != wire.QuarantineBarred {
		t.Fatalf("%d records, f is %q", len(l.Records), states(&l)["f"])
	}
}

// TestLedgerKeepsItsBounds draws reports. No order of them bars a call under which fewer than three upstreams
// ended, or fewer than five since it was answered; every call with three ends that no other call shares is barred, unless it
// was answered.
func TestLedgerKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		ends := map[wire.Fingerprint]map[int]bool{}
		since := map[wire.Fingerprint]map[int]bool{} // the last answer
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
				if ends[f] == nil {
					ends[f] = map[int]bool{}
				}
				ends[f][n] = true
				if since[f] == nil {
					since[f] = map[int]bool{}
				}
				since[f][n] = true
			}
			before, known := l.Revision, l.Suspects().List
			l.Take(&r, int64(i))
			if same := slices.Equal(known, l.Suspects().List); same != (before == l.Revision) {
				t.Fatalf("revision %d and then %d, the same suspects: %v", before, l.Revision, same)
			}
			for f, s := range states(&l) {
				if s == wire.QuarantineBarred && (len(since[f]) < barAfter || cleared[f] && len(since[f]) < barDespite) {
					t.Fatalf("%s is barred: cleared %v, %d ends", f, cleared[f], len(since[f]))
				}
			}
			for f := range ends {
				if alone(f, ends) >= barAfter && !cleared[f] && states(&l)[f] != wire.QuarantineBarred {
					t.Fatalf("%s is %q after ends %v", f, states(&l)[f], ends)
				}
			}
		}
	})
}

// alone counts the ends under the call that no other was on.
func alone(f wire.Fingerprint, ends map[wire.Fingerprint]map[int]bool) int {
	n := 0
	for upstream := range ends[f] {
		shared := false
		for g, other := range ends {
			shared = shared || g != f && other[upstream]
		}
		if !shared {
			n++
		}
	}
	return n
}

// TestGuard follows what a quorum holds, and what a process that does not reach it has seen itself.
func TestGuard(t *testing.T) {
	call := Call{Customer: "foundry", Method: "POST", Host: "h", Target: "/x", Body: []byte("body")}
	sameShape := call
	sameShape.Body = []byte("ydob")
	sketch := call.Sketch("chat")
	g := NewGuard()
	expect := func(c Call, withOwn bool, want Standing) {
		t.Helper()
		if got, _ := g.Check(c, withOwn); got != want {
			t.Fatalf("%q stands as %d, want %d", c.Body, got, want)
		}
	}
	expect(call, true, Unsuspected)
	g.Follow(wire.Suspects{Revision: 3, List: []wire.Suspect{{Fingerprint: sketch.Fingerprint, Shape: sketch.Shape}}})
	expect(call, false, Suspected)
	expect(sameShape, false, Unsuspected)
	g.Follow(wire.Suspects{Revision: 4, List: []wire.Suspect{{Fingerprint: sketch.Fingerprint, Shape: sketch.Shape, Barred: true}}})
	expect(call, false, Barred)
	expect(sameShape, false, Unsuspected)
	g.Follow(wire.Suspects{Revision: 5})
	expect(call, false, Unsuspected)
	for i := range barDespite {
		expect(call, true, min(Standing(i/tellFrom), Suspected))
		g.Seen(&wire.CrashReport{Crashes: []wire.Crash{{Upstream: start(i), Calls: []wire.CallSummary{sketch}}}}, time.Unix(1000, 0))
	}
	expect(call, false, Unsuspected)
	expect(call, true, Barred)
	expect(sameShape, true, Unsuspected)
	g.Seen(&wire.CrashReport{Answered: []wire.CallSummary{sketch}}, time.Unix(1001, 0))
	expect(call, true, Unsuspected)
}

// TestWaveOfEnds has more calls on upstreams that end than the ledger holds. A suspect of a customer with many of
// them stays; of the others the oldest go.
func TestWaveOfEnds(t *testing.T) {
	var l Ledger
	l.Take(&wire.CrashReport{Crashes: []wire.Crash{crashOf(-1, "f"), crashOf(-2, "f")}}, 0)
	var wave wire.CrashReport
	for i := range 2 * maxRecords {
		wave.Crashes = append(wave.Crashes, crashOf(i, wire.Fingerprint(fmt.Sprint("g", i))))
	}
	l.Take(&wave, 1)
	l.Take(&wire.CrashReport{Crashes: []wire.Crash{crashOf(-3, "f")}}, 2)
	if len(l.Records) > maxRecords || states(&l)["f"] != wire.QuarantineBarred {
		t.Fatalf("%d records, f is %q", len(l.Records), states(&l)["f"])
	}
}
