package stagework

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/eligibility"
	"caperdrum.org/node/residency"
	"caperdrum.org/node/upstream"
)

// TestJobsStayWithinTheirDataCenters submits jobs of which some are bound to data centres, while upstreams come
// and go: none of their pieces runs elsewhere, and no engine or fetch source elsewhere is chosen.
func TestJobsStayWithinTheirDataCenters(t *testing.T) {
	specs := map[string]*optext.Service{
		"a":   {Name: "a", Kind: string(optext.Batch), Direct: optext.Direct{Batch: 4, Calls: 1, CallTime: 100 * time.Millisecond, PieceTime: time.Millisecond, ResultRoom: 1_000_000, ResultTTL: 4 * time.Second}},
		"b":   {Name: "b", Kind: string(optext.Batch), Direct: optext.Direct{Batch: 8, Calls: 1, CallTime: 100 * time.Millisecond, PieceTime: time.Millisecond, ResultRoom: 1_000_000, ResultTTL: 4 * time.Second}},
		"llm": {Name: "llm", Kind: string(optext.Engine), Direct: fastLinks.Direct},
	}
	rapid.Check(t, func(t *rapid.T) {
		s, now := newScheduler(), time.Unix(1000, 0)
		s.setOwner(now, true, false)
		dataCenters := []string{"dc0", "dc1", "dc2"}
		follow := func() {
			members := map[string][]wire.Member{}
			for _, service := range []string{"a", "b", "llm"} {
				for i := range rapid.IntRange(0, 4).Draw(t, service) {
					id := fmt.Sprint(service, i)
					members[service] = append(members[service], wire.Member{ID: wire.MemberID(id), Service: service, Direct: id, DataCenter: dataCenters[i%3], Incarnation: 1})
				}
			}
			s.setServices(specs, members)
		}
		follow()
		bound := map[string]residency.AllowedDataCenters{}
		under := []*call{}
		for i := range 30 {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "what") == 0 {
				follow()
			}
			w := residency.AllowedDataCenters{Restricted: rapid.Bool().Draw(t, "bound")}
			for _, dc := range dataCenters {
				if w.Restricted && rapid.Bool().Draw(t, dc) {
					w.DataCenters = append(w.DataCenters, dc)
				}
			}
			id := fmt.Sprint("j", i)
			bound[id] = w
			job := Job{ID: id, SubmissionID: id, Key: "k", TimeLeft: 10 * time.Second, Goal: 5 * time.Second, FirstEvent: 5 * time.Second, Within: w,
				Prompt: &Prompt{Service: "llm", Parts: []upstream.PromptPart{{ID: "shared", Tokens: 2000}, {ID: id, Tokens: 10}}, Constraint: eligibility.Constraint{Within: w}},
				Stages: []Stage{{Service: "a", Pieces: 1 + i%2, ResultBytes: 200_000}, {Service: "b", DependsOn: []int{0}, Pieces: 1, ResultBytes: 100}}}
			s.submit(now, job, func(r Result, err error) {
				if err == nil && r.Engine != "" {
					l := s.engines.loads[r.Engine]
					if !w.Contains(l.member.DataCenter) {
						t.Fatalf("%s, within %v: engine %s in %s", id, w, r.Engine, l.member.DataCenter)
					}
					if r.FetchFrom != "" && !w.Contains(s.engines.loads[wire.MemberID(r.FetchFrom)].member.DataCenter) {
						t.Fatalf("%s, within %v: parts are fetched from %s", id, w, r.FetchFrom)
					}
				}
			})
			for _, c := range s.startCalls(now) {
				for _, p := range c.pieces {
					if w := bound[p.job.ID]; !w.Contains(c.worker.member.DataCenter) {
						t.Fatalf("a piece of %s, within %v, runs in %s", p.job.ID, w, c.worker.member.DataCenter)
					}
				}
				under = append(under, c)
			}
			for len(under) > 0 && rapid.Bool().Draw(t, "finish") {
				o := outcome{}
				for k := range under[0].pieces {
					o.results = append(o.results, upstream.PieceResult{Handle: fmt.Sprint("h", i, k)})
				}
				s.finishCall(now, under[0], o)
				under = under[1:]
			}
			s.expireJobs(now)
		}
	})
}

// TestJobWithoutAllowedUpstream is refused at once if no upstream is allowed, and ends as soon as the last one
// has left.
func TestJobWithoutAllowedUpstream(t *testing.T) {
	s, now := newScheduler(), time.Unix(1000, 0)
	s.setOwner(now, true, false)
	specs := map[string]*optext.Service{"a": {Name: "a", Kind: string(optext.Batch), Direct: optext.Direct{Batch: 1, Calls: 1, CallTime: time.Second}}}
	member := func(id, dc string) wire.Member {
		return wire.Member{ID: wire.MemberID(id), Service: "a", Direct: id, DataCenter: dc, Incarnation: 1}
	}
	s.setServices(specs, map[string][]wire.Member{"a": {member("a0", "dc0"), member("a1", "dc1")}})
	var errs []error
	add := func(id, dc string) {
		s.submit(now, Job{ID: id, SubmissionID: id, TimeLeft: time.Minute, Goal: time.Minute, Within: residency.AllowedDataCenters{Restricted: true, DataCenters: []string{dc}}, Stages: []Stage{{Service: "a", Pieces: 3, ResultBytes: 1}}},
			func(_ Result, err error) { errs = append(errs, err) })
	}
	refused := func(n int) {
		t.Helper()
		if len(errs) != n {
			t.Fatalf("%d jobs ended, want %d", len(errs), n)
		}
		if v := verdict.From(errs[n-1]); v.Verdict != verdict.NotRun || v.Code != verdict.CodeNoEndpoint {
			t.Fatalf("%v", v)
		}
	}
	add("j0", "dc7")
	refused(1)
	add("j1", "dc1")
	s.startCalls(now)
	s.setServices(specs, map[string][]wire.Member{"a": {member("a0", "dc0")}})
	s.expireJobs(now)
	refused(2)
}

// TestPartsAreNotFetchedFromOutside has a part cached in one data centre: a call bound to another data centre
// prefills it there, an unbound one fetches it.
func TestPartsAreNotFetchedFromOutside(t *testing.T) {
	for _, bound := range []bool{false, true} {
		p := newLinkedFleet(fastLinks)
		p.prefillAt("e0", prompt("shared", 10)) // in dc0, as is e2
		p.setWaiting("e0", 1_000_000)
		p.setWaiting("e2", 1_000_000)
		pr := prompt("shared", 1000)
		pr.Within = residency.AllowedDataCenters{Restricted: bound, DataCenters: []string{"dc1"}}
		x := p.plan(pr)
		if x.engine.DataCenter != "dc1" {
			t.Fatalf("bound %t: engine %s", bound, x.engine.ID)
		}
		if fetches := x.fetch.source != nil; fetches == bound {
			t.Errorf("bound %t: fetches the part: %t", bound, fetches)
		}
	}
}
