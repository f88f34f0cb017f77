package stagework

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
)

// fastLinks are engines that fetch a part of 2000 tokens in a millisecond, over links as users
// describe them; over slowLinks a fetch takes longer than the prefill.
var (
	fastLinks = &optext.Service{Direct: optext.Direct{TokenBytes: 35_136, EngineLink: 550_000_000_000}}
	slowLinks = &optext.Service{Direct: optext.Direct{TokenBytes: 35_136, EngineLink: 1_000_000_000}}
)

// newLinkedFleet returns engines that can fetch from each other.
func newLinkedFleet(spec *optext.Service) *engineFleet {
	p := newEngineFleet()
	p.setMembers(map[string]*optext.Service{"llm": spec, "other": spec}, p.members)
	return p
}

// prefillAt lets an engine prefill a prompt.
func (p *engineFleet) prefillAt(id wire.MemberID, pr *Prompt) {
	x := plan{engine: p.member(id)}
	p.finishAssignment(p.now, p.assign(p.now, pr, x), EngineStarted)
}

func (p *engineFleet) member(id wire.MemberID) wire.Member {
	for _, m := range p.members["llm"] {
		if m.ID == id {
			return m
		}
	}
	return wire.Member{ID: id}
}

// setWaiting sets how many tokens are queued at an engine.
func (p *engineFleet) setWaiting(id wire.MemberID, tokens int64) {
	p.load(p.member(id)).waiting = prefill{tokens: tokens}
}

func (p *engineFleet) plan(pr *Prompt) plan { return p.choose(p.now, p.now.Add(time.Second), pr, nil) }

// TestPartIsFetched has a shared part cached at a busy engine: the call goes to an idle one, which
// fetches the part.
func TestPartIsFetched(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newLinkedFleet(fastLinks)
	p.prefillAt("e1", prompt("shared", 10))
	x := p.plan(prompt("shared", 1000))
	g.Expect(x.engine.ID).To(gomega.BeEquivalentTo("e1"), "the engine has the part and is in time")
	g.Expect(x.fetch.sourceAddress()).To(gomega.BeEmpty())
	p.setWaiting("e1", 100_000)
	x = p.plan(prompt("shared", 1000))
	g.Expect(x.engine.ID).NotTo(gomega.BeEquivalentTo("e1"))
	g.Expect(x.fetch.source.member.ID).To(gomega.BeEquivalentTo("e1"))
	g.Expect(x.prefill).To(gomega.Equal(prefillAfter(2000, 1000)))
}

// TestPartIsPrefilledInstead lists the cases in which a part is prefilled instead of fetched.
func TestPartIsPrefilledInstead(t *testing.T) {
	again := func(p *engineFleet, change func(*wire.Member)) {
		list := append([]wire.Member(nil), p.members["llm"]...)
		change(&list[1])
		p.setMembers(p.services, map[string][]wire.Member{"llm": list})
	}
	cases := map[string]struct {
		spec   *optext.Service
		change func(p *engineFleet)
	}{
		"links are slow":                     {slowLinks, func(*engineFleet) {}},
		"no links are configured":            {&optext.Service{}, func(*engineFleet) {}},
		"the source has restarted":           {fastLinks, func(p *engineFleet) { again(p, func(m *wire.Member) { m.Incarnation++ }) }},
		"the source is leaving":              {fastLinks, func(p *engineFleet) { again(p, func(m *wire.Member) { m.Leaving = true }) }},
		"the source is gone":                 {fastLinks, func(p *engineFleet) { p.setMembers(p.services, map[string][]wire.Member{"llm": p.members["llm"][2:]}) }},
		"the source failed a call":           {fastLinks, func(p *engineFleet) { p.load(p.member("e1")).failures = 1 }},
		"the source has evicted the part":    {fastLinks, func(p *engineFleet) { p.evictOldestPart(p.load(p.member("e1"))) }},
		"the source is of another service":   {fastLinks, func(p *engineFleet) { p.load(p.member("e1")).member.Service = "other" }},
		"the source's link is busy for long": {fastLinks, func(p *engineFleet) { p.load(p.member("e1")).sendingUntil = p.now.Add(time.Second) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := newLinkedFleet(c.spec)
			p.prefillAt("e1", prompt("shared", 10))
			for _, id := range []wire.MemberID{"e0", "e1"} {
				p.setWaiting(id, 100_000)
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

// TestPartInPrefillIsNotFetched sends a call to an engine that has not answered yet: nobody fetches its parts.
func TestPartInPrefillIsNotFetched(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newLinkedFleet(fastLinks)
	p.assign(p.now, prompt("shared", 10), plan{engine: p.member("e1")})
	p.setWaiting("e1", 100_000)
	g.Expect(p.plan(prompt("shared", 1000)).fetch.sourceAddress()).To(gomega.BeEmpty())
}

// TestFetchesAreSpreadOverSources has many calls fetch a part: the sources take turns, as transfers from
// one source run one after another.
func TestFetchesAreSpreadOverSources(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newLinkedFleet(fastLinks)
	for _, id := range []wire.MemberID{"e0", "e1"} {
		p.prefillAt(id, prompt("shared", 10))
		p.setWaiting(id, 1_000_000)
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

// TestHoldersAreBounded has an engine prefill more parts than are tracked: it is no longer a holder of
// the evicted ones.
func TestHoldersAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newLinkedFleet(fastLinks)
	for i := range maxParts + 10 {
		p.now = p.now.Add(time.Millisecond)
		p.prefillAt("e1", prompt(fmt.Sprint(i), 1))
	}
	g.Expect(p.holders).To(gomega.HaveLen(maxParts))
	p.setMembers(p.services, nil)
	g.Expect(p.holders).To(gomega.BeEmpty())
}
