package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/coldstart"
	"caperdrum.org/node/upstream"
)

// engineFleet has four engines in two data centres.
type engineFleet struct {
	*engines
	now time.Time
}

func newEngineFleet() *engineFleet {
	p := &engineFleet{engines: newEngines(), now: time.Unix(1000, 0)}
	var list []wire.Member
	for i := range 4 {
		list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint("e", i)), Service: "llm", Direct: fmt.Sprint("e", i, ":80"), DataCenter: fmt.Sprint("dc", i%2)})
	}
	p.setMembers(nil, map[string][]wire.Member{"llm": list})
	return p
}

// prompt has a shared part of 2000 tokens and an own part.
func prompt(shared string, own int64) *Prompt {
	return &Prompt{Service: "llm", Parts: []upstream.PromptPart{{ID: shared, Tokens: 2000}, {ID: "own", Tokens: own}}}
}

// sendCall chooses an engine for the prompt and assigns the call to it.
func (p *engineFleet) sendCall(pr *Prompt) (wire.MemberID, *assignment) {
	x := p.choose(p.now, p.now.Add(time.Second), pr, nil)
	return x.engine.ID, p.assign(p.now, pr, x)
}

// TestCallsGoWhereSharedPartsAreCached sends prompts with the same shared part: they go to the engine
// that cached it, also at a new owner that knows nothing, until queueing there costs more than
// prefilling the part elsewhere; then the other engine has it too.
func TestCallsGoWhereSharedPartsAreCached(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newEngineFleet()
	first, _ := upstream.SelectByPrefix(prompt("shared", 1).Parts, p.members["llm"])
	var used []wire.MemberID
	for range 20 {
		id, _ := p.sendCall(prompt("shared", 1000))
		used = append(used, id)
	}
	in := int(initialPrefillRate/goalFactor/1000) - 1 // how many in a row are in time at one engine
	g.Expect(used[:in]).To(gomega.HaveEach(first.ID))
	g.Expect(used[in+2]).NotTo(gomega.Equal(first.ID))
	next := newEngineFleet()
	id, _ := next.sendCall(prompt("shared", 1000))
	g.Expect(id).To(gomega.Equal(first.ID), "the next owner finds the cached part")
}

// TestStartedCallsLeaveTheEngineQueue lets calls with long prompts start: the load of their engine
// goes back to zero.
func TestStartedCallsLeaveTheEngineQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newEngineFleet()
	var picks []*assignment
	for range 20 {
		_, k := p.sendCall(prompt("shared", 5000))
		picks = append(picks, k)
	}
	for _, k := range picks {
		p.finishAssignment(p.now, k, EngineStarted)
	}
	for id, l := range p.loads {
		g.Expect(l.waiting.tokens).To(gomega.BeZero(), string(id))
	}
}

// TestFailedEngineBacksOff lets calls at an engine fail: it is avoided, each time for longer, but
// still used if there is no other.
func TestFailedEngineBacksOff(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newEngineFleet()
	id, k := p.sendCall(prompt("shared", 10))
	p.finishAssignment(p.now, k, EngineFailed)
	other, _ := p.sendCall(prompt("shared", 10))
	g.Expect(other).NotTo(gomega.Equal(id))
	p.finishAssignment(p.now, &assignment{engine: id}, EngineFailed)
	p.now = p.now.Add(failureBackoff)
	g.Expect(p.loads[id].backoffUntil).To(gomega.BeTemporally("~", p.now.Add(failureBackoff), time.Millisecond))
	p.members["llm"] = p.members["llm"][:0:0]
	p.members["llm"] = append(p.members["llm"], wire.Member{ID: id})
	again, _ := p.sendCall(prompt("shared", 10))
	g.Expect(again).To(gomega.Equal(id))
}

// TestEngineNearTheResultsIsChosen has large results in one data centre, and a prompt without cached
// parts: an engine there is chosen.
func TestEngineNearTheResultsIsChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, dc := range []string{"dc0", "dc1"} {
		x := newEngineFleet().choose(time.Unix(1000, 0), time.Unix(1001, 0), &Prompt{Service: "llm", Parts: []upstream.PromptPart{{ID: "own", Tokens: 100}}}, map[string]int64{dc: 9_000_000})
		g.Expect(x.engine.DataCenter).To(gomega.Equal(dc))
	}
}

// TestLateCallerGoesWhereItStartsSooner guards against callers that wait longer for the sake of cached parts although no
// call waits behind them: past its goal, a call starts 0.1 s sooner at an idle engine that has to prefill the shared part.
func TestLateCallerGoesWhereItStartsSooner(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newEngineFleet()
	holder, _ := p.sendCall(prompt("shared", 1000))
	l := p.loads[holder]
	l.waiting = prefill{tokens: 5000} // a part of 2000 tokens takes 67 ms, 5000 tokens 167 ms
	x := p.choose(p.now, p.now, prompt("shared", 100), nil)
	g.Expect(x.engine.ID).NotTo(gomega.Equal(holder))
	for _, other := range p.members["llm"] { // behind each of the others a call waits that the prefill would delay
		if other.ID != holder {
			p.load(other).calls = 2
		}
	}
	x = p.choose(p.now, p.now, prompt("shared", 100), nil)
	g.Expect(x.engine.ID).To(gomega.Equal(holder))
}

// TestNoEngine chooses for a service without engines, and for an empty prompt.
func TestNoEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(newEngineFleet().choose(time.Unix(1000, 0), time.Unix(1001, 0), &Prompt{Service: "other"}, nil).engine.ID).To(gomega.BeEmpty())
	g.Expect(newEngineFleet().choose(time.Unix(1000, 0), time.Unix(1001, 0), &Prompt{Service: "llm"}, nil).engine.ID).NotTo(gomega.BeEmpty())
}

// TestPartsAreBounded sends prompts with more parts to one engine than are tracked.
func TestPartsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newEngineFleet()
	m := p.members["llm"][0]
	for i := range maxParts + 10 {
		p.now = p.now.Add(time.Millisecond)
		p.assign(p.now, prompt(fmt.Sprint(i), 1), plan{engine: m, prefill: prefill{tokens: 1}})
	}
	g.Expect(p.loads[m.ID].parts).To(gomega.HaveLen(maxParts))
	g.Expect(p.loads[m.ID].parts).NotTo(gomega.HaveKey("0"))
	p.setMembers(nil, map[string][]wire.Member{})
	g.Expect(p.loads).To(gomega.BeEmpty())
}

// TestResultNamesTheEngine runs a job whose call needs an engine: it is chosen when the results are
// ready, and has the call in its load until the job is released.
func TestResultNamesTheEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := newScheduler(), time.Unix(1000, 0)
	s.setServices(services, newEngineFleet().members)
	s.setOwner(now, true, false)
	var got Result
	s.submit(now, Job{ID: "a", SubmissionID: "a1", TimeLeft: time.Minute, Goal: time.Minute, Prompt: prompt("shared", 10), Stages: []Stage{{Service: "a"}}},
		func(r Result, err error) { got = r; g.Expect(err).NotTo(gomega.HaveOccurred()) })
	g.Expect(got.Engine).NotTo(gomega.BeEmpty())
	g.Expect(s.engines.loads[got.Engine].waiting.tokens).To(gomega.BeEquivalentTo(10))
	s.handleDone(now, Done{SubmissionID: "a1", Engine: EngineFailed})
	g.Expect(s.engines.loads[got.Engine].waiting.tokens).To(gomega.BeZero())
	g.Expect(s.engines.loads[got.Engine].backoffUntil).To(gomega.BeTemporally(">", now))
}

// TestCallWithoutFirstEventIsNotObserved ends calls before their first event: neither the model nor the
// state of the engine changes.
func TestCallWithoutFirstEventIsNotObserved(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newEngineFleet()
	before := p.ttft
	id, k := p.sendCall(prompt("shared", 10))
	p.finishAssignment(p.now.Add(time.Hour), k, EngineUnknown)
	g.Expect(p.ttft).To(gomega.Equal(before))
	g.Expect(p.loads[id].backoffUntil).To(gomega.BeZero())
	g.Expect(p.loads[id].waiting.tokens).To(gomega.BeZero())
}

// TestRelativePaceOfAnEngine has one engine of four take 1.3 times as long as the others, as a third of
// the engines of a service do: its factor shows that, calls with time to spare still go there for its
// cached parts, and a long prompt goes to another.
func TestRelativePaceOfAnEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newEngineFleet()
	const slowBy = 1.3
	for i := range 400 {
		m := p.members["llm"][i%4]
		pr := prompt(fmt.Sprint("warm", i%4), int64(500+i%7*1500))
		x := plan{engine: m, prefill: prefillAfter(2000, pr.Parts[1].Tokens)}
		k := p.assign(p.now, pr, x)
		took := 50*time.Millisecond + time.Duration(x.prefill.tokens)*time.Millisecond/60
		if i%4 == 0 {
			took = time.Duration(slowBy * float64(took))
		}
		p.finishAssignment(p.now.Add(took), k, EngineStarted)
	}
	slow, other := p.members["llm"][0].ID, p.members["llm"][1].ID
	g.Expect(p.loads[slow].relativePace.factor() / p.loads[other].relativePace.factor()).To(gomega.BeNumerically("~", slowBy, 0.1))
	x := p.choose(p.now, p.now.Add(time.Second), prompt("warm0", 500), nil)
	g.Expect(x.engine.ID).To(gomega.Equal(slow))
	x = p.choose(p.now, p.now.Add(time.Second), prompt("unread", 45_000), nil)
	g.Expect(x.engine.ID).NotTo(gomega.Equal(slow))
}

// TestEngineBecomesSlow has an engine become five times slower: after three calls it is no longer chosen
// for a prompt that would be late there.
func TestEngineBecomesSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newEngineFleet()
	id, _ := p.sendCall(prompt("shared", 3000))
	for range 3 {
		_, k := p.sendCall(prompt("shared", 3000))
		p.finishAssignment(p.now.Add(5*p.ttft.timeFor(k.prefillAhead)), &assignment{engine: id, prefill: k.prefill, prefillAhead: k.prefill}, EngineStarted)
	}
	next := p.choose(p.now, p.now.Add(500*time.Millisecond), prompt("shared", 3000), nil)
	g.Expect(next.engine.ID).NotTo(gomega.Equal(id))
}

// TestColdEnginesAreLimited brings a data centre of engines back cold in a burst of prompts that only
// they have cached: none gets more than its share of the cold rate, the others take the rest, and none
// is called while all are cold and have had their share.
func TestColdEnginesAreLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newEngineFleet()
	p.cold = coldstart.Limit{Excess: 1.5, Slack: 5} // of 18 a second: 8 for a chooser
	specs := map[string]*optext.Service{"llm": {Name: "llm", Direct: optext.Direct{ColdRate: 18}}}
	members := slices.Clone(p.members["llm"])
	cold := func(dataCenters ...string) {
		for i := range members {
			members[i].Cold = slices.Contains(dataCenters, members[i].DataCenter)
		}
		p.setMembers(specs, map[string][]wire.Member{"llm": slices.Clone(members)})
	}
	cold("dc0", "dc1")
	taken := map[wire.MemberID]int{}
	for range 100 {
		x := p.choose(p.now, p.now.Add(time.Second), prompt("shared", 10), nil)
		if x.engine.ID == "" {
			continue
		}
		taken[x.engine.ID]++
		p.finishAssignment(p.now, p.assign(p.now, prompt("shared", 10), x), EngineUnknown)
	}
	g.Expect(taken).To(gomega.Equal(map[wire.MemberID]int{"e0": 8, "e1": 8, "e2": 8, "e3": 8}))
	cold("dc0")
	for range 100 {
		x := p.choose(p.now, p.now.Add(time.Second), prompt("shared", 10), nil)
		g.Expect(x.engine.DataCenter).To(gomega.Equal("dc1"))
		p.finishAssignment(p.now, p.assign(p.now, prompt("shared", 10), x), EngineUnknown)
	}
}

// TestColdEngineIsNotObserved has an engine take ten times as long while it is cold: that does not
// change its relative pace.
func TestColdEngineIsNotObserved(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newEngineFleet()
	members := slices.Clone(p.members["llm"])
	members[0].Cold = true
	p.setMembers(nil, map[string][]wire.Member{"llm": members})
	l := p.load(members[0])
	for range 20 {
		p.observe(l, prefillAfter(0, 1000), time.Second)
	}
	g.Expect(l.relativePace.factor()).To(gomega.BeEquivalentTo(1))
}
