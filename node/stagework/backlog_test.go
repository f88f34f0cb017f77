package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// releasedPieces computes from all jobs how many released pieces of each rank a service has in no call.
func releasedPieces(s *scheduler, service string) map[int]int {
	out := map[int]int{}
	for _, p := range s.services[service].waiting {
		out[p.job.rank()]++
	}
	for _, j := range s.jobs {
		for i, st := range j.Stages {
			if st.Service == service && j.answer != nil && !j.waitsToStart && !j.started[i] {
				out[j.rank()] += j.missing[i]
			}
		}
	}
	return out
}

// jobsAhead computes from all jobs how many start before one in its group.
func jobsAhead(s *scheduler, n *job, late bool, startBy time.Time) int {
	ahead := 0
	for _, j := range s.jobs {
		if j.waitsToStart && j.pending == n.pendingKey(late) && !j.startBy.After(startBy) {
			ahead++
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
				s.advanceGoals(m.now)
				for _, j := range s.jobs {
					if j.answer != nil && !j.late && j.goal.Before(m.now.Add(-goalStep)) {
						t.Fatalf("the goal of a job in time has passed: %+v", j)
					}
				}
				for _, d := range []time.Duration{-time.Second, 0, 300 * time.Millisecond, 2 * time.Second, time.Minute} {
					priority, late, startBy := steps/every%4, steps%2 == 0, m.now.Add(d)
					n := &job{Job: Job{Priority: priority, Stages: chainChats.stages(m.rand)}}
					if got, want := s.pending.ahead(n.pendingKey(late), startBy), jobsAhead(s, n, late, startBy); got != want {
						t.Fatalf("before %s, priority %d, late %v: %d jobs, over all jobs %d", d, priority, late, got, want)
					}
				}
				for service, q := range s.services {
					released := releasedPieces(s, service)
					for _, c := range q.backlog {
						if c.released != released[c.rank] {
							t.Fatalf("%s: %d pieces of rank %d wait or will come, over all jobs %d", service, c.released, c.rank, released[c.rank])
						}
						delete(released, c.rank)
					}
					for rank, n := range released {
						if n != 0 {
							t.Fatalf("%s: %d pieces of rank %d are not counted", service, n, rank)
						}
					}
				}
				waiting := 0
				for _, g := range s.pending.groups {
					if waiting += len(g.jobs); len(g.jobs) == 0 || !slices.IsSortedFunc(g.jobs, comparePending) {
						t.Fatalf("a group without jobs, or out of order: %+v", g)
					}
					for _, j := range g.jobs {
						if !j.waitsToStart || j.answer == nil || j.late != g.late || j.rank() != g.rank || s.jobs[j.SubmissionID] != j {
							t.Fatalf("pending: %+v", j)
						}
					}
				}
				if waiting != s.pending.jobs || !slices.IsSortedFunc(s.pending.groups, func(a, b *pendingGroup) int { return comparePendingKeys(a.pendingKey, b.pendingKey) }) {
					t.Fatalf("%d jobs wait to start, counted %d", waiting, s.pending.jobs)
				}
			}
			day(m)
			m.run(7 * time.Second)
			m.loseOwner(400 * time.Millisecond)
			m.run(8 * time.Second)
		})
	}
}

// BenchmarkPredict predicts the time of a job beside n others: the cost must not grow with n.
func BenchmarkPredict(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			m := newChainModel(1)
			var last *job
			for i := range n { // past admission, which would refuse most of them
				last = &job{Job: Job{ID: fmt.Sprint(i), SubmissionID: fmt.Sprint(i), Stages: chainChats.stages(m.rand), TimeLeft: 12 * time.Second, Goal: 2 * time.Second},
					answer: func(Result, error) {}, arrived: m.now, deadline: m.now.Add(12 * time.Second), abandonedAt: m.now.Add(12 * time.Second), goal: m.now.Add(2 * time.Second)}
				m.owner.reset(last)
				m.owner.jobs[last.ID] = last
				m.owner.wait(m.now, last)
			}
			for b.Loop() {
				m.owner.predict(m.now, last)
			}
		})
	}
}

// TestBacklogOfRanksIsBounded guards against memory that grows with every priority that was ever configured.
func TestBacklogOfRanksIsBounded(t *testing.T) {
	var b serviceBacklog
	b.of(-1).released = 1
	for rank := range 10 * maxRanks {
		b.of(rank)
	}
	if len(b) > maxRanks || b.of(-1).released != 1 || !slices.IsSortedFunc(b, func(x, y *rankBacklog) int { return x.rank - y.rank }) {
		t.Fatalf("%d ranks", len(b))
	}
}
