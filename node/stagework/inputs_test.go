package stagework

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// twoStages is a scheduler with one upstream for each of two stages, whose calls the test ends.
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

// submit adds a job with a result of the given size at service a, and one at b that depends on it.
func (c *twoStages) submit(id string, bytes int64) {
	c.free(c.s.submit(c.now, Job{ID: id, SubmissionID: id, TimeLeft: time.Minute, Goal: time.Minute, Stages: []Stage{{Service: "a", Pieces: 1, ResultBytes: bytes}, {Service: "b", DependsOn: []int{0}, Pieces: 1, ResultBytes: 10}}},
		func(_ Result, err error) { c.errs[id] = err }))
	c.start()
}

func (c *twoStages) start() {
	for _, call := range c.s.startCalls(c.now) {
		c.calls[call.service] = append(c.calls[call.service], call)
	}
}

// advance moves the time on.
func (c *twoStages) advance(d time.Duration) {
	c.now = c.now.Add(d)
	c.free(c.s.expireJobs(c.now))
	c.start()
}

// endCall ends the oldest call of a service.
func (c *twoStages) endCall(service string, failure upstream.Failure) {
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

// startSecondStage completes the first stage of a job, whose result takes three quarters of the room at
// a, and starts its second stage, while the given number of other jobs wait for that room.
func (c *twoStages) startSecondStage(waiting int) {
	c.submit("first", 3000)
	for i := range waiting {
		c.submit(fmt.Sprint("waiting", i), 3000)
	}
	c.endCall("a", "")
}

// TestInputsAreKeptWhileRoomIsAvailable has an input fetched while no job waits for its room: it is kept
// until the piece is done.
func TestInputsAreKeptWhileRoomIsAvailable(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newTwoStages()
	c.startSecondStage(0)
	c.advance(2 * inputFetchTime)
	g.Expect(c.freed).To(gomega.BeEmpty())
	c.endCall("b", "")
	g.Expect(c.freed).To(gomega.Equal([]string{"a1"}))
}

// TestInputsAreFreedWhenRoomIsShort has an input fetched while a full batch waits for its room: it is
// freed then, neither earlier nor twice, and the job succeeds.
func TestInputsAreFreedWhenRoomIsShort(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newTwoStages()
	c.startSecondStage(services["a"].Batch)
	c.advance(inputFetchTime / 2)
	g.Expect(c.freed).To(gomega.BeEmpty())
	c.advance(inputFetchTime)
	g.Expect(c.freed).To(gomega.Equal([]string{"a1"}))
	c.endCall("b", "")
	g.Expect(c.errs).To(gomega.HaveKeyWithValue("first", gomega.BeNil()))
	g.Expect(c.freed).To(gomega.Equal([]string{"a1"}))
}

// TestInputsAreKeptAtUnprovenUpstreams starts a call at an upstream whose last one failed: it may still run
// calls of others, and fetch the inputs later.
func TestInputsAreKeptAtUnprovenUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newTwoStages()
	c.s.services["b"].workers["b0"].lastCallSucceeded = false
	c.startSecondStage(services["a"].Batch)
	c.advance(2 * inputFetchTime)
	g.Expect(c.freed).To(gomega.BeEmpty())
}

// TestCallThatFailsAfterItsInputsWereFreed restarts the job the first time, and fails it the second.
func TestCallThatFailsAfterItsInputsWereFreed(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newTwoStages()
	c.startSecondStage(services["a"].Batch)
	c.advance(2 * inputFetchTime)
	c.endCall("b", upstream.Failed)
	first := c.s.jobs["first"]
	g.Expect(first.restarts).To(gomega.Equal(1))
	g.Expect(first.missing).To(gomega.Equal([]int{1, 1}))
	for i := 0; len(c.calls["b"]) == 0 || c.calls["b"][0].pieces[0].job != first; i++ {
		g.Expect(i).To(gomega.BeNumerically("<", 20))
		for _, service := range []string{"b", "a"} {
			if len(c.calls[service]) > 0 && (service == "a" || c.calls["b"][0].pieces[0].job != first) {
				c.endCall(service, "")
			}
		}
	}
	first.released[0] = true
	c.endCall("b", upstream.Failed)
	g.Expect(c.errs["first"]).To(gomega.HaveOccurred())
	g.Expect(c.s.jobs).NotTo(gomega.HaveKey("first"))
}
