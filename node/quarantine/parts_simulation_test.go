package quarantine

import (
	"fmt"
	"testing"
	"time"
)

const (
	// partDetectionCrashes is the number of crashes after which a poison part must become known within
	// maxDetectionTime.
	partDetectionCrashes = 5
	// maxPartCrashes is the aim for the upstreams that crash if a few calls a second have a poison part.
	maxPartCrashes = 8
)

// arrivedLate counts the calls with a part that reached an upstream later than d after the crash in which it became
// detectable.
func (g *poisonCall) arrivedLate(d time.Duration) int {
	n := 0
	for _, at := range g.arrived {
		if len(g.crashes) >= partDetectionCrashes && at > g.crashes[partDetectionCrashes-1]+d {
			n++
		}
	}
	return n
}

// prompts returns a generator of calls that all differ and have the parts that parts returns.
func (m *simulation) prompts(parts func() []string) func() (string, []string) {
	return func() (string, []string) {
		m.serial++
		return fmt.Sprint("call ", m.serial), parts()
	}
}

// crashRandomly ends upstreams for reasons of their own, one a gap.
func (m *simulation) crashRandomly(gap, d time.Duration) {
	for at := gap; at < d; at += gap {
		m.schedule(at, func() {
			if u := m.upstreams[m.random.IntN(len(m.upstreams))]; u.up {
				m.crash(u)
			}
		})
	}
}

// TestPoisonParts sends calls that have nothing in common but a part of their prompts, under which upstreams crash, among
// sound ones. All calls share the first part; some sound ones have a part that mostly comes with a poison part, or a rare
// part. Upstreams also end for other reasons, some processes are cut off from control for a while, and all are killed
// once in between.
func TestPoisonParts(t *testing.T) {
	cases := map[string]struct {
		poison    []string
		perSecond int // calls with each poison part
		processes int
		cuts      bool
	}{
		"few calls":              {[]string{"bad"}, 3, 8, false},
		"many calls":             {[]string{"bad"}, 13, 8, false},
		"two parts":              {[]string{"bad", "worse"}, 8, 8, false},
		"three parts":            {[]string{"bad", "worse", "worst"}, 3, 8, false},
		"two processes":          {[]string{"bad"}, 8, 2, false},
		"100 processes":          {[]string{"bad"}, 8, 100, false},
		"disconnected processes": {[]string{"bad"}, 8, 8, true},
	}
	for name, c := range cases {
		seeds := uint64(12)
		if testing.Short() {
			seeds = 3 // the race detector makes each about ten times slower
		}
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				m := newModelOf(seed, c.processes, simUpstreams)
				const end = 45 * time.Second
				m.startPrompts(60, end-5*time.Second, 2, m.prompts(func() []string {
					return []string{"first", fmt.Sprint("session ", m.random.IntN(100))}
				}))
				m.startPrompts(1, end-5*time.Second, 2, m.prompts(func() []string { return []string{"first", "companion"} }))
				m.startPrompts(1, end-5*time.Second, 2, m.prompts(func() []string { return []string{"rare"} }))
				m.crashRandomly(3*time.Second, end-5*time.Second)
				for _, part := range c.poison {
					m.poisonParts[part] = &poisonCall{}
					calls := m.prompts(func() []string { return []string{"first", "companion", part} })
					m.schedule(4*time.Second, func() { m.startPrompts(c.perSecond, 14*time.Second, 1, calls) })
					m.schedule(25*time.Second, func() { m.startPrompts(c.perSecond, 12*time.Second, 1, calls) })
				}
				if c.cuts {
					for _, p := range m.processes[:3] {
						m.schedule(3500*time.Millisecond, func() { p.disconnected = true })
						m.schedule(9*time.Second, func() { m.reconnect(p) })
					}
				}
				m.schedule(20*time.Second, m.restartProcesses)
				m.run(end)
				for part, g := range m.poisonParts {
					if late := g.arrivedLate(maxDetectionTime); late > maxLateArrivals {
						t.Errorf("%s crashed %d upstreams, at %v; %d calls reached an upstream after the detection time", part, len(g.crashes), g.crashes, late)
					}
					if c.perSecond*len(c.poison) <= 3 && len(g.crashes) > maxPartCrashes {
						t.Errorf("%s crashed %d upstreams, at %v", part, len(g.crashes), g.crashes)
					}
				}
				allowed := 0
				if c.cuts { // disconnected processes do not know what is answered elsewhere
					allowed = m.served / falsePositiveOneIn
				}
				if m.refused > allowed || m.served < 1500 {
					t.Errorf("%d sound calls were refused, %d served: %v", m.refused, m.served, m.refusedParts)
				}
			})
		}
	}
}
