package stagework

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// postponed holds the late jobs that have not started. A late job that starts while its next services are busy
// would hold results there that others need the room for, and lose them before it gets on. So it starts once each of
// its services gets to its pieces when it reaches them.
type postponed struct {
	jobs    []*job    // by rank and the time at which their callers leave
	passes  passes    // of ranks whose jobs did not start
	checked time.Time // when it was last checked which jobs can start
}

func comparePostponed(a, b *job) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), a.abandonedAt.Compare(b.abandonedAt), cmp.Compare(a.serial, b.serial))
}

// remove removes a job that has started or ended.
func (p *postponed) remove(j *job) {
	if !j.postponed {
		return
	}
	j.postponed = false
	if i, found := slices.BinarySearchFunc(p.jobs, j, comparePostponed); found {
		p.jobs = slices.Delete(p.jobs, i, i+1)
	}
}

// postpone has a late job wait until it can start.
func (s *scheduler) postpone(j *job) {
	j.postponed, j.path = true, j.stagePath()
	i, _ := slices.BinarySearchFunc(s.postponed.jobs, j, comparePostponed)
	s.postponed.jobs = slices.Insert(s.postponed.jobs, i, j)
}

// makeLate marks a job that can no longer reach its goal. It is postponed unless an upstream has worked on it.
func (s *scheduler) makeLate(j *job) {
	j.late = true
	if j.moving || j.calls > 0 || len(j.results) > 0 || !j.untouched() {
		return
	}
	s.dequeue(j)
	clear(j.started)
	s.postpone(j)
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

// startPostponed starts the postponed jobs whose services get to them in time. It checks them once in a tick.
func (s *scheduler) startPostponed(now time.Time) {
	if len(s.postponed.jobs) == 0 || !s.owner || now.Sub(s.postponed.checked) < ownerTick {
		return
	}
	s.postponed.checked = now
	s.advanceBacklog(now)
	load, notReady := serviceLoads{}, map[string]bool{} // by path
	for _, j := range s.postponed.inOrder() {
		if notReady[j.path] {
			continue
		}
		if !s.servicesReady(now, j, load) {
			notReady[j.path] = true
			continue
		}
		s.postponed.remove(j)
		s.postponed.recordStart(j.rank())
		s.updateBacklog(j)
		for _, st := range j.Stages {
			if st.Pieces > 0 {
				load[st.Service].pieces += float64(st.Pieces)
			}
		}
		s.advance(now, j)
	}
}

// inOrder returns the jobs, those of ranks that were passed over too often first.
func (p *postponed) inOrder() []*job {
	out := slices.Clone(p.jobs)
	if len(p.passes) > 0 {
		slices.SortStableFunc(out, func(a, b *job) int {
			return compareBool(!p.passes.exhausted(a.rank()), !p.passes.exhausted(b.rank()))
		})
	}
	return out
}

// recordStart counts that a job of a rank started while those of others wait.
func (p *postponed) recordStart(rank int) {
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

// serviceLoad is the work at a service that goes before the late jobs that have not started.
type serviceLoad struct {
	pieces float64       // not in a call yet
	rate   float64       // in pieces a second, in full calls
	call   time.Duration // of a full batch
	free   time.Duration // until an upstream can take a call
}

// readyAt is how long until an upstream has too little other work for a whole call.
func (l *serviceLoad) readyAt() time.Duration {
	return max(drainTime(l.pieces, l.rate), l.free) - l.call
}

func (s *scheduler) load(now time.Time, service string, loads serviceLoads) *serviceLoad {
	if l := loads[service]; l != nil {
		return l
	}
	q := s.services[service]
	l := &serviceLoad{pieces: float64(q.startedLate), rate: q.nominalThroughput(), call: fullCall(q.spec), free: never}
	for _, w := range q.list {
		l.free = min(l.free, w.freeIn(q, now))
	}
	for _, c := range q.backlog {
		l.pieces += float64(c.inTime.total)
	}
	l.pieces -= float64(q.running(func(o *job) bool { return len(o.backlogEntry.pieces) > 0 }))
	if l.rate <= 0 {
		l.rate = q.slowestThroughput()
	}
	loads[service] = l
	return l
}

// servicesReady reports whether each service gets to the job's pieces when the job reaches it: the work there takes
// no longer than the stages before and one call more, so that upstreams do not run out of work meanwhile.
func (s *scheduler) servicesReady(now time.Time, j *job, loads serviceLoads) bool {
	reached := s.reachedAfter(j)
	for i, st := range j.Stages {
		if st.Pieces > 0 && s.load(now, st.Service, loads).readyAt() > reached[i] {
			return false
		}
	}
	return true
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
