package stagework

import (
	"fmt"
	"testing"
	"time"
)

// sumOverJobs computes the piecesAhead of a goal, by service, and the number of deferred jobs from
// all jobs.
func sumOverJobs(s *scheduler, goal time.Time) (ahead map[string]int, behind int) {
	ahead = map[string]int{}
	for _, j := range s.jobs {
		if j.answer == nil {
			continue
		}
		overdue := stepAt(j.goal) < s.backlog.firstStep
		late := j.retry || j.late || overdue
		if late {
			behind++
		}
		if late && len(j.results) == 0 || !overdue && s.backlog.clampStep(j.goal) > s.backlog.clampStep(goal) {
			continue
		}
		for i, st := range j.Stages {
			ahead[st.Service] += j.missing[i]
		}
	}
	return ahead, behind
}

// TestBacklogMatchesTheJobs plays bursts in which jobs are refused, retried, late, restarted and lose
// their owner. The incremental sums of the backlog must always equal those computed from all jobs.
func TestBacklogMatchesTheJobs(t *testing.T) {
	for name, day := range chainDays {
		t.Run(name, func(t *testing.T) {
			m := newChainModel(1)
			steps := 0
			m.check = func() {
				s := m.owner
				if steps++; s == nil || steps%7 != 0 {
					return
				}
				s.advanceBacklog(m.now)
				for _, d := range []time.Duration{-time.Second, 0, 300 * time.Millisecond, 2 * time.Second, time.Minute} {
					ahead, behind := sumOverJobs(s, m.now.Add(d))
					got := map[string]int{}
					for service, q := range s.services {
						got[service] = int(s.piecesAhead(q, m.now, m.now.Add(d)) + q.completedPieces(m.now) + 0.5)
						if float64(ahead[service]) < q.completedPieces(m.now) {
							got[service], ahead[service] = 0, 0
						}
						if ahead[service] != got[service] {
							t.Fatalf("%s before %s: backlog %d, over all jobs %d", service, d, got[service], ahead[service])
						}
					}
					if s.backlog.deferred != behind {
						t.Fatalf("%d deferred, over all jobs %d", s.backlog.deferred, behind)
					}
				}
			}
			day(m)
			m.run(7 * time.Second)
			m.loseOwner(400 * time.Millisecond)
			m.run(8 * time.Second)
		})
	}
}

// BenchmarkEstimate estimates a job beside n others: the cost must not grow with n.
func BenchmarkEstimate(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			m := newChainModel(1)
			newJob := func(i int) Job {
				return Job{ID: fmt.Sprint(i), SubmissionID: fmt.Sprint(i), Stages: chainChats.stages(m.rand), TimeLeft: 12 * time.Second, Goal: 2 * time.Second}
			}
			var last *job
			for i := range n { // past admission, which would refuse most of them
				last = &job{Job: newJob(i), answer: func(Result, error) {}, deadline: m.now.Add(12 * time.Second), goal: m.now.Add(2 * time.Second)}
				m.owner.reset(last)
				m.owner.jobs[last.ID] = last
				m.owner.updateBacklog(last)
			}
			for b.Loop() {
				m.owner.estimate(m.now, last)
			}
		})
	}
}
