package stagework

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// pending holds the jobs that have not started. A job that starts while its next services are busy would wait there with
// results that take room, and that expire. So it starts once each of its services gets to its pieces when it reaches them.
// Until then another job may go before it at no cost.
type pending struct {
	jobs    []*job    // by precedence, see comparePending
	passes  passes    // of ranks whose jobs did not start
	checked time.Time // when it was last checked which jobs can start
}

// comparePending orders jobs that can still reach their goals before late ones, then by rank, then by the time at which they
// must start, for the goal or, once late, before their callers leave.
func comparePending(a, b *job) int {
	return cmp.Or(compareBool(a.late, b.late), cmp.Compare(a.rank(), b.rank()), a.startBy.Compare(b.startBy), cmp.Compare(a.serial, b.serial))
}

// remove removes a job that has started or ended.
func (p *pending) remove(j *job) {
	if !j.pending {
		return
	}
	j.pending = false
	if i, found := slices.BinarySearchFunc(p.jobs, j, comparePending); found {
		p.jobs = slices.Delete(p.jobs, i, i+1)
	}
}

// wait has a job wait until it can start.
func (s *scheduler) wait(now time.Time, j *job) {
	j.pending, j.path = true, j.stagePath()
	if j.late {
		j.startBy = j.abandonedAt
	} else {
		j.startBy = j.goal.Add(-s.loadedTime(now, j) - s.margins[j.rank()])
	}
	i, _ := slices.BinarySearchFunc(s.pending.jobs, j, comparePending)
	s.pending.jobs = slices.Insert(s.pending.jobs, i, j)
}

// makeLate marks a job that can no longer reach its goal. It waits to start unless an upstream has worked on it.
func (s *scheduler) makeLate(now time.Time, j *job) {
	waits := j.pending
	s.learn(j, true)
	s.pending.remove(j)
	j.late = true
	if !waits && (j.moving || j.calls > 0 || len(j.results) > 0 || !j.untouched()) {
		return
	}
	s.dequeue(j)
	clear(j.started)
	s.wait(now, j)
}

// stagePath names the services of a job's stages. Jobs with the same path reach their services at about the same times.
func (j *job) stagePath() string {
	var b strings.Builder
	for i, st := range j.Stages {
		if st.Pieces > 0 {
			fmt.Fprintf(&b, "%d%s%v ", i, st.Service, st.DependsOn)
		}
	}
	return b.String()
}

// untouched reports whether no piece of the job is completed.
func (j *job) untouched() bool {
	for i, st := range j.Stages {
		if j.missing[i] < st.Pieces {
			return false
		}
	}
	return true
}

// startNew starts a new job if it goes before all others that wait and its services are ready.
func (s *scheduler) startNew(now time.Time, j *job) {
	if len(s.pending.jobs) > 0 && s.pending.jobs[0] == j && s.owner && s.blockedAt(now, j, newServiceLoads()) == nil {
		s.start(now, j)
	}
}

// startReady starts the jobs whose services get to them in time. It checks them once in a tick.
func (s *scheduler) startReady(now time.Time) {
	if len(s.pending.jobs) == 0 || !s.owner || now.Sub(s.pending.checked) < ownerTick {
		return
	}
	s.pending.checked = now
	s.advanceBacklog(now)
	var late []*job
	defer func() {
		for _, j := range late {
			s.makeLate(now, j)
			s.updateBacklog(j)
		}
	}()
	loads, blocked := newServiceLoads(), map[string][]bool{} // by path: the stages whose services are not ready
	for _, j := range s.pending.inOrder() {
		at := blocked[j.path]
		if at == nil {
			if at = s.blockedAt(now, j, loads); at == nil {
				s.start(now, j)
				for i := range j.Stages {
					loads.add(j, i)
				}
				continue
			}
			blocked[j.path] = at
		}
		if !j.late && now.After(j.startBy) {
			late = append(late, j)
			continue
		}
		for i, here := range at {
			if here { // it is ahead of all that follow it where it waits
				loads.add(j, i)
			}
		}
	}
}

// start starts a job that waits.
func (s *scheduler) start(now time.Time, j *job) {
	s.pending.remove(j)
	s.pending.recordStart(j.rank())
	j.startedAt, j.expected = now, s.loadedTime(now, j)
	s.updateBacklog(j)
	s.advance(now, j)
}

// inOrder returns the jobs, first one of each rank that was passed over too often.
func (p *pending) inOrder() []*job {
	var first, rest []*job
	taken := map[int]bool{}
	for _, j := range p.jobs {
		if rank := j.rank(); p.passes.exhausted(rank) && !taken[rank] {
			taken[rank] = true
			first = append(first, j)
		} else {
			rest = append(rest, j)
		}
	}
	return append(first, rest...)
}

// recordStart counts that a job of a rank started while those of others wait.
func (p *pending) recordStart(rank int) {
	waiting := map[int]bool{}
	for _, j := range p.jobs {
		waiting[j.rank()] = true
	}
	if p.passes == nil {
		p.passes = passes{}
	}
	p.passes.record(map[int]bool{rank: true}, waiting)
}

// serviceLoads are the loads of services by name, as far as they were needed.
type serviceLoads map[string]*serviceLoad

func newServiceLoads() serviceLoads { return serviceLoads{} }

// serviceLoad is the work at a service that goes before jobs that have not started.
type serviceLoad struct {
	ahead float64         // pieces of jobs that have not started and go before all that are checked next
	ranks []startedPieces // of jobs that have started, not in a call yet
	late  float64         // the same of late jobs
	rate  float64         // in pieces a second, in full calls
	call  time.Duration   // of a full batch
	free  time.Duration   // until an upstream can take a call
}

// startedPieces are the pieces in time of a rank.
type startedPieces struct {
	rank   int
	pieces float64
}

// add counts the pieces of a stage of a job that goes before those that are checked next.
func (l serviceLoads) add(j *job, stage int) {
	if load := l[j.Stages[stage].Service]; load != nil {
		load.ahead += float64(j.Stages[stage].Pieces)
	}
}

// before is how many pieces go before those of a job.
func (l *serviceLoad) before(j *job) float64 {
	n := l.ahead
	for _, r := range l.ranks {
		if j.late || r.rank <= j.rank() {
			n += r.pieces
		}
	}
	if j.late {
		n += l.late
	}
	return n
}

// readyAt is how long until an upstream has too little other work for a whole call.
func (l *serviceLoad) readyAt(j *job) time.Duration {
	return max(drainTime(l.before(j), l.rate), l.free) - time.Duration(startAhead*float64(l.call))
}

var startAhead = 0.75

func (s *scheduler) load(now time.Time, service string, loads serviceLoads) *serviceLoad {
	if l := loads[service]; l != nil {
		return l
	}
	q := s.services[service]
	l := &serviceLoad{rate: q.expectedThroughput(), call: fullCall(q.spec), free: never, late: float64(q.startedLate)}
	for _, w := range q.list {
		l.free = min(l.free, w.freeIn(q, now))
	}
	running := q.runningByRank()
	for _, c := range q.backlog {
		l.ranks = append(l.ranks, startedPieces{c.rank, float64(c.started - running.inTime[c.rank])})
	}
	l.late -= float64(running.late)
	if l.rate <= 0 {
		l.rate = q.slowestThroughput()
	}
	loads[service] = l
	return l
}

// blockedAt marks the stages of a job whose services do not get to its pieces when the job reaches them: the work there
// takes longer than the stages before and one call more, so that upstreams do not run out of work meanwhile. It returns nil if
// there are none.
func (s *scheduler) blockedAt(now time.Time, j *job, loads serviceLoads) (stages []bool) {
	reached := s.loadedReach(now, j)
	for i, st := range j.Stages {
		if st.Pieces > 0 && s.load(now, st.Service, loads).readyAt(j) > reached[i] {
			if stages == nil {
				stages = make([]bool, len(j.Stages))
			}
			stages[i] = true
		}
	}
	return stages
}

// reachedAfter returns for each stage of a job how long the stages before it take at least.
func (s *scheduler) reachedAfter(j *job) []time.Duration {
	reached := make([]time.Duration, len(j.Stages))
	for i, st := range j.Stages {
		for _, k := range st.DependsOn {
			reached[i] = max(reached[i], reached[k]+s.stageTime(j.Stages[k]))
		}
	}
	return reached
}

// stageTime is how long a stage takes as one call.
func (s *scheduler) stageTime(st Stage) time.Duration {
	if st.Pieces == 0 {
		return 0
	}
	spec := s.services[st.Service].spec
	return spec.CallTime + time.Duration(st.Pieces)*spec.PieceTime
}

// loadedTime predicts how long the stages of a new job take once it has started.
func (s *scheduler) loadedTime(now time.Time, j *job) time.Duration {
	longest, rest := s.unloadedTime(j), s.remainingTimes(now, j)
	for i, st := range j.Stages {
		if st.Pieces > 0 {
			longest = max(longest, s.runTime(now, st)+rest[i])
		}
	}
	return longest
}

// loadedReach returns for each stage of a job how long the stages before it take.
func (s *scheduler) loadedReach(now time.Time, j *job) []time.Duration {
	reached := make([]time.Duration, len(j.Stages))
	for i, st := range j.Stages {
		for _, k := range st.DependsOn {
			if p := j.Stages[k]; p.Pieces > 0 {
				reached[i] = max(reached[i], reached[k]+s.runTime(now, p))
			}
		}
		_ = st
	}
	return reached
}

var learnQ, learnStep = 0.95, 10 * time.Millisecond

// learn corrects the margin.
func (s *scheduler) learn(j *job, over bool) {
	if j.startedAt.IsZero() || j.learned {
		return
	}
	j.learned = true
	if s.margins == nil {
		s.margins = map[int]time.Duration{}
	}
	m := s.margins[j.rank()]
	if over {
		m += time.Duration(learnQ * float64(learnStep))
	} else {
		m -= time.Duration((1 - learnQ) * float64(learnStep))
	}
	s.margins[j.rank()] = min(max(0, m), time.Second)
}
