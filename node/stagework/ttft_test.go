package stagework

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// prompts are readings of whole prompts of so many tokens.
func prompts(tokens ...int64) (out []prefill) {
	for _, n := range tokens {
		out = append(out, prefillAfter(0, n))
	}
	return out
}

// observed is a pace that has seen prompts at an engine that takes so many seconds.
func observed(times int, seen []prefill, seconds func(prefill) float64) ttftModel {
	p := newTTFTModel()
	for range times {
		for _, r := range seen {
			p.observe(r, seconds(r))
		}
	}
	return p
}

// TestFirstPace expects firstRate before any call was seen.
func TestFirstPace(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newTTFTModel()
	for _, tokens := range []int64{0, 1000, initialPrefillRate} {
		want := time.Duration(tokens) * time.Second / initialPrefillRate
		g.Expect(p.timeFor(prefillAfter(0, tokens))).To(gomega.BeNumerically("~", want, time.Millisecond))
	}
}

// TestPaceOfLinearReading observes engines that take 50 ms and 20,000 tokens a second, for
// prompts of three lengths: what others take is read off the line.
func TestPaceOfLinearReading(t *testing.T) {
	g := gomega.NewWithT(t)
	p := observed(500, prompts(200, 2000, 4000), func(r prefill) float64 { return 0.05 + float64(r.tokens)/20_000 })
	g.Expect(p.timeFor(prefill{})).To(gomega.BeNumerically("~", 50*time.Millisecond, 5*time.Millisecond))
	g.Expect(p.timeFor(prefillAfter(0, 20_000))).To(gomega.BeNumerically("~", 1050*time.Millisecond, 20*time.Millisecond))
}

// TestPaceOfReadingThatGrows observes engines that pay for each pair of tokens besides, as
// those of the largest models do: a prompt that is longer than nearly all is foreseen
// within a tenth.
func TestPaceOfReadingThatGrows(t *testing.T) {
	g := gomega.NewWithT(t)
	takes := func(r prefill) float64 { return 0.05 + float64(r.tokens)/80_000 + r.pairs*0.000154 }
	p := observed(100, prompts(800, 2400, 6000, 9000, 12_000, 20_000), takes)
	long := prefillAfter(5000, 50_000)
	g.Expect(p.timeFor(long).Seconds()).To(gomega.BeNumerically("~", takes(long), takes(long)/10))
}

// TestPaceOfEqualPrompts observes prompts of one length only.
func TestPaceOfEqualPrompts(t *testing.T) {
	g := gomega.NewWithT(t)
	p := observed(2000, prompts(1000), func(prefill) float64 { return 0.1 })
	g.Expect(p.timeFor(prefillAfter(0, 1000))).To(gomega.BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
	g.Expect(p.timeFor(prefill{tokens: -5})).To(gomega.BeNumerically(">=", 0))
}

// TestPaceNeverGoesBack observes calls that take less the longer they are, which is
// chance: no term takes less than nothing.
func TestPaceNeverGoesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	p := observed(300, prompts(500, 9000), func(r prefill) float64 { return 0.2 - float64(r.tokens)/100_000 })
	g.Expect(p.coefficients[1]).To(gomega.BeNumerically(">=", 0))
	g.Expect(p.coefficients[2]).To(gomega.BeNumerically(">=", 0))
}

// TestReadingOf splits prompts by what an engine has read: a part counts for its place only.
func TestReadingOf(t *testing.T) {
	parts := prompt("a", 100).Parts
	parts = append(parts[:1:1], parts...)
	parts[1].ID = "b"
	cases := map[string]struct {
		has     map[string]bool
		missing int64
	}{
		"nothing read":        {nil, 4000},
		"all read":            {map[string]bool{"a": true, "b": true}, 0},
		"the first one only":  {map[string]bool{"a": true}, 2000},
		"the second one only": {map[string]bool{"b": true}, 4000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			missing, own := prefillOf(parts, func(id string) bool { return c.has[id] })
			if missing.tokens != c.missing || own != prefillAfter(4000, 100) {
				t.Fatalf("%+v missing, %+v of its own", missing, own)
			}
		})
	}
}
