package stagework

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// promptWork returns the prefill work of whole prompts of the given lengths.
func promptWork(tokens ...int64) (out []prefill) {
	for _, n := range tokens {
		out = append(out, prefillAfter(0, n))
	}
	return out
}

// fittedModel returns a model fitted to prompts whose times in seconds are given.
func fittedModel(times int, seen []prefill, seconds func(prefill) float64) ttftModel {
	p := newTTFTModel()
	for range times {
		for _, r := range seen {
			p.observe(r, seconds(r))
		}
	}
	return p
}

// TestInitialTTFT expects initialPrefillRate before any call is observed.
func TestInitialTTFT(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newTTFTModel()
	for _, tokens := range []int64{0, 1000, initialPrefillRate} {
		want := time.Duration(tokens) * time.Second / initialPrefillRate
		g.Expect(p.timeFor(prefillAfter(0, tokens))).To(gomega.BeNumerically("~", want, time.Millisecond))
	}
}

// TestTTFTOfLinearPrefill observes engines that take 50 ms plus a second for 20,000 tokens, with prompts of
// three lengths: other lengths are predicted on the same line.
func TestTTFTOfLinearPrefill(t *testing.T) {
	g := gomega.NewWithT(t)
	p := fittedModel(500, promptWork(200, 2000, 4000), func(r prefill) float64 { return 0.05 + float64(r.tokens)/20_000 })
	g.Expect(p.timeFor(prefill{})).To(gomega.BeNumerically("~", 50*time.Millisecond, 5*time.Millisecond))
	g.Expect(p.timeFor(prefillAfter(0, 20_000))).To(gomega.BeNumerically("~", 1050*time.Millisecond, 20*time.Millisecond))
}

// TestTTFTOfQuadraticPrefill observes engines that also take time for each pair of tokens, as those of the
// largest models do: a prompt longer than nearly all others is predicted within a tenth.
func TestTTFTOfQuadraticPrefill(t *testing.T) {
	g := gomega.NewWithT(t)
	takes := func(r prefill) float64 { return 0.05 + float64(r.tokens)/80_000 + r.pairs*0.000154 }
	p := fittedModel(100, promptWork(800, 2400, 6000, 9000, 12_000, 20_000), takes)
	long := prefillAfter(5000, 50_000)
	g.Expect(p.timeFor(long).Seconds()).To(gomega.BeNumerically("~", takes(long), takes(long)/10))
}

// TestTTFTOfEqualPrompts observes prompts of one length only.
func TestTTFTOfEqualPrompts(t *testing.T) {
	g := gomega.NewWithT(t)
	p := fittedModel(2000, promptWork(1000), func(prefill) float64 { return 0.1 })
	g.Expect(p.timeFor(prefillAfter(0, 1000))).To(gomega.BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
	g.Expect(p.timeFor(prefill{tokens: -5})).To(gomega.BeNumerically(">=", 0))
}

// TestTTFTNeverDecreases observes calls that by chance take less the longer they are: no coefficient becomes
// negative.
func TestTTFTNeverDecreases(t *testing.T) {
	g := gomega.NewWithT(t)
	p := fittedModel(300, promptWork(500, 9000), func(r prefill) float64 { return 0.2 - float64(r.tokens)/100_000 })
	g.Expect(p.coefficients[1]).To(gomega.BeNumerically(">=", 0))
	g.Expect(p.coefficients[2]).To(gomega.BeNumerically(">=", 0))
}

// TestPrefillOf splits prompts by the cached parts: a part is only usable behind the same parts of the prompt.
func TestPrefillOf(t *testing.T) {
	parts := prompt("a", 100).Parts
	parts = append(parts[:1:1], parts...)
	parts[1].ID = "b"
	cases := map[string]struct {
		has     map[string]bool
		missing int64
	}{
		"nothing cached":       {nil, 4000},
		"all cached":           {map[string]bool{"a": true, "b": true}, 0},
		"only the first part":  {map[string]bool{"a": true}, 2000},
		"only the second part": {map[string]bool{"b": true}, 4000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			missing, own := prefillOf(parts, func(id string) bool { return c.has[id] })
			if missing.tokens != c.missing || own != prefillAfter(4000, 100) {
				t.Fatalf("missing %+v, own %+v", missing, own)
			}
		})
	}
}
