package stagework

import "time"

const (
	// backlogStep is the span within which goals count as due together: a tick of the owner.
	backlogStep = ownerTick
	// backlogSteps is how many such spans are told apart, 20 s. Goals beyond count as due in
	// the last one.
	backlogSteps = 1024
)

// backlog knows what goes before a new job without a walk over all jobs under way: pieces that
// are still to be made stand in sums, by service and by the step of time in which their jobs'
// goals are due. It also counts the jobs that are behind first tries.
//
// A job counts until it is answered. One that is behind first tries counts once it holds
// results: before that it only gets what others leave.
type backlog struct {
	first  int64                // the step that holds the present; none before it is told apart
	steps  [backlogSteps][]*job // by the step of their goals
	behind int                  // jobs not answered that are late, came back, or are past their goal
}

// pieceSums are the pieces of one service that are still to be made.
type pieceSums struct {
	due     [backlogSteps]int // by the step of their jobs' goals
	overdue int               // of jobs whose goals have passed
}

// standing is what a job adds to the backlog.
type standing struct {
	listed  bool // in the list of a step
	behind  bool
	overdue bool
	step    int64
	pieces  []int // by stage; empty where it adds none
}

func stepOf(t time.Time) int64 { return t.UnixNano() / int64(backlogStep) }

func slotOf(step int64) int { return int(((step % backlogSteps) + backlogSteps) % backlogSteps) }

// place is the step in which a goal stands.
func (b *backlog) place(goal time.Time) int64 {
	return min(max(stepOf(goal), b.first), b.first+backlogSteps-1)
}

// pass moves the present on. Jobs whose goals have passed are behind from then on.
func (s *scheduler) pass(now time.Time) {
	b, present := &s.backlog, stepOf(now)
	if len(s.jobs) == 0 {
		b.first = present // nothing stands in any step
	}
	for b.first < present {
		passed := b.steps[slotOf(b.first)]
		b.steps[slotOf(b.first)] = nil
		b.first++
		for _, j := range passed {
			j.standing.listed = false
			s.recount(j)
		}
	}
}

// recount brings what a job adds to the backlog up to date. It follows each event by which
// pieces of the job are made or missing again, its results come or go, or it is answered.
func (s *scheduler) recount(j *job) {
	b, st := &s.backlog, &j.standing
	s.addPieces(j, -1)
	if st.behind {
		b.behind--
	}
	st.pieces, st.behind = st.pieces[:0], false
	if j.answer == nil {
		return
	}
	st.overdue, st.step = stepOf(j.goal) < b.first, b.place(j.goal)
	if !st.overdue && !st.listed {
		st.listed = true
		b.steps[slotOf(st.step)] = append(b.steps[slotOf(st.step)], j)
	}
	if st.behind = j.returned || j.late || st.overdue; st.behind {
		b.behind++
	}
	if st.behind && len(j.made) == 0 {
		return
	}
	st.pieces = append(st.pieces, j.missing...)
	s.addPieces(j, 1)
}

// addPieces adds what a job adds to the sums, or with sign -1 takes it away.
func (s *scheduler) addPieces(j *job, sign int) {
	for i, n := range j.standing.pieces {
		q := s.services[j.Stages[i].Service]
		switch {
		case q == nil || n == 0:
		case j.standing.overdue:
			q.sums.overdue += sign * n
		default:
			q.sums.due[slotOf(j.standing.step)] += sign * n
		}
	}
}

// ahead is how many pieces of a service are not made yet of jobs whose goal comes by then. Of calls under way
// only the part counts that is still to be done: half of them on average, 0.15 s of a service's
// work. The present must have been passed on.
func (s *scheduler) ahead(q *serviceQueue, now, goal time.Time) float64 {
	pieces := q.sums.overdue
	for step := s.backlog.first; step <= s.backlog.place(goal); step++ {
		pieces += q.sums.due[slotOf(step)]
	}
	return max(0, float64(pieces)-q.done(now))
}
