package stagework

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// callers plays callers against the owner of one service: two upstreams, 200 ms a call and 10 ms a piece, four
// pieces a call, so at most 33 pieces a second.
type callers struct {
	s       *scheduler
	now     time.Time
	running []*call
	serial  int
	random  *rand.Rand
	answers []func() // to give once the scheduler has returned
	later   []scheduled
}

type scheduled struct {
	at time.Time
	do func()
}

// callerKind is what callers of a kind ask for.
type callerKind struct {
	pieces   int
	priority int
	left     time.Duration // until their deadline
	goal     time.Duration
}

// callerOutcome counts what callers of a kind got.
type callerOutcome struct {
	asked, served, inTime int
	refusedAtOnce         int
	endedLater            int // admitted, and ended without an answer
	waits                 []time.Duration
	retryAfter            []time.Duration
}

func (o *callerOutcome) share() float64 { return float64(o.served) / float64(max(1, o.asked)) }

// wait returns a quantile of the time to the answer of those that were served.
func (o *callerOutcome) wait(quantile float64) time.Duration {
	if len(o.waits) == 0 {
		return 0
	}
	slices.Sort(o.waits)
	return o.waits[int(quantile*float64(len(o.waits)-1))]
}

func (o *callerOutcome) String() string {
	return fmt.Sprintf("asked %d, served %.2f, in time %.2f, refused at once %d, ended later %d, wait %s median, %s for the slowest of 100", o.asked, o.share(),
		float64(o.inTime)/float64(max(1, o.asked)), o.refusedAtOnce, o.endedLater, o.wait(0.5).Round(10*time.Millisecond), o.wait(0.99).Round(10*time.Millisecond))
}

func newCallers() *callers {
	c := &callers{s: newScheduler(), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 1))}
	c.s.random = c.random.Float64
	c.s.setServices(services, map[string][]wire.Member{"a": {{ID: "a1"}, {ID: "a2"}}})
	c.s.setOwner(c.now, true, false)
	return c
}

// ask submits a call and counts its outcome. ended is called with the error of a call that is not served; it may be nil.
func (c *callers) ask(k callerKind, key string, o *callerOutcome, ended func(error)) {
	c.serial++
	o.asked++
	id, began, returned := fmt.Sprint("call", c.serial), c.now, false
	if key == "" {
		key = id
	}
	c.s.submit(c.now, Job{ID: id, SubmissionID: id, Key: key, TimeLeft: k.left, Goal: k.goal, Priority: k.priority, Stages: []Stage{{Service: "a", Pieces: k.pieces, ResultBytes: 10}}},
		func(_ Result, err error) {
			waited, atOnce := c.now.Sub(began), !returned
			switch {
			case err == nil && waited <= k.left:
				o.served++
				o.waits = append(o.waits, waited)
				if waited <= k.goal {
					o.inTime++
				}
			case err != nil && atOnce:
				o.refusedAtOnce++
				o.retryAfter = append(o.retryAfter, verdict.From(err).RetryAfter)
			default:
				o.endedLater++
			}
			c.answers = append(c.answers, func() {
				c.s.recordFreed(c.s.handleDone(c.now, Done{SubmissionID: id}))
				if err != nil && ended != nil {
					ended(err)
				}
			})
		})
	returned = true
}

func (c *callers) after(d time.Duration, do func()) {
	c.later = append(c.later, scheduled{c.now.Add(d), do})
}

// arrives reports whether a call comes in this step of play, at random with that rate.
func (c *callers) arrives(perSecond float64) bool { return c.random.Float64() < perSecond/100 }

// play moves the time on in steps of 10 ms, and calls each at every step.
func (c *callers) play(d time.Duration, each func(step int)) {
	for step := range int(d / (10 * time.Millisecond)) {
		c.now = c.now.Add(10 * time.Millisecond)
		var due []scheduled
		c.later = slices.DeleteFunc(c.later, func(l scheduled) bool {
			if l.at.After(c.now) {
				return false
			}
			due = append(due, l)
			return true
		})
		for _, l := range due {
			l.do()
		}
		if each != nil {
			each(step)
		}
		c.work()
	}
}

// work ends the calls that are done, and starts others.
func (c *callers) work() {
	c.running = slices.DeleteFunc(c.running, func(b *call) bool {
		if c.now.Sub(b.started) < b.expected {
			return false
		}
		results := make([]upstream.PieceResult, len(b.pieces))
		for i, r := range b.request {
			results[i].Handle = fmt.Sprint(r.ID, "/", r.Number)
		}
		c.s.recordFreed(c.s.finishCall(c.now, b, outcome{results: results}))
		return true
	})
	c.s.recordFreed(c.s.expireJobs(c.now))
	for len(c.answers) > 0 {
		list := c.answers
		c.answers = nil
		for _, f := range list {
			f()
		}
	}
	c.running = append(c.running, c.s.startCalls(c.now)...)
}

// alike is how far the shares of two groups of a thousand callers may differ that are to be served alike.
const alike = 0.05

// TestRetriesAreServedLikeFirstTries guards against callers that are refused again, or held in vain, because they
// were refused before: each caller that is refused comes again once, one to five seconds later, with as much time as at
// first.
func TestRetriesAreServedLikeFirstTries(t *testing.T) {
	g := gomega.NewWithT(t)
	k := callerKind{pieces: 2, left: 4 * time.Second, goal: 900 * time.Millisecond}
	c, first, retries := newCallers(), &callerOutcome{}, &callerOutcome{}
	c.play(80*time.Second, func(step int) {
		if c.arrives(25) {
			key := fmt.Sprint("key", step)
			c.ask(k, key, first, func(error) {
				c.after(time.Second+time.Duration(c.random.Float64()*float64(4*time.Second)), func() { c.ask(k, key, retries, nil) })
			})
		}
	})
	t.Logf("first tries: %s", first)
	t.Logf("retries: %s", retries)
	g.Expect(retries.share()).To(gomega.BeNumerically("~", first.share(), alike))
}

// TestCallersThatWereRefusedAreAdmittedLikeOthers guards against an order by whether a caller was refused before: calls of
// callers that were refused and of new ones come in turns, at random.
func TestCallersThatWereRefusedAreAdmittedLikeOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	k := callerKind{pieces: 2, left: 4 * time.Second, goal: 900 * time.Millisecond}
	c, first, again := newCallers(), &callerOutcome{}, &callerOutcome{}
	refused := []string{}
	c.play(160*time.Second, func(step int) {
		if !c.arrives(25) {
			return
		}
		key, o := fmt.Sprint("key", step), first
		switch {
		case len(refused) == 0:
			o = &callerOutcome{} // both are counted at the same moments only
		case c.random.Float64() < 0.5:
			i := c.random.IntN(len(refused))
			key, o = refused[i], again
			refused = slices.Delete(refused, i, i+1)
		}
		c.ask(k, key, o, func(error) {
			c.after(2*time.Second, func() { refused = append(refused, key) })
		})
	})
	t.Logf("first: %s", first)
	t.Logf("again: %s", again)
	g.Expect(first.asked).To(gomega.BeNumerically(">", 400))
	g.Expect(again.share()).To(gomega.BeNumerically("~", first.share(), alike))
}

// TestUrgentCallersAreNotHeldUpByLessUrgentOnes guards against an order by deadlines alone: eight urgent callers come
// every 0.4 s, alone and beside less urgent ones that need most of the service.
func TestUrgentCallersAreNotHeldUpByLessUrgentOnes(t *testing.T) {
	for _, left := range []time.Duration{350 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(left.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			play := func(others bool) (urgent, other *callerOutcome) {
				c := newCallers()
				urgent, other = &callerOutcome{}, &callerOutcome{}
				c.play(40*time.Second, func(step int) {
					if others && step%4 == 0 {
						c.ask(callerKind{pieces: 1, priority: 1, left: 4 * time.Second, goal: 4 * time.Second}, "", other, nil)
					}
					for range 8 {
						if step%40 == 0 {
							c.ask(callerKind{pieces: 2, left: left, goal: left}, "", urgent, nil)
						}
					}
				})
				return urgent, other
			}
			alone, _ := play(false)
			urgent, other := play(true)
			t.Logf("urgent alone: %s", alone)
			t.Logf("urgent beside others: %s", urgent)
			t.Logf("others: %s", other)
			// A call in progress is never stopped: where the time of an urgent caller is shorter than two calls, the rest of
			// the first one leaves enough only in this part of the cases.
			enough := min(1, float64(left-fullCall(services["a"]))/float64(fullCall(services["a"])))
			g.Expect(urgent.share()).To(gomega.BeNumerically(">=", enough*alone.share()-alike))
			g.Expect(float64(urgent.endedLater) / float64(urgent.asked)).To(gomega.BeNumerically("<", alike))
		})
	}
}

// TestLessUrgentCallersAreNotStarved guards against strict priority: urgent callers alone ask for more than the
// service can do, and a less urgent one is still served after 16 calls that passed it over.
func TestLessUrgentCallersAreNotStarved(t *testing.T) {
	g := gomega.NewWithT(t)
	c, urgent, other := newCallers(), &callerOutcome{}, &callerOutcome{}
	c.play(40*time.Second, func(step int) {
		if step%4 == 0 {
			c.ask(callerKind{pieces: 2, left: 4 * time.Second, goal: 900 * time.Millisecond}, "", urgent, nil)
		}
		if step%100 == 0 {
			c.ask(callerKind{pieces: 1, priority: 1, left: 9 * time.Second, goal: 2 * time.Second}, "", other, nil)
		}
	})
	t.Logf("urgent: %s", urgent)
	t.Logf("others: %s", other)
	g.Expect(other.share()).To(gomega.BeNumerically(">=", 0.25*urgent.share()))
	g.Expect(urgent.share()).To(gomega.BeNumerically(">", 0.5))
}

// TestCallersWithTimeAreNotRefused guards against refusals in a short burst whose work is done long before any
// caller's deadline.
func TestCallersWithTimeAreNotRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	c, all := newCallers(), &callerOutcome{}
	k := callerKind{pieces: 1, left: 9 * time.Second, goal: 600 * time.Millisecond}
	c.play(20*time.Second, func(step int) {
		every := 6
		if at := time.Duration(step) * 10 * time.Millisecond; at > 5*time.Second && at <= 5700*time.Millisecond {
			every = 6
			for range 3 {
				if step%every == 0 {
					c.ask(k, "", all, nil)
				}
			}
		}
		if step%every == 0 {
			c.ask(k, "", all, nil)
		}
	})
	c.play(9*time.Second, nil)
	t.Logf("%s", all)
	g.Expect(all.share()).To(gomega.Equal(1.0))
}

// TestCallersAreNotHeldInVain guards against calls that are admitted although the work ahead of them leaves no time
// for them: in a long overload nearly all that are not served are refused at once.
func TestCallersAreNotHeldInVain(t *testing.T) {
	g := gomega.NewWithT(t)
	c, all := newCallers(), &callerOutcome{}
	c.play(60*time.Second, func(step int) {
		if step%3 == 0 {
			c.ask(callerKind{pieces: 2, left: 4 * time.Second, goal: 900 * time.Millisecond}, "", all, nil)
		}
	})
	t.Logf("%s", all)
	g.Expect(float64(all.endedLater) / float64(all.asked)).To(gomega.BeNumerically("<", alike))
	g.Expect(all.share()).To(gomega.BeNumerically(">", 0.45)) // 33 of 67 pieces a second, less the calls that are not full
}
