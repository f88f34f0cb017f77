package stagework

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"caperdrum.org/api/wire"
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
		list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint("e", i)), Service: "llm", DataCenter: fmt.Sprint("dc", i%2)})
	}
	p.follow(map[string][]wire.Member{"llm": list})
	return p
}

// prompt has a part of 2000 tokens that others share, and one of its own.
func prompt(shared string, own int64) *Prompt {
	return &Prompt{Service: "llm", Parts: []upstream.PromptPart{{ID: shared, Tokens: 2000}, {ID: "own", Tokens: own}}}
}

// call chooses an engine for the prompt and sends it there.
func (p *park) call(pr *Prompt) (wire.MemberID, *pick) {
	m, tokens := p.choose(p.now, p.now.Add(time.Second), pr, nil)
	return m.ID, p.send(p.now, pr, m, tokens)
}

// TestEngineThatHasReadThePrompt sends prompts that share a part: they gather where it
// was read, also at an owner that knows nothing yet, until more waits there than it
// costs to read the part elsewhere; then the other engine keeps it too.
func TestEngineThatHasReadThePrompt(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPark()
	first, _ := upstream.ByPrefix(prompt("shared", 1).Parts, p.members["llm"])
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
		g.Expect(l.waiting).To(gomega.BeZero(), string(id))
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
		m, _ := newPark().choose(time.Unix(1000, 0), time.Unix(1001, 0), &Prompt{Service: "llm", Parts: []upstream.PromptPart{{ID: "own", Tokens: 100}}}, map[string]int64{dc: 9_000_000})
		g.Expect(m.DataCenter).To(gomega.Equal(dc))
	}
}

// TestNoEngine chooses for a service without engines, and for an empty prompt.
func TestNoEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	m, _ := newPark().choose(time.Unix(1000, 0), time.Unix(1001, 0), &Prompt{Service: "other"}, nil)
	g.Expect(m.ID).To(gomega.BeEmpty())
	m, _ = newPark().choose(time.Unix(1000, 0), time.Unix(1001, 0), &Prompt{Service: "llm"}, nil)
	g.Expect(m.ID).NotTo(gomega.BeEmpty())
}

// TestPartsAreBounded sends more prompts to one engine than it remembers.
func TestPartsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPark()
	m := p.members["llm"][0]
	for i := range maxParts + 10 {
		p.now = p.now.Add(time.Millisecond)
		p.send(p.now, prompt(fmt.Sprint(i), 1), m, 1)
	}
	g.Expect(p.by[m.ID].parts).To(gomega.HaveLen(maxParts))
	g.Expect(p.by[m.ID].parts).NotTo(gomega.HaveKey("0"))
	p.follow(map[string][]wire.Member{})
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
	g.Expect(s.engines.by[got.Engine].waiting).To(gomega.BeEquivalentTo(10))
	s.done(now, Done{Handed: "a1", Engine: EngineFailed})
	g.Expect(s.engines.by[got.Engine].waiting).To(gomega.BeZero())
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
	g.Expect(p.by[id].waiting).To(gomega.BeZero())
}
