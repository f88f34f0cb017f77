package stagework

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// twoStages is a scheduler with one upstream a stage, at which the calls of jobs of two stages
// are ended by hand.
type twoStages struct {
	s     *scheduler
	now   time.Time
	calls map[string][]*call // by service
	freed []string           // handles
	errs  map[string]error   // of jobs that ended
	made  int
}

func newTwoStages() *twoStages {
	c := &twoStages{s: newScheduler(), now: time.Unix(1000, 0), calls: map[string][]*call{}, errs: map[string]error{}}
	c.s.setServices(services, map[string][]wire.Member{"a": {{ID: "a0", Service: "a"}}, "b": {{ID: "b0", Service: "b"}}})
	c.s.setOwner(c.now, true, false)
	c.s.services["b"].workers["b0"].lastCallSucceeded = true
	return c
}

// add hands in a job of a result of a given size at a, and one at b that needs it.
func (c *twoStages) add(id string, bytes int64) {
	c.free(c.s.submit(c.now, Job{ID: id, Handed: id, Left: time.Minute, Goal: time.Minute, Stages: []Stage{{Service: "a", Pieces: 1, Bytes: bytes}, {Service: "b", After: []int{0}, Pieces: 1, Bytes: 10}}},
		func(_ Result, err error) { c.errs[id] = err }))
	c.start()
}

func (c *twoStages) start() {
	for _, call := range c.s.startCalls(c.now) {
		c.calls[call.service] = append(c.calls[call.service], call)
	}
}

// pass lets time pass.
func (c *twoStages) pass(d time.Duration) {
	c.now = c.now.Add(d)
	c.free(c.s.expireJobs(c.now))
	c.start()
}

// end ends the oldest call of a service.
func (c *twoStages) end(service string, failure upstream.Failure) {
	call := c.calls[service][0]
	c.calls[service] = c.calls[service][1:]
	o := outcome{}
	for range call.pieces {
		c.made++
		r := upstream.PieceResult{Handle: fmt.Sprint(service, c.made)}
		if failure != "" {
			r = upstream.PieceResult{Failure: failure}
		}
		o.results = append(o.results, r)
	}
	c.free(c.s.finishCall(c.now, call, o))
	c.start()
}

func (c *twoStages) free(list []storedResult) {
	for _, m := range list {
		c.freed = append(c.freed, m.handle)
	}
	c.s.recordFreed(list)
}

// toSecond has a job's input made, which takes three quarters of the room at a, and its
// second stage begun, while as many as given more jobs wait for that room.
func (c *twoStages) toSecond(waiting int) {
	c.add("first", 3000)
	for i := range waiting {
		c.add(fmt.Sprint("waiting", i), 3000)
	}
	c.end("a", "")
}

// TestInputsAreKeptWhereRoomIsNotShort has an input fetched while nobody waits for its room.
func TestInputsAreKeptWhereRoomIsNotShort(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newTwoStages()
	c.toSecond(0)
	c.pass(2 * inputFetchTime)
	g.Expect(c.freed).To(gomega.BeEmpty())
	c.end("b", "")
	g.Expect(c.freed).To(gomega.Equal([]string{"a1"}))
}

// TestInputsAreGivenUpWhereRoomIsShort has an input fetched while a whole call waits for
// its room: it is freed then, and neither before nor again, and the job ends well.
func TestInputsAreGivenUpWhereRoomIsShort(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newTwoStages()
	c.toSecond(services["a"].Batch)
	c.pass(inputFetchTime / 2)
	g.Expect(c.freed).To(gomega.BeEmpty())
	c.pass(inputFetchTime)
	g.Expect(c.freed).To(gomega.Equal([]string{"a1"}))
	c.end("b", "")
	g.Expect(c.errs).To(gomega.HaveKeyWithValue("first", gomega.BeNil()))
	g.Expect(c.freed).To(gomega.Equal([]string{"a1"}))
}

// TestInputsAreKeptAtUnprovenUpstreams begins a call at an upstream whose last one failed:
// it may still work for another, and fetch the inputs later.
func TestInputsAreKeptAtUnprovenUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newTwoStages()
	c.s.services["b"].workers["b0"].lastCallSucceeded = false
	c.toSecond(services["a"].Batch)
	c.pass(2 * inputFetchTime)
	g.Expect(c.freed).To(gomega.BeEmpty())
}

// TestCallThatFailsAfterItsInputsWereGivenUp begins the job anew once, and ends it the
// second time.
func TestCallThatFailsAfterItsInputsWereGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newTwoStages()
	c.toSecond(services["a"].Batch)
	c.pass(2 * inputFetchTime)
	c.end("b", upstream.Failed)
	first := c.s.jobs["first"]
	g.Expect(first.restarts).To(gomega.Equal(1))
	g.Expect(first.missing).To(gomega.Equal([]int{1, 1}))
	for i := 0; len(c.calls["b"]) == 0 || c.calls["b"][0].pieces[0].job != first; i++ {
		g.Expect(i).To(gomega.BeNumerically("<", 20))
		for _, service := range []string{"b", "a"} {
			if len(c.calls[service]) > 0 && (service == "a" || c.calls["b"][0].pieces[0].job != first) {
				c.end(service, "")
			}
		}
	}
	first.released[0] = true
	c.end("b", upstream.Failed)
	g.Expect(c.errs["first"]).To(gomega.HaveOccurred())
	g.Expect(c.s.jobs).NotTo(gomega.HaveKey("first"))
}
