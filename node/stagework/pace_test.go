package stagework

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestPaceIsALine observes engines that take 50 ms and 20,000 tokens a second, for prompts
// of two lengths: what others take is read off the line.
func TestPaceIsALine(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPace()
	g.Expect(p.timeFor(firstRate)).To(gomega.BeNumerically("~", time.Second, time.Millisecond))
	for range 500 {
		p.observe(200, 60*time.Millisecond)
		p.observe(4000, 250*time.Millisecond)
	}
	g.Expect(p.timeFor(0)).To(gomega.BeNumerically("~", 50*time.Millisecond, 5*time.Millisecond))
	g.Expect(p.tokensIn(time.Second)).To(gomega.BeNumerically("~", 20_000, 1000))
	g.Expect(p.timeFor(20_000)).To(gomega.BeNumerically("~", 1050*time.Millisecond, 20*time.Millisecond))
}

// TestPaceOfEqualPrompts observes prompts of one length only.
func TestPaceOfEqualPrompts(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPace()
	for range 2000 {
		p.observe(1000, 100*time.Millisecond)
	}
	g.Expect(p.timeFor(1000)).To(gomega.BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
	g.Expect(p.timeFor(-5)).To(gomega.BeNumerically(">=", 0))
}
