package stagework

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
)

// fastLinks are engines that fetch a part of 2000 tokens in a millisecond, on the links
// that users describe; slowLinks need longer than reading takes.
var (
	fastLinks = &optext.Service{Direct: optext.Direct{TokenBytes: 35_136, EngineLink: 550_000_000_000}}
	slowLinks = &optext.Service{Direct: optext.Direct{TokenBytes: 35_136, EngineLink: 1_000_000_000}}
)

// linked is a park whose engines can fetch from each other.
func linked(spec *optext.Service) *park {
	p := newPark()
	p.setMembers(map[string]*optext.Service{"llm": spec, "other": spec}, p.members)
	return p
}

// readAt has an engine read a prompt.
func (p *park) readAt(id wire.MemberID, pr *Prompt) {
	x := plan{engine: p.member(id)}
	p.finishAssignment(p.now, p.assign(p.now, pr, x), EngineBegan)
}

func (p *park) member(id wire.MemberID) wire.Member {
	for _, m := range p.members["llm"] {
		if m.ID == id {
			return m
		}
	}
	return wire.Member{ID: id}
}

// busy lets so many tokens wait at an engine.
func (p *park) busy(id wire.MemberID, tokens int64) {
	p.load(p.member(id)).waiting = prefill{tokens: tokens}
}

func (p *park) plan(pr *Prompt) plan { return p.choose(p.now, p.now.Add(time.Second), pr, nil) }

// TestPartIsFetched has a part read at an engine that is busy: the call goes to an idle
// one, which fetches the part.
func TestPartIsFetched(t *testing.T) {
	g := gomega.NewWithT(t)
	p := linked(fastLinks)
	p.readAt("e1", prompt("shared", 10))
	x := p.plan(prompt("shared", 1000))
	g.Expect(x.engine.ID).To(gomega.BeEquivalentTo("e1"), "it keeps the part and is in time")
	g.Expect(x.fetch.sourceAddress()).To(gomega.BeEmpty())
	p.busy("e1", 100_000)
	x = p.plan(prompt("shared", 1000))
	g.Expect(x.engine.ID).NotTo(gomega.BeEquivalentTo("e1"))
	g.Expect(x.fetch.source.member.ID).To(gomega.BeEquivalentTo("e1"))
	g.Expect(x.prefill).To(gomega.Equal(prefillAfter(2000, 1000)))
}

// TestPartIsReadInstead lists what keeps an engine from being fetched from.
func TestPartIsReadInstead(t *testing.T) {
	again := func(p *park, change func(*wire.Member)) {
		list := append([]wire.Member(nil), p.members["llm"]...)
		change(&list[1])
		p.setMembers(p.services, map[string][]wire.Member{"llm": list})
	}
	cases := map[string]struct {
		spec   *optext.Service
		change func(p *park)
	}{
		"links are slow":            {slowLinks, func(*park) {}},
		"the text says no links":    {&optext.Service{}, func(*park) {}},
		"it has started again":      {fastLinks, func(p *park) { again(p, func(m *wire.Member) { m.Incarnation++ }) }},
		"it is leaving":             {fastLinks, func(p *park) { again(p, func(m *wire.Member) { m.Leaving = true }) }},
		"it is gone":                {fastLinks, func(p *park) { p.setMembers(p.services, map[string][]wire.Member{"llm": p.members["llm"][2:]}) }},
		"it failed a call":          {fastLinks, func(p *park) { p.load(p.member("e1")).failures = 1 }},
		"it has yielded the part":   {fastLinks, func(p *park) { p.evictOldestPart(p.load(p.member("e1"))) }},
		"it is of another service":  {fastLinks, func(p *park) { p.load(p.member("e1")).member.Service = "other" }},
		"its link is busy for long": {fastLinks, func(p *park) { p.load(p.member("e1")).sendingUntil = p.now.Add(time.Second) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := linked(c.spec)
			p.readAt("e1", prompt("shared", 10))
			for _, id := range []wire.MemberID{"e0", "e1"} {
				p.busy(id, 100_000)
			}
			c.change(p)
			x := p.plan(prompt("shared", 1000))
			g.Expect(x.fetch.sourceAddress()).To(gomega.BeEmpty())
			if x.engine.ID != p.defaultHolder(prompt("shared", 1000)) {
				g.Expect(x.prefill.tokens).To(gomega.BeEquivalentTo(3000))
			}
		})
	}
}

// TestPartThatIsStillRead sends a call to an engine that has not begun: nobody fetches
// from it yet.
func TestPartThatIsStillRead(t *testing.T) {
	g := gomega.NewWithT(t)
	p := linked(fastLinks)
	p.assign(p.now, prompt("shared", 10), plan{engine: p.member("e1")})
	p.busy("e1", 100_000)
	g.Expect(p.plan(prompt("shared", 1000)).fetch.sourceAddress()).To(gomega.BeEmpty())
}

// TestHotPartIsSpread has many calls fetch a part: they take turns at the engines that
// keep it, since one sends to one after another.
func TestHotPartIsSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	p := linked(fastLinks)
	for _, id := range []wire.MemberID{"e0", "e1"} {
		p.readAt(id, prompt("shared", 10))
		p.busy(id, 1_000_000)
	}
	sources := map[string]int{}
	for range 10 {
		pr := prompt("shared", 1000)
		x := p.plan(pr)
		x.engine = p.member("e3")
		p.assign(p.now, pr, x)
		delete(p.loads["e3"].parts, "shared")
		sources[x.fetch.sourceAddress()]++
	}
	g.Expect(sources).To(gomega.HaveLen(2))
	for _, n := range sources {
		g.Expect(n).To(gomega.Equal(5))
	}
}

// TestHoldersAreBounded has engines read more parts than are remembered: none is known as
// a holder of a part that is forgotten.
func TestHoldersAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	p := linked(fastLinks)
	for i := range maxParts + 10 {
		p.now = p.now.Add(time.Millisecond)
		p.readAt("e1", prompt(fmt.Sprint(i), 1))
	}
	g.Expect(p.holders).To(gomega.HaveLen(maxParts))
	p.setMembers(p.services, nil)
	g.Expect(p.holders).To(gomega.BeEmpty())
}
