package stagework

import (
	"fmt"
	"testing"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/eligibility"
	"caperdrum.org/node/upstream"
)

// versionedEngines returns four engines, of versions v1 and v2 in turn.
func versionedEngines() (list []wire.Member) {
	for i := range 4 {
		list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint("e", i)), Service: "llm", Direct: fmt.Sprint("10.0.0.", i), Incarnation: 1, Version: fmt.Sprint("v", i%2+1)})
	}
	return list
}

func versionedPrompt(shared, version string) *Prompt {
	p := &Prompt{Service: "llm", Parts: []upstream.PromptPart{{ID: shared, Tokens: 5000}, {ID: "own", Tokens: 10}}}
	if version != "" {
		p.Constraint = eligibility.Constraint{Version: &version}
	}
	return p
}

// TestEngineOfTheVersionIsChosen guards against an owner that chooses an engine of another software version for a
// stream that has begun: also while a rollout prefers the other one, and if it excludes the version.
func TestEngineOfTheVersionIsChosen(t *testing.T) {
	e, now := newEngines(), time.Unix(1000, 0)
	list := versionedEngines()
	e.setAllVersions(map[string][]wire.Member{"llm": list})
	e.setMembers(nil, map[string][]wire.Member{"llm": list})
	e.split.Update(wire.Rollouts{Revision: 1, List: []wire.Rollout{{Service: "llm", Target: "v2", State: wire.RolloutRunning, Share: 0.5, Replaced: []string{"v1"}, Order: 1, Revision: 1}}})
	targets := 0
	for i := range 100 {
		for _, version := range []string{"v1", "v2"} {
			p := versionedPrompt(fmt.Sprint("part", i), version)
			x := e.choose(now, now.Add(time.Second), p, nil)
			if x.engine.Version != version {
				t.Fatalf("%s: chose %+v", version, x.engine)
			}
			e.assign(now, p, x)
		}
		p := versionedPrompt(fmt.Sprint("new", i), "")
		x := e.choose(now, now.Add(time.Second), p, nil)
		if x.engine.Version == "v2" {
			targets++
		}
		e.assign(now, p, x)
	}
	if targets < 49 || targets > 52 {
		t.Errorf("%d of 100 new calls went to the target, want half", targets)
	}
	e.setMembers(nil, map[string][]wire.Member{"llm": {list[0], list[2]}})
	if x := e.choose(now, now.Add(time.Second), versionedPrompt("a", "v2"), nil); x.engine.Version != "v2" {
		t.Errorf("of an excluded version: %+v", x.engine)
	}
	if x := e.choose(now, now.Add(time.Second), versionedPrompt("a", "v3"), nil); x.engine.ID != "" {
		t.Errorf("of a version without engines: %+v", x.engine)
	}
}

// TestPartsAreFetchedFromTheSameVersion has only an engine of the other version hold a prompt's shared parts: they are
// prefilled again, and fetched once an engine of the same version holds them too.
func TestPartsAreFetchedFromTheSameVersion(t *testing.T) {
	e, now := newEngines(), time.Unix(1000, 0)
	list := versionedEngines()
	e.setAllVersions(map[string][]wire.Member{"llm": list})
	e.setMembers(map[string]*optext.Service{"llm": fastLinks}, map[string][]wire.Member{"llm": list})
	hold := func(m wire.Member) {
		p := versionedPrompt("shared", m.Version)
		a := e.assign(now, p, plan{engine: m, prefill: prefill{tokens: 10}})
		e.finishAssignment(now, a, EngineStarted)
	}
	hold(list[1])
	if x := e.choose(now, now.Add(time.Second), versionedPrompt("shared", "v1"), nil); x.fetch.source != nil || x.engine.Version != "v1" {
		t.Errorf("fetched from %+v", x.fetch.source.member)
	}
	hold(list[0])
	e.loads[list[0].ID].waiting = prefill{tokens: 1_000_000}
	if x := e.choose(now, now.Add(time.Second), versionedPrompt("shared", "v1"), nil); x.engine.ID != "e2" || x.fetch.source == nil || x.fetch.source.member.ID != "e0" {
		t.Errorf("chose %s, fetched from %+v", x.engine.ID, x.fetch.source)
	}
}

// TestLimitsOfItsVersionAdmitAJob has the engines of one version limit their requests: jobs of streams that began there
// are refused before their stages run, with a Retry-After, and others are not.
func TestLimitsOfItsVersionAdmitAJob(t *testing.T) {
	s, now := newScheduler(), time.Unix(1000, 0)
	list := versionedEngines()
	workers := []wire.Member{{ID: "w1", Service: "trace", Incarnation: 1}}
	announced := map[string][]wire.Member{"llm": list, "trace": workers}
	s.engines.setAllVersions(announced)
	s.setServices(map[string]*optext.Service{"llm": {Name: "llm"}, "trace": {Name: "trace", Direct: optext.Direct{Batch: 4, Calls: 1, CallTime: 10 * time.Millisecond}}}, announced)
	s.setOwner(now, true, false)
	s.permits.notices = newLimits(0, list[0].Start(), list[2].Start())
	s.permits.confirmed(now)
	submit := func(id, version string) (err error) {
		p := versionedPrompt(id, version)
		j := Job{ID: id, SubmissionID: id, TimeLeft: time.Minute, Goal: time.Minute, FirstEvent: time.Minute, Prompt: p, Stages: []Stage{{Service: "trace", Pieces: 1}}}
		s.submit(now, j, func(_ Result, e error) { err = e })
		return err
	}
	refused := 0
	for i := range 10 {
		if submit(fmt.Sprint("a", i), "v1") != nil {
			refused++
		}
		if err := submit(fmt.Sprint("b", i), "v2"); err != nil {
			t.Fatal(err)
		}
	}
	if refused < 5 {
		t.Errorf("%d of 10 jobs of the limited version were refused", refused)
	}
}
