package routing

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
)

// filter is what every filter plugin has.
type filter interface {
	keep(e *Endpoint, r *choice) bool
}

const (
	testService = "llm"
	here        = "here"
)

// newTestTable returns a table of n engines of one service.
func newTestTable(n int) (*Service, []*Endpoint) {
	s := NewTable("entry", here)
	sv := &optext.Service{Name: testService, Kind: string(optext.Engine), Ejection: true}
	v := &configsync.View{Config: &optext.Config{Services: map[string]*optext.Service{testService: sv}}, Agents: map[string][]wire.Member{}}
	for i := range n {
		v.Agents[testService] = append(v.Agents[testService], wire.Member{ID: memberID(i), DataCenter: here})
	}
	s.Update(v)
	return s, s.table.Load().byService[testService].endpoints
}

func memberID(i int) wire.MemberID {
	return wire.MemberID("engine-" + string(rune('a'+i/676)) + string(rune('a'+i/26%26)) + string(rune('a'+i%26)))
}

func answer(e *Endpoint, size int, took time.Duration) {
	f := e.Start(size)
	time.Sleep(took)
	f.End(Answered)
}

func fail(e *Endpoint, times int) {
	for range times {
		e.Start(0).End(Failed)
	}
}

// TestFilters has a row per filter: what it drops, and what it keeps.
func TestFilters(t *testing.T) {
	offer := &Offer{Models: []string{"m"}, Adapters: []string{"a"}, Role: "decode"}
	rows := []struct {
		name    string
		prepare func(e *Endpoint)
		request Request
		filter  filter
		keep    bool
	}{
		{"leaving by members", func(e *Endpoint) { e.Member.Leaving = true }, Request{}, leavingFilter{}, false},
		{"leaving by refusal", func(e *Endpoint) { e.Leaves() }, Request{}, leavingFilter{}, false},
		{"not leaving", func(*Endpoint) {}, Request{}, leavingFilter{}, true},
		{"tried", func(*Endpoint) {}, Request{Exclude: map[wire.MemberID]bool{memberID(0): true}}, triedFilter{}, false},
		{"other tried", func(*Endpoint) {}, Request{Exclude: map[wire.MemberID]bool{memberID(1): true}}, triedFilter{}, true},
		{"ejected", func(e *Endpoint) { fail(e, ejectFailures) }, Request{}, ejectedFilter{}, false},
		{"failed less", func(e *Endpoint) { fail(e, ejectFailures-1) }, Request{}, ejectedFilter{}, true},
		{"model offered", func(e *Endpoint) { e.SetOffer(offer) }, Request{Model: "m", Adapter: "a"}, modelFilter{}, true},
		{"model lacking", func(e *Endpoint) { e.SetOffer(offer) }, Request{Model: "x"}, modelFilter{}, false},
		{"adapter lacking", func(e *Endpoint) { e.SetOffer(offer) }, Request{Model: "m", Adapter: "x"}, modelFilter{}, false},
		{"model refused lately", func(e *Endpoint) { e.Lacks("m") }, Request{Model: "m"}, modelFilter{}, false},
		{"other model refused lately", func(e *Endpoint) { e.Lacks("x") }, Request{Model: "m"}, modelFilter{}, true},
		{"role", func(e *Endpoint) { e.SetOffer(offer) }, Request{Role: "decode"}, roleFilter{}, true},
		{"wrong role", func(e *Endpoint) { e.SetOffer(offer) }, Request{Role: "prefill"}, roleFilter{}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, es := newTestTable(4)
				row.prepare(es[0])
				c := &choice{}
				row.request.Now = time.Now()
				c.reset(row.request, s.table.Load().byService[testService])
				if got := row.filter.keep(es[0], c); got != row.keep {
					t.Errorf("keep = %v, want %v", got, row.keep)
				}
			})
		})
	}
}

// TestScores has a row per scorer: the endpoint that must cost less.
func TestScores(t *testing.T) {
	prompt := []byte(strings.Repeat("spec sheet ", 400))
	prefix := PrefixHashes("m", prompt)
	rows := []struct {
		name    string
		prepare func(better, worse *Endpoint)
		scorer  scorer
	}{
		{"faster", func(b, w *Endpoint) { answer(b, 0, 10*time.Millisecond); answer(w, 0, 100*time.Millisecond) }, finishScorer{}},
		{"shorter queue reported", func(b, w *Endpoint) { b.Report(0, 8, 8); w.Report(9, 8, 8) }, finishScorer{}},
		{"fewer in flight", func(_, w *Endpoint) { w.Start(0) }, finishScorer{}},
		{"not silent", func(_, w *Endpoint) { w.Start(0); time.Sleep(time.Second); w.Report(0, 0, 8) }, finishScorer{}},
		{"report faded", func(b, w *Endpoint) { b.Report(4, 8, 8); time.Sleep(reportFades); w.Report(4, 8, 8) }, finishScorer{}},
		{"prefix cached", func(b, _ *Endpoint) { b.Sent(prefix) }, prefixScorer{}},
		{"longer prefix cached", func(b, w *Endpoint) { b.Sent(prefix); w.Sent(prefix[:2]) }, prefixScorer{}},
		{"cache trusted", func(b, w *Endpoint) { b.Sent(prefix); w.Sent(prefix); w.Found(0, 1) }, prefixScorer{}},
		{"cache fresh", func(b, w *Endpoint) { w.Sent(prefix); time.Sleep((prefixFades + 1) * time.Second); b.Sent(prefix) }, prefixScorer{}},
		{"near", func(_, w *Endpoint) { w.Member.DataCenter = "there" }, distanceScorer{here}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, es := newTestTable(2)
				row.prepare(es[1], es[0])
				c := &choice{}
				c.reset(Request{Now: time.Now(), Size: len(prompt), Prefix: prefix}, s.table.Load().byService[testService])
				if better, worse := row.scorer.score(es[1], c), row.scorer.score(es[0], c); better >= worse {
					t.Errorf("costs %g, want less than %g", better, worse)
				}
			})
		})
	}
}

// TestPicks has a row per policy: how many of 300 choices go to the endpoint
// that is ten times slower and has one attempt in flight.
func TestPicks(t *testing.T) {
	for name, allowed := range map[string][2]int{
		policyPredicted: {0, 0}, policyLeastInFlight: {0, 0}, policyRoundRobin: {100, 100}, policyRandom: {60, 140},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, es := newTestTable(3)
				for _, e := range es[1:] {
					answer(e, 0, 10*time.Millisecond)
				}
				answer(es[0], 0, 100*time.Millisecond)
				es[0].Start(0)
				slow := 0
				for range 300 {
					if s.Choose(Request{Service: testService, Policy: name, Now: time.Now()}) == es[0] {
						slow++
					}
				}
				if slow < allowed[0] || slow > allowed[1] {
					t.Errorf("chosen %d times of 300, want %v", slow, allowed)
				}
			})
		})
	}
}

// TestStraggler: an endpoint that becomes ten times slower loses its traffic
// after a few requests, and gets it back some time after it is well again.
func TestStraggler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, es := newTestTable(6)
		times := func(slow time.Duration, requests int) int {
			n := 0
			for range requests {
				e := s.Choose(Request{Service: testService, Now: time.Now()})
				took := 20 * time.Millisecond
				if e == es[2] {
					took = slow
					n++
				}
				answer(e, 0, took)
			}
			return n
		}
		times(20*time.Millisecond, 600)
		if n := times(200*time.Millisecond, 300); n > 3 {
			t.Errorf("%d of 300 requests went to the straggler", n)
		}
		time.Sleep(time.Minute)
		if n := times(20*time.Millisecond, 600); n < 60 {
			t.Errorf("only %d of 600 requests went to it once it was well", n)
		}
	})
}

// TestEjection: never more than a third of a service is ejected, one request
// probes, and a failed probe doubles the time out.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, es := newTestTable(7)
		for _, e := range es {
			fail(e, ejectFailures+2)
		}
		out := 0
		for _, e := range es {
			if e.Ejected(time.Now()) {
				out++
			}
		}
		if out != 2 {
			t.Errorf("%d of 7 ejected, want 2", out)
		}
		time.Sleep(ejectTime)
		probe := es[0].Start(0)
		if !es[0].Ejected(time.Now()) {
			t.Error("a second request may go along with the probe")
		}
		probe.End(Failed)
		time.Sleep(ejectTime)
		if !es[0].Ejected(time.Now()) {
			t.Error("a failed probe did not double the time")
		}
		time.Sleep(ejectTime)
		es[0].Start(0).End(Answered)
		if es[0].Ejected(time.Now()) {
			t.Error("still out after a good probe")
		}
		exclude := map[wire.MemberID]bool{}
		for _, e := range es {
			if e != es[1] {
				exclude[e.Member.ID] = true
			}
		}
		fail(es[1], 1)
		if s.Choose(Request{Service: testService, Now: time.Now(), Exclude: exclude}) != es[1] {
			t.Error("the last endpoint must be tried even when it is ejected")
		}
	})
}

// TestSubset: the same members for the same entry, near ones first, and few
// that change with a member.
func TestSubset(t *testing.T) {
	var members []wire.Member
	for i := range 100 {
		m := wire.Member{ID: memberID(i), DataCenter: "there"}
		if i%10 == 0 {
			m.DataCenter = here
		}
		members = append(members, m)
	}
	first := subset(members, "entry", here, 20)
	kept := map[wire.MemberID]bool{}
	near := 0
	for _, m := range first {
		kept[m.ID] = true
		if m.DataCenter == here {
			near++
		}
	}
	if len(first) != 20 || near != 10 {
		t.Errorf("%d members, %d near; want 20 and 10", len(first), near)
	}
	moved := 0
	for _, m := range subset(append(members[:50:50], members[51:]...), "entry", here, 20) {
		if !kept[m.ID] {
			moved++
		}
	}
	if moved > 1 {
		t.Errorf("%d members moved after one left", moved)
	}
}

// TestPrefixIndexIsBounded: of far more blocks than fit the latest are found,
// and no endpoint is credited with blocks that it was never sent.
func TestPrefixIndexIsBounded(t *testing.T) {
	x := &prefixIndex{}
	prompt := func(i int) []uint64 {
		return PrefixHashes("m", []byte(strings.Repeat(string(rune('a'+i%26))+memberString(i), 400)))
	}
	const prompts = 20_000
	for i := range prompts {
		x.add(prompt(i), uint16(1+i%4), uint16(i/1000))
	}
	found := 0
	for i := prompts - 1000; i < prompts; i++ {
		for _, h := range x.holders(prompt(i), prompts/1000, nil) {
			if h.endpoint != uint16(1+i%4) {
				t.Fatalf("prompt %d: endpoint %d is credited", i, h.endpoint)
			}
			found++
		}
	}
	if found < 990 {
		t.Errorf("%d of the latest 1000 prompts are found", found)
	}
}

func memberString(i int) string { return string(memberID(i%17576)) + string(rune('a'+i/17576)) }
