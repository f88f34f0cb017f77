package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"caperdrum.org/api/wire"
)

// afterProbation is a time in milliseconds at which suspects of time zero may be barred.
var afterProbation = probation.Milliseconds()

// partCrash is the crash of upstream n under a call whose prompt has the given parts.
func partCrash(n int, call string, parts ...string) wire.Crash {
	c := wire.Crash{Upstream: start(n)}
	for _, id := range parts {
		c.Calls = append(c.Calls, wire.CallSummary{Kind: wire.SuspectPart, Fingerprint: wire.Fingerprint(id), Part: id, Customer: "foundry", Accuser: wire.Fingerprint(call)})
	}
	return c
}

func partsAnswered(parts ...string) wire.CrashReport {
	return wire.CrashReport{Answered: partCrash(0, "", parts...).Calls}
}

// TestBarredParts applies a sequence of reports, the last one after the probation, and checks which parts are barred, and
// which jointly with others, after it.
func TestBarredParts(t *testing.T) {
	report := func(crashes ...wire.Crash) wire.CrashReport { return wire.CrashReport{Crashes: crashes} }
	different := func(first, n int, parts ...string) (out []wire.Crash) { // crashes under calls that differ
		for i := range n {
			out = append(out, partCrash(first+i, fmt.Sprint("call ", first+i), parts...))
		}
		return out
	}
	again := func(n int) wire.CrashReport { return report(crashOf(n, "unrelated")) } // makes the ledger decide again
	cases := map[string]struct {
		reports       []wire.CrashReport
		barred, joint []wire.Fingerprint
	}{
		"two crashes":                        {[]wire.CrashReport{report(different(1, 2, "p")...), again(90)}, nil, nil},
		"three crashes":                      {[]wire.CrashReport{report(different(1, 3, "p")...), again(90)}, []wire.Fingerprint{"p"}, nil},
		"copies of one call":                 {[]wire.CrashReport{report(partCrash(1, "c", "p"), partCrash(2, "c", "p"), partCrash(3, "c", "p"), partCrash(4, "c", "p"), partCrash(5, "c", "p")), again(90)}, nil, nil},
		"copies of two calls":                {[]wire.CrashReport{report(partCrash(1, "c", "p"), partCrash(2, "c", "p"), partCrash(3, "d", "p"), partCrash(4, "d", "p")), again(90)}, []wire.Fingerprint{"p"}, nil},
		"answered in probation":              {[]wire.CrashReport{report(different(1, 5, "p", "q")...), partsAnswered("q"), again(90)}, []wire.Fingerprint{"p"}, nil},
		"always together":                    {[]wire.CrashReport{report(different(1, 5, "p", "q")...), again(90)}, nil, []wire.Fingerprint{"p", "q"}},
		"once apart":                         {[]wire.CrashReport{report(different(1, 4, "p", "q")...), report(different(5, 4, "p")...), again(90)}, []wire.Fingerprint{"p"}, []wire.Fingerprint{"q"}},
		"together, one answered":             {[]wire.CrashReport{report(different(1, 5, "p", "q")...), partsAnswered("p"), again(90)}, []wire.Fingerprint{"q"}, nil},
		"answered, three crashes of its own": {[]wire.CrashReport{partsAnswered("p"), report(different(1, 4, "p")...), again(90)}, nil, nil},
		"answered, five crashes of its own":  {[]wire.CrashReport{partsAnswered("p"), report(different(1, 5, "p")...), again(90)}, []wire.Fingerprint{"p"}, nil},
		"answered, beside one that was not":  {[]wire.CrashReport{partsAnswered("p"), report(different(1, 9, "p", "q")...), again(90)}, []wire.Fingerprint{"q"}, nil},
		"two, each beside a third one": {[]wire.CrashReport{report(different(1, 4, "p", "x")...), report(different(11, 4, "q", "x")...), partsAnswered("x"), again(90)},
			[]wire.Fingerprint{"p", "q"}, nil},
		"many weak ones beside it": {[]wire.CrashReport{report(slices.Concat(different(1, 2, "p", "s1"), different(3, 2, "p", "s2"), different(5, 2, "p", "s3"), different(7, 2, "p", "s4"),
			different(9, 2, "p", "s5"))...), again(90)}, []wire.Fingerprint{"p"}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var l Ledger
			var change wire.QuarantineChange
			for i, r := range c.reports {
				now := int64(0)
				if i == len(c.reports)-1 {
					now = afterProbation
				}
				change = l.Apply(&r, now)
			}
			if len(change.Barred) != len(c.barred) || len(change.Joint) != len(c.joint) {
				t.Errorf("the last report says %d barred and %d joint", len(change.Barred), len(change.Joint))
			}
			var barred, joint []wire.Fingerprint
			for _, s := range l.Suspects().List {
				if s.Kind != wire.SuspectPart {
					t.Errorf("%q is not a part", s.Fingerprint)
				}
				if s.Barred {
					barred = append(barred, s.Fingerprint)
				}
				if s.Joint {
					joint = append(joint, s.Fingerprint)
				}
			}
			if !slices.Equal(barred, c.barred) || !slices.Equal(joint, c.joint) {
				t.Fatalf("barred: %v, want %v; joint: %v, want %v; states: %v", barred, c.barred, joint, c.joint, states(&l))
			}
		})
	}
}

// TestPartsAreNotBarredOnProbation reports more crashes than bar a part, all at once: sound calls may have the part, and
// their answers need some time to be reported.
func TestPartsAreNotBarredOnProbation(t *testing.T) {
	var l Ledger
	for i := range 12 {
		l.Apply(&wire.CrashReport{Crashes: []wire.Crash{partCrash(i, fmt.Sprint(i), "p")}}, int64(i))
	}
	if s := l.Suspects().List; len(s) != 1 || s[0].Barred || s[0].Joint {
		t.Fatalf("after 12 ms: %+v", s)
	}
	l.Apply(&wire.CrashReport{Crashes: []wire.Crash{partCrash(12, "12", "p")}}, afterProbation+1)
	if s := l.Suspects().List; len(s) != 1 || !s[0].Barred {
		t.Fatalf("after the probation: %+v", s)
	}
}

// TestSoundCallsBesideAPoisonPart has one call in flight at three crashes under a part of other calls: the part explains
// them.
func TestSoundCallsBesideAPoisonPart(t *testing.T) {
	var l Ledger
	for i := range 4 {
		c := partCrash(i, fmt.Sprint(i), "p")
		c.Calls = append(c.Calls, crashOf(i, "sound").Calls...)
		l.Apply(&wire.CrashReport{Crashes: []wire.Crash{c}}, int64(i)*afterProbation)
	}
	if s := states(&l); s["p"] != wire.QuarantineBarred || s["sound"] != wire.QuarantineSuspected {
		t.Fatalf("states: %v", s)
	}
}

// TestPartsOfOneCallDoNotExcuseIt guards against a fatal call that is not barred since its copies accuse a part of its own
// prompt.
func TestPartsOfOneCallDoNotExcuseIt(t *testing.T) {
	var l Ledger
	for i := range barAfter {
		c := partCrash(i, "f", "session")
		c.Calls = append(c.Calls, crashOf(i, "f").Calls...)
		if i == 0 {
			c.Calls = append(c.Calls, partCrash(0, "other", "session").Calls...)
		}
		l.Apply(&wire.CrashReport{Crashes: []wire.Crash{c}}, int64(i)*afterProbation)
	}
	if s := states(&l); s["f"] != wire.QuarantineBarred || s["session"] == wire.QuarantineBarred {
		t.Fatalf("states: %v", s)
	}
}

// TestManyPartsDisplaceNoSuspect accuses a thousand new parts in each crash, of another customer and of the same one: the
// part that is in flight in all of them must be found, and calls must stay barred.
func TestManyPartsDisplaceNoSuspect(t *testing.T) {
	for _, customer := range []string{"harbour", "foundry"} {
		var l Ledger
		l.Apply(&wire.CrashReport{Crashes: []wire.Crash{crashOf(-1, "f"), crashOf(-2, "f"), crashOf(-3, "f"), crashOf(-4, "g")}}, 0)
		for crash := range 5 {
			c := partCrash(crash, fmt.Sprint(crash), "p")
			for i := range 1000 {
				c.Calls = append(c.Calls, wire.CallSummary{Kind: wire.SuspectPart, Fingerprint: wire.Fingerprint(fmt.Sprint("n", crash, "/", i)), Customer: customer, Accuser: wire.Fingerprint(fmt.Sprint(crash))})
			}
			l.Apply(&wire.CrashReport{Crashes: []wire.Crash{c}}, int64(crash)*afterProbation)
		}
		if s := states(&l); s["p"] != wire.QuarantineBarred || s["f"] != wire.QuarantineBarred || s["g"] != wire.QuarantineSuspected {
			t.Errorf("%s: state of the part %q, of the calls %q and %q", customer, s["p"], s["f"], s["g"])
		}
		if n := len(l.Records); n > maxRecords+maxPartRecords {
			t.Errorf("%s: %d records", customer, n)
		}
	}
}

// TestBarOfAPartEnds checks that a bar of a part expires like that of a call, and comes back after one more crash.
func TestBarOfAPartEnds(t *testing.T) {
	var l Ledger
	for i := range barAfter {
		l.Apply(&wire.CrashReport{Crashes: []wire.Crash{partCrash(i, fmt.Sprint(i), "p")}}, int64(i)*afterProbation)
	}
	end := int64(barAfter-1)*afterProbation + recordTTL.Milliseconds() + 1
	l.Expire(end)
	if s := states(&l); s["p"] != wire.QuarantineSuspected {
		t.Fatalf("states after %v: %v", recordTTL, s)
	}
	l.Apply(&wire.CrashReport{Crashes: []wire.Crash{partCrash(9, "9", "p")}}, end+1)
	if s := states(&l); s["p"] != wire.QuarantineBarred {
		t.Fatalf("states after another crash: %v", s)
	}
}

// TestLedgerWithoutPartsIsRead reads a ledger that was stored before parts were suspects.
func TestLedgerWithoutPartsIsRead(t *testing.T) {
	type record struct {
		Call struct {
			Fingerprint wire.Fingerprint `json:"fingerprint"`
			Shape       uint64           `json:"shape"`
			Customer    string           `json:"customer,omitempty"`
			Route       string           `json:"route"`
			Bytes       int              `json:"bytes"`
		} `cbor:"1,keyasint"`
		Starts []wire.Start `cbor:"2,keyasint"`
		Barred bool         `cbor:"3,keyasint,omitempty"`
		Since  int64        `cbor:"5,keyasint"`
		At     int64        `cbor:"6,keyasint"`
	}
	type ledger struct {
		Revision uint64                      `cbor:"1,keyasint"`
		Records  map[wire.Fingerprint]record `cbor:"2,keyasint,omitempty"`
	}
	old := record{Starts: []wire.Start{start(1), start(2), start(3)}, Barred: true, Since: 1, At: 2}
	old.Call.Fingerprint, old.Call.Shape, old.Call.Route = "f", 7, "chat"
	data, err := cbor.Marshal(ledger{3, map[wire.Fingerprint]record{"f": old}})
	if err != nil {
		t.Fatal(err)
	}
	var l Ledger
	if err := cbor.Unmarshal(data, &l); err != nil {
		t.Fatal(err)
	}
	if s := l.Suspects(); s.Revision != 3 || len(s.List) != 1 || !s.List[0].Barred || s.List[0].Shape != 7 || s.List[0].Kind != wire.SuspectCall {
		t.Fatalf("%+v", s)
	}
}

// TestEvidenceOfParts checks what a process reports of the parts of an interrupted call.
func TestEvidenceOfParts(t *testing.T) {
	now := time.Unix(1000, 0)
	call := func(parts ...string) Call {
		return Call{Customer: "foundry", Body: []byte(fmt.Sprint(parts)), Service: "llm", Parts: parts}
	}
	accused := func(r *wire.CrashReport) (out []string) {
		for _, crash := range r.Crashes {
			for _, c := range crash.Calls {
				if c.Kind == wire.SuspectPart {
					out = append(out, c.Part)
				}
			}
		}
		return out
	}
	e := NewEvidence(NewGuard())
	e.Answered(call("shared", "old"), "chat", now.Add(-time.Minute))
	e.Begun(call("shared"), "chat", now.Add(-time.Second))
	interrupted := InterruptedCall{Call: call("shared", "old", "new"), Route: "chat", Upstream: wire.Member{ID: "i-1", Incarnation: 1}}
	r := e.Crashed(interrupted, now)
	if got := accused(r); !slices.Equal(got, []string{"old", "new"}) {
		t.Errorf("accused: %v, want the parts that were not answered lately", got)
	}
	if len(r.Answered) != 1 || r.Answered[0].Part != "old" {
		t.Errorf("answered before: %+v", r.Answered)
	}
	if r = e.Crashed(interrupted, now); len(r.Answered) != 0 {
		t.Errorf("an answer counts twice: %+v", r.Answered)
	}
	interrupted.Running = answerStart
	if got := accused(e.Crashed(interrupted, now)); len(got) != 0 {
		t.Errorf("accused by a call that had begun: %v", got)
	}
	if partFingerprint("llm", "a") == partFingerprint("other", "a") || partFingerprint("llm", "a") == partFingerprint("llm", "b") {
		t.Error("parts of different services or ids have the same fingerprint")
	}
}

// TestGuardOfParts checks which calls are refused for the parts of their prompts.
func TestGuardOfParts(t *testing.T) {
	suspect := func(id string, barred, joint bool) wire.Suspect {
		return wire.Suspect{Kind: wire.SuspectPart, Fingerprint: partFingerprint("llm", id), Barred: barred, Joint: joint}
	}
	g := NewGuard()
	g.Update(wire.Suspects{Revision: 1, List: []wire.Suspect{suspect("suspected", false, false), suspect("barred", true, false), suspect("j1", false, true), suspect("j2", false, true)}})
	for _, c := range []struct {
		service string
		parts   []string
		want    Status
	}{
		{"llm", []string{"sound", "other"}, Unsuspected},
		{"llm", []string{"sound", "suspected"}, Suspected},
		{"llm", []string{"sound", "suspected", "barred"}, Barred},
		{"other", []string{"barred"}, Unsuspected},
		{"llm", []string{"j1", "sound"}, Suspected},
		{"llm", []string{"j2", "sound"}, Suspected},
		{"llm", []string{"j1", "sound", "j2"}, Barred},
		{"llm", nil, Unsuspected},
	} {
		if got, f := g.Check(Call{Customer: "any", Service: c.service, Parts: c.parts}, false); got != c.want || (f == "") != (got == Unsuspected) {
			t.Errorf("%s %v: status %d of %q, want %d", c.service, c.parts, got, f, c.want)
		}
	}
	if g.Empty() {
		t.Error("a guard of parts is empty")
	}
}

// TestTrialsOfBarredParts offers calls with a barred part to every process all the time, with clocks that differ: each
// trial is taken once over all processes.
func TestTrialsOfBarredParts(t *testing.T) {
	since := time.Unix(1000, 0)
	for _, n := range []int{1, 8, 360} {
		var ids []string
		processes := map[string]*Trials{}
		for i := range n {
			id := fmt.Sprint("p", i)
			ids, processes[id] = append(ids, id), NewTrials()
		}
		taken := 0
		for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
			for i, id := range ids {
				now := since.Add(at + time.Duration(i%7-3)*time.Second)
				if processes[id].Take("p", since, now, id, ids) {
					taken++
					if at == 0 && now.Before(since.Add(trialTimes[0].from)) {
						t.Errorf("a trial right after the bar")
					}
				}
			}
		}
		if taken != len(trialTimes) {
			t.Errorf("%d processes: %d trials, want %d", n, taken, len(trialTimes))
		}
	}
}

// TestOnlyBarredPart checks for which calls a barred part may be tried.
func TestOnlyBarredPart(t *testing.T) {
	g := NewGuard()
	g.Update(wire.Suspects{Revision: 1, List: []wire.Suspect{{Kind: wire.SuspectPart, Fingerprint: partFingerprint("llm", "barred"), Barred: true, Since: 5000},
		{Kind: wire.SuspectPart, Fingerprint: partFingerprint("llm", "suspected")}, {Kind: wire.SuspectPart, Fingerprint: partFingerprint("llm", "other"), Barred: true}}})
	for parts, want := range map[string]bool{"sound barred": true, "barred suspected": false, "barred other": false, "suspected": false, "sound": false} {
		part, since, found := g.OnlyBarredPart(Call{Service: "llm", Parts: strings.Fields(parts)})
		if found != want || found && (part != partFingerprint("llm", "barred") || since != time.UnixMilli(5000)) {
			t.Errorf("%q: %q since %v, %v", parts, part, since, found)
		}
	}
}

// TestOnlyCommonPartsAreTried checks that a barred part is tried only if many calls have it: a bar of any other refuses
// few sound calls, and a trial may crash an upstream.
func TestOnlyCommonPartsAreTried(t *testing.T) {
	e := NewEvidence(NewGuard())
	for i := range 2 * recentCalls {
		parts := []string{"shared"}
		if i%8 == 0 {
			parts = append(parts, "rare")
		}
		e.Seen(Call{Service: "llm", Parts: parts})
		if early := e.IsCommon(partFingerprint("llm", "shared")); early != (i+1 >= minRecentCalls) {
			t.Fatalf("common after %d calls: %v", i+1, early)
		}
	}
	e.Seen(Call{Service: "llm"})
	if e.IsCommon(partFingerprint("llm", "rare")) || e.IsCommon(partFingerprint("other", "shared")) || !e.IsCommon(partFingerprint("llm", "shared")) {
		t.Error("one call in eight makes a part common, or another service does, or all calls do not")
	}
	for range recentCalls {
		e.Seen(Call{Service: "llm", Parts: []string{"new"}})
	}
	if e.IsCommon(partFingerprint("llm", "shared")) {
		t.Error("a part is common that no recent call has")
	}
}

// BenchmarkUsualCall measures what a call with a prompt of four parts costs while nothing is suspected.
func BenchmarkUsualCall(b *testing.B) {
	g := NewGuard()
	e := NewEvidence(g)
	now := time.Unix(1000, 0)
	calls := make([]Call, 64)
	for i := range calls {
		calls[i] = Call{Customer: "foundry", Method: "POST", Host: "h", Target: "/x", Body: make([]byte, 1000), Service: "llm",
			Parts: []string{"shared", fmt.Sprint("route ", i%4), fmt.Sprint("session ", i%32)}}
	}
	b.ReportAllocs()
	for i := range b.N {
		c := calls[i%len(calls)]
		e.Seen(c)
		g.Check(c, true)
		e.Begun(c, "chat", now)
		e.Answered(c, "chat", now)
	}
}
