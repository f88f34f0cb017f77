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

// park is four engines in two data centres, and what decides between them.
type park struct {
	*engines
	now time.Time
}

func newPark() *park {
	p := &park{engines: newEngines(), now: time.Unix(1000, 0)}
	var list []wire.Member
	for i := range 4 {
		list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint("e", i)), Service: "llm", Direct: fmt.Sprint("e", i, ":80"), DataCenter: fmt.Sprint("dc", i%2)})
	}
	p.follow(nil, map[string][]wire.Member{"llm": list})
	return p
}

// prompt has a part of 2000 tokens that others share, and one of its own.
func prompt(shared string, own int64) *Prompt {
	return &Prompt{Service: "llm", Parts: []upstream.PromptPart{{ID: shared, Tokens: 2000}, {ID: "own", Tokens: own}}}
}

// call chooses an engine for the prompt and sends it there.
func (p *park) call(pr *Prompt) (wire.MemberID, *pick) {
	x := p.choose(p.now, p.now.Add(time.Second), pr, nil)
	return x.engine.ID, p.send(p.now, pr, x)
}

// TestEngineThatHasReadThePrompt sends prompts that share a part: they gather where it
// was read, also at an owner that knows nothing yet, until more waits there than it
// costs to read the part elsewhere; then the other engine keeps it too.
func TestEngineThatHasReadThePrompt(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPark()
	first, _ := upstream.SelectByPrefix(prompt("shared", 1).Parts, p.members["llm"])
	var used []wire.MemberID
	for range 20 {
		id, _ := p.call(prompt("shared", 1000))
		used = append(used, id)
	}
	in := int(firstRate/goalPart/1000) - 1 // so many are in time behind each other
	g.Expect(used[:in]).To(gomega.HaveEach(first.ID))
	g.Expect(used[in+2]).NotTo(gomega.Equal(first.ID))
	next := newPark()
	id, _ := next.call(prompt("shared", 1000))
	g.Expect(id).To(gomega.Equal(first.ID), "the next owner finds what was read")
}

// TestCallsThatHaveBegunNoLongerWait lets long prompts begin: their engine is as good as
// before.
func TestCallsThatHaveBegunNoLongerWait(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPark()
	var picks []*pick
	for range 20 {
		_, k := p.call(prompt("shared", 5000))
		picks = append(picks, k)
	}
	for _, k := range picks {
		p.ended(p.now, k, EngineBegan)
	}
	for id, l := range p.by {
		g.Expect(l.waiting.tokens).To(gomega.BeZero(), string(id))
	}
}

// TestEngineThatFailedIsPassedOver lets calls at an engine fail: it is passed over, for
// longer each time, and taken again at once where there is no other.
func TestEngineThatFailedIsPassedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPark()
	id, k := p.call(prompt("shared", 10))
	p.ended(p.now, k, EngineFailed)
	other, _ := p.call(prompt("shared", 10))
	g.Expect(other).NotTo(gomega.Equal(id))
	p.ended(p.now, &pick{engine: id}, EngineFailed)
	p.now = p.now.Add(failurePause)
	g.Expect(p.by[id].until).To(gomega.BeTemporally("~", p.now.Add(failurePause), time.Millisecond))
	p.members["llm"] = p.members["llm"][:0:0]
	p.members["llm"] = append(p.members["llm"], wire.Member{ID: id})
	again, _ := p.call(prompt("shared", 10))
	g.Expect(again).To(gomega.Equal(id))
}

// TestResultsDrawTheCall has large results in one data centre, for a prompt that nobody
// has read a part of: an engine there is chosen.
func TestResultsDrawTheCall(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, dc := range []string{"dc0", "dc1"} {
		x := newPark().choose(time.Unix(1000, 0), time.Unix(1001, 0), &Prompt{Service: "llm", Parts: []upstream.PromptPart{{ID: "own", Tokens: 100}}}, map[string]int64{dc: 9_000_000})
		g.Expect(x.engine.DataCenter).To(gomega.Equal(dc))
	}
}

// TestNoEngine chooses for a service without engines, and for an empty prompt.
func TestNoEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(newPark().choose(time.Unix(1000, 0), time.Unix(1001, 0), &Prompt{Service: "other"}, nil).engine.ID).To(gomega.BeEmpty())
	g.Expect(newPark().choose(time.Unix(1000, 0), time.Unix(1001, 0), &Prompt{Service: "llm"}, nil).engine.ID).NotTo(gomega.BeEmpty())
}

// TestPartsAreBounded sends more prompts to one engine than it remembers.
func TestPartsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPark()
	m := p.members["llm"][0]
	for i := range maxParts + 10 {
		p.now = p.now.Add(time.Millisecond)
		p.send(p.now, prompt(fmt.Sprint(i), 1), plan{engine: m, read: reading{tokens: 1}})
	}
	g.Expect(p.by[m.ID].parts).To(gomega.HaveLen(maxParts))
	g.Expect(p.by[m.ID].parts).NotTo(gomega.HaveKey("0"))
	p.follow(nil, map[string][]wire.Member{})
	g.Expect(p.by).To(gomega.BeEmpty())
}

// TestJobCarriesItsEngine runs a job whose call needs an engine: it is chosen when the
// results are there, and counts until the job is done with.
func TestJobCarriesItsEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := newScheduler(), time.Unix(1000, 0)
	s.setServices(services, newPark().members)
	s.own(now, true, false)
	var got Result
	s.add(now, Job{ID: "a", Handed: "a1", Left: time.Minute, Goal: time.Minute, Prompt: prompt("shared", 10), Stages: []Stage{{Service: "a"}}},
		func(r Result, err error) { got = r; g.Expect(err).NotTo(gomega.HaveOccurred()) })
	g.Expect(got.Engine).NotTo(gomega.BeEmpty())
	g.Expect(s.engines.by[got.Engine].waiting.tokens).To(gomega.BeEquivalentTo(10))
	s.done(now, Done{Handed: "a1", Engine: EngineFailed})
	g.Expect(s.engines.by[got.Engine].waiting.tokens).To(gomega.BeZero())
	g.Expect(s.engines.by[got.Engine].until).To(gomega.BeTemporally(">", now))
}

// TestCallThatEndedTellsNothing ends calls before their first event: neither the pace nor
// the engine's standing changes.
func TestCallThatEndedTellsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPark()
	before := p.pace
	id, k := p.call(prompt("shared", 10))
	p.ended(p.now.Add(time.Hour), k, EngineUnknown)
	g.Expect(p.pace).To(gomega.Equal(before))
	g.Expect(p.by[id].until).To(gomega.BeZero())
	g.Expect(p.by[id].waiting.tokens).To(gomega.BeZero())
}

// TestEngineOfItsOwnPace lets one engine of four take 1.3 times as long as the others, as
// a third of those of one service do: its factor says so, calls with time to spare still
// go there where their parts were read, and a long prompt goes to another.
func TestEngineOfItsOwnPace(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPark()
	const slowBy = 1.3
	for i := range 400 {
		m := p.members["llm"][i%4]
		pr := prompt(fmt.Sprint("warm", i%4), int64(500+i%7*1500))
		x := plan{engine: m, read: partAfter(2000, pr.Parts[1].Tokens)}
		k := p.send(p.now, pr, x)
		took := 50*time.Millisecond + time.Duration(x.read.tokens)*time.Millisecond/60
		if i%4 == 0 {
			took = time.Duration(slowBy * float64(took))
		}
		p.ended(p.now.Add(took), k, EngineBegan)
	}
	slow, other := p.members["llm"][0].ID, p.members["llm"][1].ID
	g.Expect(p.by[slow].own.factor() / p.by[other].own.factor()).To(gomega.BeNumerically("~", slowBy, 0.1))
	x := p.choose(p.now, p.now.Add(time.Second), prompt("warm0", 500), nil)
	g.Expect(x.engine.ID).To(gomega.Equal(slow))
	x = p.choose(p.now, p.now.Add(time.Second), prompt("unread", 45_000), nil)
	g.Expect(x.engine.ID).NotTo(gomega.Equal(slow))
}

// TestEngineThatTurnsSlow lets an engine become five times slower: after three calls it is
// no longer taken for a prompt that it would be late with.
func TestEngineThatTurnsSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPark()
	id, _ := p.call(prompt("shared", 3000))
	for range 3 {
		_, k := p.call(prompt("shared", 3000))
		p.ended(p.now.Add(5*p.pace.timeFor(k.behind)), &pick{engine: id, read: k.read, behind: k.read}, EngineBegan)
	}
	next := p.choose(p.now, p.now.Add(500*time.Millisecond), prompt("shared", 3000), nil)
	g.Expect(next.engine.ID).NotTo(gomega.Equal(id))
}

// TestColdEnginesGetTheirPartAtMost brings a data centre of engines back cold in a burst of
// prompts that only they have read: none gets more than its part of what it bears, the others
// take the rest, and none is called while all are cold and have had theirs. Pattern: warm-up.
func TestColdEnginesGetTheirPartAtMost(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPark()
	p.cold = coldstart.Limit{Excess: 1.5, Slack: 5} // of 18 a second: 8 for a chooser
	specs := map[string]*optext.Service{"llm": {Name: "llm", Direct: optext.Direct{ColdRate: 18}}}
	members := slices.Clone(p.members["llm"])
	cold := func(dataCenters ...string) {
		for i := range members {
			members[i].Cold = slices.Contains(dataCenters, members[i].DataCenter)
		}
		p.follow(specs, map[string][]wire.Member{"llm": slices.Clone(members)})
	}
	cold("dc0", "dc1")
	taken := map[wire.MemberID]int{}
	for range 100 {
		x := p.choose(p.now, p.now.Add(time.Second), prompt("shared", 10), nil)
		if x.engine.ID == "" {
			continue
		}
		taken[x.engine.ID]++
		p.ended(p.now, p.send(p.now, prompt("shared", 10), x), EngineUnknown)
	}
	g.Expect(taken).To(gomega.Equal(map[wire.MemberID]int{"e0": 8, "e1": 8, "e2": 8, "e3": 8}))
	cold("dc0")
	for range 100 {
		x := p.choose(p.now, p.now.Add(time.Second), prompt("shared", 10), nil)
		g.Expect(x.engine.DataCenter).To(gomega.Equal("dc1"))
		p.ended(p.now, p.send(p.now, prompt("shared", 10), x), EngineUnknown)
	}
}

// TestPaceOfColdSecondsIsNotLearnt has an engine take ten times as long while it is cold: once
// it is not, it counts as fast as the others.
func TestPaceOfColdSecondsIsNotLearnt(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPark()
	members := slices.Clone(p.members["llm"])
	members[0].Cold = true
	p.follow(nil, map[string][]wire.Member{"llm": members})
	l := p.get(members[0])
	for range 20 {
		p.observe(l, partAfter(0, 1000), time.Second)
	}
	g.Expect(l.own.factor()).To(gomega.BeEquivalentTo(1))
}
