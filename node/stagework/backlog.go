package stagework

import (
	"cmp"
	"slices"
	"time"
)

const (
	// backlogStep is the granularity of goals and deadlines in the backlog: one tick of the owner.
	backlogStep = ownerTick
	// backlogSteps is the number of steps tracked, 20 s. Later times count in the last step.
	backlogSteps = 1024
	// maxRanks is the number of ranks of a service from which on those without pieces are dropped: each takes 19 kB.
	maxRanks = 64
)

// backlog sums the work ahead of a new job, so that admission need not walk over all jobs:
// the pieces not done yet, by service, by rank, and by the time step of their jobs' goals, or of
// their deadlines once they are late. A job counts until it is answered.
type backlog struct {
	firstStep int64                // the current step; earlier steps are dropped
	byStep    [backlogSteps][]*job // by the step of their goals, or deadlines once late
}

// serviceBacklog is the backlog of one service, the most urgent rank first.
type serviceBacklog []*rankBacklog

// rankBacklog counts the pieces of one service and rank that are not done yet.
type rankBacklog struct {
	rank     int
	inTime   stepCounts // of jobs that can reach their goal, by its step
	late     stepCounts // of the others, by the step of their deadline
	arrivals arrivals   // of jobs that were admitted in time
}

// stepCounts counts pieces by step.
type stepCounts struct {
	byStep [backlogSteps]int
	total  int
}

func (c *stepCounts) add(step int64, n int) {
	c.byStep[slotFor(step)] += n
	c.total += n
}

// upTo sums the steps from first to last.
func (c *stepCounts) upTo(first, last int64) int {
	if c.total == 0 || last-first >= backlogSteps-1 {
		return c.total
	}
	sum := 0
	for step := first; step <= last; step++ {
		sum += c.byStep[slotFor(step)]
	}
	return sum
}

// backlogEntry is what a job currently adds to the backlog.
type backlogEntry struct {
	listed  bool // it is in the list of a step
	late    bool
	started bool
	step    int64
	pieces  []int // by stage; empty if it adds none
}

func stepAt(t time.Time) int64 { return t.UnixNano() / int64(backlogStep) }

func slotFor(step int64) int { return int(((step % backlogSteps) + backlogSteps) % backlogSteps) }

// clampStep is the step in which a time is counted.
func (b *backlog) clampStep(at time.Time) int64 {
	return min(max(stepAt(at), b.firstStep), b.firstStep+backlogSteps-1)
}

// of returns the backlog of a rank.
func (b *serviceBacklog) of(rank int) *rankBacklog {
	i, found := b.find(rank)
	if !found && len(*b) >= maxRanks {
		*b = slices.DeleteFunc(*b, func(c *rankBacklog) bool { return c.inTime.total+c.late.total == 0 })
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

// advanceBacklog moves the current step to now. Jobs whose goals have passed become late.
func (s *scheduler) advanceBacklog(now time.Time) {
	b, present := &s.backlog, stepAt(now)
	if len(s.jobs) == 0 {
		b.firstStep = present // all steps are empty
	}
	for b.firstStep < present {
		passed := b.byStep[slotFor(b.firstStep)]
		b.byStep[slotFor(b.firstStep)] = nil
		b.firstStep++
		for _, j := range passed {
			j.backlogEntry.listed = false
			if j.answer != nil && !j.late && stepAt(j.goal) < b.firstStep {
				s.makeLate(j)
			}
			s.updateBacklog(j)
		}
	}
}

// updateBacklog updates what a job adds to the backlog. It must be called whenever pieces of the
// job are completed or lost, it becomes late or starts, or it is answered.
func (s *scheduler) updateBacklog(j *job) {
	b, e := &s.backlog, &j.backlogEntry
	s.addPieces(j, -1)
	e.pieces = e.pieces[:0]
	if j.answer == nil {
		return
	}
	e.late, e.started = j.late, !j.postponed
	if e.late {
		e.step = b.clampStep(j.abandonedAt)
	} else {
		e.step = b.clampStep(j.goal)
	}
	if !e.listed {
		e.listed = true
		b.byStep[slotFor(e.step)] = append(b.byStep[slotFor(e.step)], j)
	}
	e.pieces = append(e.pieces, j.missing...)
	s.addPieces(j, 1)
}

// addPieces adds the job's pieces to the sums, or subtracts them with sign -1.
func (s *scheduler) addPieces(j *job, sign int) {
	e := &j.backlogEntry
	for i, n := range e.pieces {
		q := s.services[j.Stages[i].Service]
		if q == nil || n == 0 {
			continue
		}
		c := q.backlog.of(j.rank())
		if e.late {
			c.late.add(e.step, sign*n)
			if e.started {
				q.startedLate += sign * n
			}
		} else {
			c.inTime.add(e.step, sign*n)
		}
	}
}

// piecesAhead is the number of pieces of a service that still have to start before those of the job: those that go
// before them in the queue, see compare. The backlog must be advanced to now.
func (s *scheduler) piecesAhead(q *serviceQueue, j *job) int {
	first, goal, deadline := s.backlog.firstStep, s.backlog.clampStep(j.goal), s.backlog.clampStep(j.abandonedAt)
	sum := 0
	for _, c := range q.backlog {
		switch {
		case j.late && c.rank < j.rank():
			sum += c.inTime.total + c.late.total
		case j.late && c.rank == j.rank():
			sum += c.inTime.total + c.late.upTo(first, deadline)
		case j.late, c.rank < j.rank():
			sum += c.inTime.total
		case c.rank == j.rank():
			sum += c.inTime.upTo(first, goal)
		}
	}
	return max(0, sum-q.running(func(o *job) bool { return j.goesBefore(o, goal, deadline) }))
}

// ownPiecesAhead is the part of piecesAhead with the rank of the job, calls in progress included.
func (s *scheduler) ownPiecesAhead(q *serviceQueue, j *job) int {
	first, c := s.backlog.firstStep, q.backlog.of(j.rank())
	if j.late {
		return c.inTime.total + c.late.upTo(first, s.backlog.clampStep(j.abandonedAt))
	}
	return c.inTime.upTo(first, s.backlog.clampStep(j.goal))
}

// goesBefore reports whether the pieces of another job count in piecesAhead of the job.
func (j *job) goesBefore(o *job, goal, deadline int64) bool {
	e := &o.backlogEntry
	switch {
	case len(e.pieces) == 0 || e.late && !j.late:
		return false
	case o.rank() != j.rank() || j.late && !e.late:
		return o.rank() < j.rank() || j.late && !e.late
	case j.late:
		return e.step <= deadline
	}
	return e.step <= goal
}

// running counts the pieces in calls in progress whose jobs are counted.
func (q *serviceQueue) running(counted func(*job) bool) int {
	n := 0
	for _, w := range q.list {
		if c := w.lastCall; c != nil && w.runningCalls > 0 {
			for _, p := range c.pieces {
				if !p.done && p.epoch == p.job.restarts && counted(p.job) {
					n++
				}
			}
		}
	}
	return n
}

// arrivals counts pieces by the time at which their jobs were admitted. Its zero value is ready to use.
type arrivals struct {
	last  int64             // the latest step counted
	total int               // until the latest step
	until [arrivalSteps]int // total at the end of each step
}

const (
	// arrivalStep is the granularity of arrivals, and arrivalSteps the number of steps kept, 25.6 s.
	arrivalStep  = 100 * time.Millisecond
	arrivalSteps = 256
)

func (a *arrivals) advance(now time.Time) {
	present := now.UnixNano() / int64(arrivalStep)
	for step := max(a.last+1, present-arrivalSteps+1); step <= present; step++ {
		a.until[step%arrivalSteps] = a.total
	}
	a.last = max(a.last, present)
}

func (a *arrivals) count(now time.Time, pieces int) {
	a.advance(now)
	a.total += pieces
	a.until[a.last%arrivalSteps] = a.total
}

// perSecond is the mean rate in a time before now.
func (a *arrivals) perSecond(now time.Time, window time.Duration) float64 {
	if a.total == 0 {
		return 0
	}
	a.advance(now)
	steps := min(max(int64(window/arrivalStep), 1), arrivalSteps-1)
	return float64(a.total-a.until[(a.last-steps)%arrivalSteps]) / (time.Duration(steps) * arrivalStep).Seconds()
}
