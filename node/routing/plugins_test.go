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

// filter is the interface of all filter plugins.
type filter interface {
	keep(e *Endpoint, r *choice) bool
}

const (
	testService = "llm"
	here        = "here"
)

// newTestTable returns a table with one service of n engines.
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

// TestFilters checks for each filter what it drops and what it keeps.
func TestFilters(t *testing.T) {
	offer := &Offer{Models: []string{"m"}, Adapters: []string{"a"}, Role: "decode"}
	rows := []struct {
		name    string
		prepare func(e *Endpoint)
		request Request
		filter  filter
		keep    bool
	}{
		{"leaving in the member list", func(e *Endpoint) { e.Member.Leaving = true }, Request{}, leavingFilter{}, false},
		{"leaving after a refusal", func(e *Endpoint) { e.SetLeaving() }, Request{}, leavingFilter{}, false},
		{"not leaving", func(*Endpoint) {}, Request{}, leavingFilter{}, true},
		{"tried", func(*Endpoint) {}, Request{Exclude: map[wire.MemberID]bool{memberID(0): true}}, triedFilter{}, false},
		{"other tried", func(*Endpoint) {}, Request{Exclude: map[wire.MemberID]bool{memberID(1): true}}, triedFilter{}, true},
		{"ejected", func(e *Endpoint) { fail(e, failuresToEject) }, Request{}, ejectedFilter{}, false},
		{"too few failures", func(e *Endpoint) { fail(e, failuresToEject-1) }, Request{}, ejectedFilter{}, true},
		{"model offered", func(e *Endpoint) { e.SetOffer(offer) }, Request{Model: "m", Adapter: "a"}, modelFilter{}, true},
		{"model missing", func(e *Endpoint) { e.SetOffer(offer) }, Request{Model: "x"}, modelFilter{}, false},
		{"adapter missing", func(e *Endpoint) { e.SetOffer(offer) }, Request{Model: "m", Adapter: "x"}, modelFilter{}, false},
		{"model refused recently", func(e *Endpoint) { e.SetModelMissing("m") }, Request{Model: "m"}, modelFilter{}, false},
		{"other model refused recently", func(e *Endpoint) { e.SetModelMissing("x") }, Request{Model: "m"}, modelFilter{}, true},
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

// TestScores checks for each scorer which of two endpoints costs less.
func TestScores(t *testing.T) {
	prompt := []byte(strings.Repeat("spec sheet ", 400))
	prefix := PrefixHashes("m", prompt)
	rows := []struct {
		name    string
		prepare func(better, worse *Endpoint)
		scorer  scorer
	}{
		{"faster", func(b, w *Endpoint) { answer(b, 0, 10*time.Millisecond); answer(w, 0, 100*time.Millisecond) }, latencyScorer{}},
		{"shorter queue reported", func(b, w *Endpoint) { b.Report(0, 8, 8); w.Report(9, 8, 8) }, latencyScorer{}},
		{"fewer in flight", func(_, w *Endpoint) { w.Start(0) }, latencyScorer{}},
		{"not stalled", func(_, w *Endpoint) { w.Start(0); time.Sleep(time.Second); w.Report(0, 0, 8) }, latencyScorer{}},
		{"report expired", func(b, w *Endpoint) { b.Report(4, 8, 8); time.Sleep(reportTTL); w.Report(4, 8, 8) }, latencyScorer{}},
		{"prefix cached", func(b, _ *Endpoint) { b.Sent(prefix) }, prefixScorer{}},
		{"longer prefix cached", func(b, w *Endpoint) { b.Sent(prefix); w.Sent(prefix[:2]) }, prefixScorer{}},
		{"cache index accurate", func(b, w *Endpoint) { b.Sent(prefix); w.Sent(prefix); w.LearnCacheShare(0, 1) }, prefixScorer{}},
		{"prefix fresh", func(b, w *Endpoint) { w.Sent(prefix); time.Sleep((prefixTTL + 1) * time.Second); b.Sent(prefix) }, prefixScorer{}},
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
					t.Errorf("cost is %g, want less than %g", better, worse)
				}
			})
		})
	}
}

// TestPicks checks for each policy how many of 300 choices go to an endpoint that is ten
// times slower and has one attempt in flight.
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

// TestStraggler checks that an endpoint that becomes ten times slower loses its traffic
// after a few requests, and regains it some time after it has recovered.
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
			t.Errorf("only %d of 600 requests went to the endpoint after it recovered", n)
		}
	})
}

// TestEjection checks that at most a third of a service is ejected, that a single request
// probes an ejected endpoint, and that a failed probe doubles the ejection time.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, es := newTestTable(7)
		for _, e := range es {
			fail(e, failuresToEject+2)
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
		time.Sleep(baseEjectTime)
		probe := es[0].Start(0)
		if !es[0].Ejected(time.Now()) {
			t.Error("a second request is allowed during the probe")
		}
		probe.End(Failed)
		time.Sleep(baseEjectTime)
		if !es[0].Ejected(time.Now()) {
			t.Error("a failed probe did not double the ejection time")
		}
		time.Sleep(baseEjectTime)
		es[0].Start(0).End(Answered)
		if es[0].Ejected(time.Now()) {
			t.Error("still ejected after a successful probe")
		}
		exclude := map[wire.MemberID]bool{}
		for _, e := range es {
			if e != es[1] {
				exclude[e.Member.ID] = true
			}
		}
		fail(es[1], 1)
		if s.Choose(Request{Service: testService, Now: time.Now(), Exclude: exclude}) != es[1] {
			t.Error("the last endpoint was not tried because it is ejected")
		}
	})
}

// TestSubset checks that an entry always gets the same members, nearby ones first, and
// that few of them change when a member leaves.
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
		t.Errorf("%d members, %d of them nearby; want 20 and 10", len(first), near)
	}
	moved := 0
	for _, m := range subset(append(members[:50:50], members[51:]...), "entry", here, 20) {
		if !kept[m.ID] {
			moved++
		}
	}
	if moved > 1 {
		t.Errorf("%d members changed after one left", moved)
	}
}

// TestPrefixIndexIsBounded adds far more blocks than the index holds: the latest must be
// found, and no endpoint may be credited with blocks that it was never sent.
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
				t.Fatalf("prompt %d: wrongly credited to endpoint %d", i, h.endpoint)
			}
			found++
		}
	}
	if found < 990 {
		t.Errorf("only %d of the latest 1000 prompts found", found)
	}
}

func memberString(i int) string { return string(memberID(i%17576)) + string(rune('a'+i/17576)) }
