package stagework

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestInputsOfHedgedPieces has a call of the second stage hedged while room for inputs is short: the inputs are kept until
// both calls have fetched them, or the one that has not has ended, also when the stage is completed.
func TestInputsOfHedgedPieces(t *testing.T) {
	secondStage := func(f *hedgeFixture, proven bool) (slow, hedge *call) {
		f.submit(f.job("j"))
		f.succeed(f.startOne())
		for _, w := range f.s.services["b"].list {
			w.lastCallSucceeded = proven
		}
		slow = f.startOne()
		f.advance(overdueAt)
		hedge = f.startOne()
		f.Expect(hedge.service).To(gomega.Equal("b"))
		return slow, hedge
	}
	shortOfRoom := func(f *hedgeFixture) {
		for i := range 6 {
			j := f.job(fmt.Sprint("waiting", i))
			j.Stages[0].ResultBytes = 3000
			f.submit(j)
		}
	}
	f := newHedgeFixture(t)
	_, hedge := secondStage(f, true)
	shortOfRoom(f)
	f.advance(inputFetchTime - time.Millisecond)
	f.Expect(f.freed).To(gomega.BeEmpty())
	f.advance(time.Millisecond)
	f.Expect(f.freed).To(gomega.HaveLen(2), "inputs after both calls have fetched them")
	f.Expect(f.s.jobs["j"].inputsFetched[1]).To(gomega.Equal(2), "each piece counts once")
	f.succeed(hedge)
	f.Expect(f.errs).To(gomega.HaveKeyWithValue("j", gomega.BeNil()))

	f = newHedgeFixture(t)
	slow, hedge := secondStage(f, false)
	f.succeed(hedge)
	f.Expect(f.errs).To(gomega.HaveKeyWithValue("j", gomega.BeNil()))
	f.Expect(f.freed).To(gomega.BeEmpty(), "inputs that the overdue call may still have to fetch")
	f.succeed(slow)
	f.Expect(f.freed).To(gomega.HaveLen(2), "the late results")
	f.free(f.s.handleDone(f.now, Done{SubmissionID: "j"}))
	f.Expect(f.freed).To(gomega.HaveLen(6))
}

// TestFailureOfOneOfTwoFetchedCalls fails one of two calls that have fetched the inputs of their pieces: they still count
// as fetched by the other one, and no longer once that has failed too.
func TestFailureOfOneOfTwoFetchedCalls(t *testing.T) {
	f := newHedgeFixture(t)
	f.submit(f.job("j"))
	f.succeed(f.startOne())
	slow := f.startOne()
	f.advance(overdueAt)
	hedge := f.startOne()
	f.advance(inputFetchTime)
	f.fail(slow)
	f.Expect(f.s.jobs["j"].inputsFetched[1]).To(gomega.Equal(2))
	f.fail(hedge)
	f.Expect(f.s.jobs["j"].inputsFetched[1]).To(gomega.BeZero())
}

// TestInputsAreFreedWhenTheLateCallEnds completes a stage by a hedge while the overdue call may still have to fetch the
// inputs: they are freed when that call ends, once the submitting process knows that the stage is completed.
func TestInputsAreFreedWhenTheLateCallEnds(t *testing.T) {
	for _, c := range []struct {
		caller string
		after  time.Duration
		freed  bool
	}{{"", 0, true}, {"process", 0, false}, {"process", pingTimeout + time.Millisecond, true}} {
		f := newHedgeFixture(t)
		j := f.job("j")
		j.Caller = c.caller
		j.Stages = append(j.Stages, Stage{Service: "a", DependsOn: []int{1}, Pieces: 1, ResultBytes: 10})
		f.submit(j)
		f.succeed(f.startOne())
		f.free(f.s.updatesDelivered([]ProgressUpdate{{SubmissionID: "j"}}))
		for _, w := range f.s.services["b"].list {
			w.lastCallSucceeded = false
		}
		slow := f.startOne()
		f.advance(overdueAt)
		f.succeed(f.startOne())
		f.free(f.s.updatesDelivered([]ProgressUpdate{{SubmissionID: "j"}}))
		f.Expect(f.freed).To(gomega.BeEmpty())
		f.advance(c.after)
		f.fail(slow)
		f.Expect(f.freed).To(gomega.HaveLen(map[bool]int{true: 2}[c.freed]))
	}
}
