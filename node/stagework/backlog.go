package stagework

import "time"

const (
	// backlogStep is the granularity of goals in the backlog: one tick of the owner.
	backlogStep = ownerTick
	// backlogSteps is the number of steps tracked, 20 s. Later goals count in the last step.
	backlogSteps = 1024
)

// backlog sums the work ahead of a new job, so that admission need not walk over all jobs:
// the pieces not done yet, by service and by the time step of their jobs' goals. It also counts
// the deferred jobs.
//
// A job counts until it is answered. The pieces of a deferred job count only once it holds
// results: until then it only gets the capacity that others leave.
type backlog struct {
	firstStep int64                // the current step; earlier steps are dropped
	byStep    [backlogSteps][]*job // by the step of their goals
	deferred  int                  // unanswered jobs that are late, are retries, or are past their goal
}

// pendingPieces counts the pieces of one service that are not done yet.
type pendingPieces struct {
	due     [backlogSteps]int // by the step of their jobs' goals
	overdue int               // of jobs past their goal
}

// backlogEntry is what a job currently adds to the backlog.
type backlogEntry struct {
	listed   bool // it is in the list of its step
	deferred bool
	overdue  bool
	step     int64
	pieces   []int // by stage; empty if it adds none
}

func stepAt(t time.Time) int64 { return t.UnixNano() / int64(backlogStep) }

func slotFor(step int64) int { return int(((step % backlogSteps) + backlogSteps) % backlogSteps) }

// clampStep is the step in which a goal is counted.
func (b *backlog) clampStep(goal time.Time) int64 {
	return min(max(stepAt(goal), b.firstStep), b.firstStep+backlogSteps-1)
}

// advanceBacklog moves the current step to now. Jobs whose goals have passed become deferred.
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
			s.updateBacklog(j)
		}
	}
}

// updateBacklog updates what a job adds to the backlog. It must be called whenever pieces of the
// job are completed or lost, its results are added or removed, or it is answered.
func (s *scheduler) updateBacklog(j *job) {
	b, st := &s.backlog, &j.backlogEntry
	s.addPieces(j, -1)
	if st.deferred {
		b.deferred--
	}
	st.pieces, st.deferred = st.pieces[:0], false
	if j.answer == nil {
		return
	}
	st.overdue, st.step = stepAt(j.goal) < b.firstStep, b.clampStep(j.goal)
	if !st.overdue && !st.listed {
		st.listed = true
		b.byStep[slotFor(st.step)] = append(b.byStep[slotFor(st.step)], j)
	}
	if st.deferred = j.retry || j.late || st.overdue; st.deferred {
		b.deferred++
	}
	if st.deferred && len(j.results) == 0 {
		return
	}
	st.pieces = append(st.pieces, j.missing...)
	s.addPieces(j, 1)
}

// addPieces adds the job's pieces to the sums, or subtracts them with sign -1.
func (s *scheduler) addPieces(j *job, sign int) {
	for i, n := range j.backlogEntry.pieces {
		q := s.services[j.Stages[i].Service]
		switch {
		case q == nil || n == 0:
		case j.backlogEntry.overdue:
			q.pending.overdue += sign * n
		default:
			q.pending.due[slotFor(j.backlogEntry.step)] += sign * n
		}
	}
}

// piecesAhead is the number of pieces of a service still to do for jobs whose goals are no later than
// goal. Of the calls in progress only the unfinished part counts: half of it on average, or 0.15 s of
// a service's work. The backlog must be advanced to now.
func (s *scheduler) piecesAhead(q *serviceQueue, now, goal time.Time) float64 {
	pieces := q.pending.overdue
	for step := s.backlog.firstStep; step <= s.backlog.clampStep(goal); step++ {
		pieces += q.pending.due[slotFor(step)]
	}
	return max(0, float64(pieces)-q.completedPieces(now))
}
