package stagework

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"caperdrum.org/api/wire"
)

// TestGroupIsSplit lists the calls into which the pieces of one stage go: one call, unless it would be late
// and smaller ones are in time, and no other job needs their upstreams.
func TestGroupIsSplit(t *testing.T) {
	spec := services["a"] // 200 ms a call and 10 ms a piece
	cases := map[string]struct {
		pieces, upstreams int
		goal              time.Duration
		others            int // waiting pieces of other jobs
		want              []int
	}{
		"in time as one call":               {3, 3, 300 * time.Millisecond, 0, []int{3}},
		"in time as single pieces":          {3, 3, 215 * time.Millisecond, 0, []int{1, 1, 1}},
		"in time as pairs":                  {4, 3, 225 * time.Millisecond, 0, []int{2, 2}},
		"late in any case":                  {3, 3, 205 * time.Millisecond, 0, []int{3}},
		"too few upstreams":                 {3, 2, 215 * time.Millisecond, 0, []int{3}},
		"other jobs wait for the upstreams": {3, 3, 215 * time.Millisecond, 1, []int{3, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, now := newScheduler(), time.Unix(1000, 0)
			var list []wire.Member
			for i := range c.upstreams {
				list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint("a", i)), Service: "a"})
			}
			s.setServices(services, map[string][]wire.Member{"a": list})
			s.setOwner(now, true, false)
			add := func(id string, pieces int, goal time.Duration) {
				s.submit(now, Job{ID: id, SubmissionID: id, TimeLeft: time.Minute, Goal: goal, Stages: []Stage{{Service: spec.Name, Pieces: pieces, ResultBytes: 10}}}, func(Result, error) {})
			}
			add("job", c.pieces, c.goal)
			for i := range c.others {
				add(fmt.Sprint("other", i), 1, time.Minute)
			}
			var got []int
			for _, call := range s.startCalls(now) {
				got = append(got, len(call.pieces))
			}
			g.Expect(got).To(gomega.Equal(c.want))
		})
	}
}

// TestStageGoalLeavesTimeForTheEngine submits a short and a long prompt with the same goal: the stages of
// the long one have an earlier goal, by the additional prefill time.
func TestStageGoalLeavesTimeForTheEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := newScheduler(), time.Unix(1000, 0)
	members := newEngineFleet().members
	members["a"] = []wire.Member{{ID: "a0", Service: "a"}}
	s.setServices(services, members)
	s.setOwner(now, true, false)
	goal := func(tokens int64) time.Time {
		id := fmt.Sprint(tokens)
		s.submit(now, Job{ID: id, SubmissionID: id, TimeLeft: time.Minute, Goal: time.Minute, FirstEvent: time.Minute, Prompt: prompt("shared", tokens),
			Stages: []Stage{{Service: "a", Pieces: 1}}}, func(Result, error) {})
		return s.jobs[id].goal
	}
	short, long := goal(1000), goal(31_000)
	want := s.engines.ttft.prefillTime(prefill{tokens: 30_000})
	g.Expect(short.Sub(long)).To(gomega.BeNumerically("~", want, 5*time.Millisecond))
	g.Expect(short).To(gomega.BeTemporally("<", now.Add(time.Minute)))
}
