package stagework

import (
	"cmp"
	"slices"
	"time"
)

const (
	// goalStep is the granularity at which goals are watched: one tick of the owner.
	goalStep = ownerTick
	// goalSteps is the number of steps tracked, 20 s. Later goals are checked again at the last step.
	goalSteps = 1024
	// maxRanks is the number of ranks of a service from which on those without pieces are dropped.
	maxRanks = 64
)

// goals lists the jobs by the time step of their goals, so that those that pass are found without walking over all jobs.
type goals struct {
	firstStep int64 // the current step; earlier steps are dropped
	byStep    [goalSteps][]*job
}

func stepAt(t time.Time) int64 { return t.UnixNano() / int64(goalStep) }

func slotFor(step int64) int { return int(((step % goalSteps) + goalSteps) % goalSteps) }

// watch has a job become late once its goal has passed.
func (g *goals) watch(j *job) {
	step := min(max(stepAt(j.goal), g.firstStep), g.firstStep+goalSteps-1)
	g.byStep[slotFor(step)] = append(g.byStep[slotFor(step)], j)
}

// advanceGoals moves the current step to now. Jobs whose goals have passed become late.
func (s *scheduler) advanceGoals(now time.Time) {
	g, present := &s.goals, stepAt(now)
	if len(s.jobs) == 0 && g.firstStep < present {
		clear(g.byStep[:])
		g.firstStep = present
	}
	for g.firstStep < present {
		passed := g.byStep[slotFor(g.firstStep)]
		g.byStep[slotFor(g.firstStep)] = nil
		g.firstStep++
		for _, j := range passed {
			switch {
			case j.answer == nil || j.late:
			case stepAt(j.goal) < g.firstStep:
				s.makeLate(now, j)
			default:
				g.watch(j)
			}
		}
	}
}

// serviceBacklog counts the pieces of a service that have been released and are in no call yet, the most urgent rank first.
type serviceBacklog []*rankBacklog

// rankBacklog counts the released pieces of one service and rank: those that wait in the queue, and those of later stages
// of jobs that have started.
type rankBacklog struct {
	rank     int
	released int
}

// of returns the backlog of a rank.
func (b *serviceBacklog) of(rank int) *rankBacklog {
	i, found := b.find(rank)
	if !found && len(*b) >= maxRanks {
		*b = slices.DeleteFunc(*b, func(c *rankBacklog) bool { return c.released == 0 })
		i, _ = b.find(rank)
	}
	if !found {
		*b = slices.Insert(*b, i, &rankBacklog{rank: rank})
	}
	return (*b)[i]
}

func (b *serviceBacklog) find(rank int) (i int, found bool) {
	return slices.BinarySearchFunc(*b, rank, func(c *rankBacklog, r int) int { return cmp.Compare(c.rank, r) })
}

// upTo is the number of released pieces of a rank and the more urgent ones.
func (b serviceBacklog) upTo(rank int) int {
	sum := 0
	for _, c := range b {
		if c.rank <= rank {
			sum += c.released
		}
	}
	return sum
}

// updateReleased updates what the later stages of a job add to the backlogs of their services. It must be called whenever a
// job starts, queues the pieces of a stage, starts anew or is answered.
func (s *scheduler) updateReleased(j *job) {
	for i, n := range j.upcoming {
		if q := s.services[j.Stages[i].Service]; q != nil && n > 0 {
			q.backlog.of(j.rank()).released -= n
		}
	}
	j.upcoming = j.upcoming[:0]
	if j.answer == nil || j.waitsToStart {
		return
	}
	for i, st := range j.Stages {
		n, q := 0, s.services[st.Service]
		if !j.started[i] && q != nil && j.missing[i] > 0 {
			n = j.missing[i]
			q.backlog.of(j.rank()).released += n
		}
		j.upcoming = append(j.upcoming, n)
	}
}
