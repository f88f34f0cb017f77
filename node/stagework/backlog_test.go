package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// sumOverJobs computes from all jobs how many pieces go before those of a job, by service.
func sumOverJobs(s *scheduler, n *job) map[string]int {
	ahead := map[string]int{}
	before := func(j *job) bool {
		switch {
		case j.late != n.late:
			return n.late // those in time go before all late ones
		case j.rank() != n.rank():
			return j.rank() < n.rank()
		case n.late:
			return s.backlog.clampStep(j.abandonedAt) <= s.backlog.clampStep(n.abandonedAt)
		}
		return s.backlog.clampStep(j.goal) <= s.backlog.clampStep(n.goal)
	}
	counted := func(j *job) bool {
		return j.answer != nil && (before(j) || n.late && j.rank() < n.rank())
	}
	for _, j := range s.jobs {
		for i, st := range j.Stages {
			if counted(j) {
				ahead[st.Service] += j.missing[i]
			}
		}
	}
	for service, q := range s.services {
		for _, w := range q.list {
			if c := w.lastCall; c != nil && w.runningCalls > 0 {
				for _, p := range c.pieces {
					if counted(p.job) && !p.done && p.epoch == p.job.restarts {
						ahead[service]--
					}
				}
			}
		}
	}
	return ahead
}

// TestBacklogMatchesTheJobs plays bursts in which jobs are refused, retried, late, restarted and lose
// their owner. The incremental sums of the backlog must always equal those computed from all jobs.
func TestBacklogMatchesTheJobs(t *testing.T) {
	every := 7 // events
	if testing.Short() {
		every = 71 // the race detector finds nothing in one goroutine, and takes minutes
	}
	for name, day := range chainDays {
		t.Run(name, func(t *testing.T) {
			m := newChainModel(1)
			steps := 0
			m.check = func() {
				s := m.owner
				if steps++; s == nil || steps%every != 0 {
					return
				}
				s.advanceBacklog(m.now)
				for _, d := range []time.Duration{-time.Second, 0, 300 * time.Millisecond, 2 * time.Second, time.Minute} {
					priority := steps / every % 4
					n := &job{Job: Job{Priority: priority}, goal: m.now.Add(d), abandonedAt: m.now.Add(d + 4*time.Second), late: steps%2 == 0}
					ahead := sumOverJobs(s, n)
					for service, q := range s.services {
						if got := s.piecesAhead(q, n); got != ahead[service] {
							t.Fatalf("%s before %s, priority %d, late %v: backlog %d, over all jobs %d", service, d, priority, n.late, got, ahead[service])
						}
					}
				}
				for service, q := range s.services {
					late := 0
					for _, j := range s.jobs {
						for i, st := range j.Stages {
							if st.Service == service && j.answer != nil && j.late && !j.postponed {
								late += j.missing[i]
							}
						}
					}
					if late != q.startedLate {
						t.Fatalf("%s: %d pieces of late jobs that have started, over all jobs %d", service, q.startedLate, late)
					}
				}
				for _, j := range s.postponed.jobs {
					if !j.postponed || !j.late || j.answer == nil || s.jobs[j.SubmissionID] != j {
						t.Fatalf("postponed: %+v", j)
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
				last = &job{Job: newJob(i), answer: func(Result, error) {}, deadline: m.now.Add(12 * time.Second), abandonedAt: m.now.Add(12 * time.Second), goal: m.now.Add(2 * time.Second)}
				m.owner.reset(last)
				m.owner.jobs[last.ID] = last
				m.owner.updateBacklog(last)
			}
			for b.Loop() {
				m.owner.estimate(m.now, last, true)
			}
		})
	}
}

// TestBacklogOfRanksIsBounded guards against memory that grows with every priority that was ever configured.
func TestBacklogOfRanksIsBounded(t *testing.T) {
	var b serviceBacklog
	b.of(-1).inTime.add(0, 1)
	for rank := range 10 * maxRanks {
		b.of(rank)
	}
	if len(b) > maxRanks || b.of(-1).inTime.total != 1 || !slices.IsSortedFunc(b, func(x, y *rankBacklog) int { return x.rank - y.rank }) {
		t.Fatalf("%d ranks", len(b))
	}
}
