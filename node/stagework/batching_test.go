package stagework

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"caperdrum.org/api/wire"
)

// newSchedulerWithIdle returns a scheduler with six upstreams of a service, of which that many are idle.
func newSchedulerWithIdle(idle int) (*scheduler, time.Time) {
	s, now := newScheduler(), time.Unix(1000, 0)
	var list []wire.Member
	for i := range 6 {
		list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint("a", i)), Service: "a"})
	}
	s.setServices(services, map[string][]wire.Member{"a": list})
	s.setOwner(now, true, false)
	for i := idle; i < 6; i++ {
		s.services["a"].workers[wire.MemberID(fmt.Sprint("a", i))].runningCalls = 1
	}
	return s, now
}

// TestPiecesWithTimeToSpareAreHeld lists the calls made for jobs of one piece each, by the jobs' goals and the time
// that they have waited.
func TestPiecesWithTimeToSpareAreHeld(t *testing.T) {
	const soon, far = 300 * time.Millisecond, time.Minute
	hold := services["a"].CallTime / holdDivisor
	cases := map[string]struct {
		idle  int
		goals []time.Duration
		after time.Duration
		want  []int // pieces in each call
	}{
		"many upstreams are idle":                     {4, []time.Duration{far, far}, 0, []int{1, 1}},
		"few are idle, and the pieces can wait":       {2, []time.Duration{far, far}, 0, nil},
		"the pieces have waited":                      {2, []time.Duration{far, far}, hold, []int{2}},
		"they have waited almost long enough":         {2, []time.Duration{far, far}, hold - 1, nil},
		"a full batch waits":                          {2, []time.Duration{far, far, far, far}, 0, []int{4}},
		"the piece is urgent":                         {2, []time.Duration{soon}, 0, []int{1}},
		"one piece is urgent, the other goes with it": {1, []time.Duration{far, soon}, 0, []int{2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, now := newSchedulerWithIdle(c.idle)
			for i, goal := range c.goals {
				id := fmt.Sprint(i)
				s.submit(now, Job{ID: id, SubmissionID: id, TimeLeft: time.Hour, Goal: goal, Stages: []Stage{{Service: "a", Pieces: 1, ResultBytes: 10}}}, func(Result, error) {})
			}
			now = now.Add(c.after)
			s.expireJobs(now)
			var got []int
			for _, call := range s.startCalls(now) {
				got = append(got, len(call.pieces))
			}
			g.Expect(got).To(gomega.Equal(c.want))
		})
	}
}
