package stagework

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"caperdrum.org/api/optext"
)

// pendingJobs holds the jobs that were admitted and have not started. A job starts once each of its services gets to its
// pieces when they reach it, so that the work that has started is in time whatever is asked for, more urgent callers
// that come later go before it at no cost, and what cannot be in time any more has used nothing.
type pendingJobs struct {
	groups []*pendingGroup // by comparePendingKeys
	flows  map[pendingKey]*startFlow
	jobs   int
	now    time.Time // of the last event
	passes passes    // of ranks with jobs in time that did not start
}

// pendingKey is what the jobs of a group have in common.
type pendingKey struct {
	late bool // none of them can reach its goal
	rank int
	path string // the services of their stages
}

func comparePendingKeys(a, b pendingKey) int {
	return cmp.Or(compareBool(a.late, b.late), cmp.Compare(a.rank, b.rank), cmp.Compare(a.path, b.path))
}

// pendingGroup holds jobs that differ in their times only, so that if the first one cannot start no other one can.
type pendingGroup struct {
	pendingKey
	services []string
	jobs     []*job         // by comparePending
	pieces   map[string]int // of its jobs, by service
}

func comparePending(a, b *job) int {
	return cmp.Or(a.startBy.Compare(b.startBy), cmp.Compare(a.serial, b.serial))
}

// add has a job wait until it can start.
func (p *pendingJobs) add(now time.Time, j *job) {
	p.now = now
	j.pending = j.pendingKey(j.late)
	p.flow(j.pending).advance(now, true)
	i, found := p.find(j.pending)
	if !found {
		p.groups = slices.Insert(p.groups, i, &pendingGroup{pendingKey: j.pending, services: j.path, pieces: map[string]int{}})
	}
	g := p.groups[i]
	at, _ := slices.BinarySearchFunc(g.jobs, j, comparePending)
	g.jobs = slices.Insert(g.jobs, at, j)
	g.countPieces(j, 1)
	j.waitsToStart = true
	p.jobs++
}

func (p *pendingJobs) find(k pendingKey) (i int, found bool) {
	return slices.BinarySearchFunc(p.groups, k, func(g *pendingGroup, k pendingKey) int { return comparePendingKeys(g.pendingKey, k) })
}

// remove removes a job that starts, ends or becomes late.
func (p *pendingJobs) remove(j *job) {
	if !j.waitsToStart {
		return
	}
	j.waitsToStart = false
	p.jobs--
	i, _ := p.find(j.pending)
	g := p.groups[i]
	g.countPieces(j, -1)
	at, _ := slices.BinarySearchFunc(g.jobs, j, comparePending)
	if g.jobs = slices.Delete(g.jobs, at, at+1); len(g.jobs) == 0 {
		p.groups = slices.Delete(p.groups, i, i+1)
	}
	p.flow(j.pending).advance(p.now, len(g.jobs) > 0)
}

// pendingKey is the key of the group in which the job waits to start, in time or late.
func (j *job) pendingKey(late bool) pendingKey {
	if j.path == nil {
		j.path = j.servicePath()
	}
	return pendingKey{late, j.rank(), strings.Join(j.path, " ")}
}

// waitOf predicts how long a job in time waits to start that must do so by then, and names the service for which it waits.
func (p *pendingJobs) waitOf(now time.Time, j *job, startBy time.Time) (wait time.Duration, service string) {
	k := j.pendingKey(false)
	return p.flow(k).timeFor(now, p.ahead(k, startBy)), p.flow(k).blockedBy
}

// lateAhead counts the jobs that a late one has before it: late ones that start before it, and those of its own group in time,
// which would start before it or become late with it.
func (p *pendingJobs) lateAhead(j *job) int {
	k, own := j.pendingKey(true), j.pendingKey(false)
	n := p.ahead(k, j.abandonedAt)
	for _, g := range p.groups {
		if g.late && g.rank < k.rank || g.pendingKey == own {
			n += len(g.jobs)
		}
	}
	return n
}

// ahead counts the jobs of a group that start before one that must start by then.
func (p *pendingJobs) ahead(k pendingKey, startBy time.Time) int {
	i, found := p.find(k)
	if !found {
		return 0
	}
	n, _ := slices.BinarySearchFunc(p.groups[i].jobs, startBy, func(j *job, at time.Time) int {
		return cmp.Or(j.startBy.Compare(at), -1) // behind those with the same time
	})
	return n
}

// flow returns the flow of a group.
func (p *pendingJobs) flow(k pendingKey) *startFlow {
	f := p.flows[k]
	if f == nil {
		if p.flows == nil || len(p.flows) >= maxFlows {
			p.flows = map[pendingKey]*startFlow{}
		}
		f = &startFlow{}
		p.flows[k] = f
	}
	return f
}

// maxFlows is the number of flows from which on all are measured anew.
const maxFlows = 1024

// startFlow measures how fast the jobs of a group start while some wait. Both sums decay.
type startFlow struct {
	starts    float64
	seconds   float64 // with jobs that waited
	at        time.Time
	waiting   bool
	blockedBy string // the service for which its first job waited last

	overrun, deviation time.Duration // what its jobs in time took beyond busyTime, as moving averages
}

// advance adds the time until now, and records whether jobs wait from now on.
func (f *startFlow) advance(now time.Time, waiting bool) {
	if d := now.Sub(f.at); d > 0 {
		keep := math.Exp(-d.Seconds() / rateWindow.Seconds())
		f.starts *= keep
		f.seconds *= keep
		if f.waiting {
			f.seconds += (1 - keep) * rateWindow.Seconds()
		}
		f.at = now
	}
	f.waiting = waiting
}

// timeFor predicts how long that many jobs take to start. Until enough is measured nothing is known to hold them up.
func (f *startFlow) timeFor(now time.Time, jobs int) time.Duration {
	f.advance(now, f.waiting)
	if f.seconds < priorTime.Seconds() {
		return 0
	}
	return drainTime(float64(jobs), f.starts/f.seconds)
}

// recordEnd records how much longer than busyTime a job took that started in time.
func (f *startFlow) recordEnd(overrun time.Duration) {
	const weight = 0.1
	f.deviation += time.Duration(weight * float64((overrun-f.overrun).Abs()-f.deviation))
	f.overrun += time.Duration(weight * float64(overrun-f.overrun))
}

// margin is the time that nearly all jobs need beyond busyTime.
func (f *startFlow) margin() time.Duration { return max(0, f.overrun+2*f.deviation) }

func (g *pendingGroup) countPieces(j *job, sign int) {
	for _, st := range j.Stages {
		if st.Pieces > 0 {
			g.pieces[st.Service] += sign * st.Pieces
		}
	}
}

// piecesAhead is the number of pieces of a service that wait there for a call, or wait to start for it, and go before those of
// a new job. Jobs that wait to start for another service are not counted: they take what that one leaves them.
func (p *pendingJobs) piecesAhead(q *serviceQueue, j *job, startBy time.Time) int {
	own := j.pendingKey(j.late)
	n := q.backlog.upTo(own.rank)
	for _, g := range p.groups {
		pieces := g.pieces[q.name]
		if pieces == 0 || p.flow(g.pendingKey).blockedBy != q.name {
			continue
		}
		switch {
		case g.rank == own.rank && g.late == own.late:
			n += pieces * p.ahead(g.pendingKey, startBy) / len(g.jobs)
		case !g.late && (j.late || g.rank < own.rank), g.late && j.late && g.rank < own.rank:
			n += pieces
		}
	}
	return n
}

// needs reports whether a job that waits to start needs a service.
func (p *pendingJobs) needs(service string) bool {
	return slices.ContainsFunc(p.groups, func(g *pendingGroup) bool { return g.pieces[service] > 0 })
}

// next returns the job to start next of those that need none of the blocked services; nil: none. First come ranks that
// were passed over too often, then jobs in time before late ones, then by rank, then by the latest time to start.
func (p *pendingJobs) next(blocked []string) *job {
	var best *pendingGroup
	for _, g := range p.groups {
		if slices.ContainsFunc(g.services, func(service string) bool { return slices.Contains(blocked, service) }) {
			continue
		}
		if best == nil || p.compareGroups(g, best) < 0 {
			best = g
		}
	}
	if best == nil {
		return nil
	}
	return best.jobs[0]
}

func (p *pendingJobs) compareGroups(a, b *pendingGroup) int {
	return cmp.Or(compareBool(!p.goesFirst(a), !p.goesFirst(b)), compareBool(a.late, b.late), cmp.Compare(a.rank, b.rank), comparePending(a.jobs[0], b.jobs[0]))
}

// goesFirst reports whether the group's rank was passed over so often that it goes first. Late jobs get what is left over.
func (p *pendingJobs) goesFirst(g *pendingGroup) bool { return !g.late && p.passes.exhausted(g.rank) }

// recordStart counts that a job in time of a rank started while those of others wait.
func (p *pendingJobs) recordStart(rank int) {
	waiting := map[int]bool{}
	for _, g := range p.groups {
		if !g.late {
			waiting[g.rank] = true
		}
	}
	if p.passes == nil {
		p.passes = passes{}
	}
	p.passes.record(map[int]bool{rank: true}, waiting)
}

// servicePath lists the services of the job's stages.
func (j *job) servicePath() []string {
	out := []string{}
	for _, st := range j.Stages {
		if st.Pieces > 0 && !slices.Contains(out, st.Service) {
			out = append(out, st.Service)
		}
	}
	return out
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

// wait has a job that has not started wait until it can.
func (s *scheduler) wait(now time.Time, j *job) {
	j.startBy = j.abandonedAt
	if !j.late {
		j.startBy = s.startBy(j)
	}
	s.pending.add(now, j)
}

// startBy is the latest time at which a job may start to reach its goal beside other work, if all goes as expected.
func (s *scheduler) startBy(j *job) time.Time { return j.goal.Add(-s.neededTime(j)) }

// neededTime is how long a job takes from its start: beside other work where its goal leaves time for that, and where its
// caller waits for a late answer.
func (s *scheduler) neededTime(j *job) time.Duration {
	if needs := s.busyTime(j); needs <= j.goal.Sub(j.arrived) && j.goal.Before(j.mustEnd()) {
		return needs
	}
	return s.unloadedTime(j)
}

// margin is how much earlier than startBy a job is to start, for what nobody can foresee: as much as others like it took
// longer than expected, and at most half of the time that it can wait.
func (s *scheduler) margin(j *job) time.Duration {
	if !j.goal.Before(j.mustEnd()) {
		return 0
	}
	spare := j.goal.Sub(j.arrived) - s.neededTime(j)
	return min(s.pending.flow(j.pendingKey(false)).margin(), max(0, spare)/2)
}

// busyTime is how long the stages of a job take once it has started while its services are busy.
func (s *scheduler) busyTime(j *job) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Stages))
	for i, st := range j.Stages {
		for _, k := range st.DependsOn {
			ends[i] = max(ends[i], ends[k])
		}
		if st.Pieces > 0 {
			ends[i] += busyCall(s.services[st.Service].spec)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// makeLate marks a job that can no longer reach its goal. It starts anew unless an upstream has worked on it.
func (s *scheduler) makeLate(now time.Time, j *job) {
	waited := j.waitsToStart
	s.pending.remove(j)
	s.recordOverrun(now, j)
	j.late = true
	if !waited && (j.moving || j.calls > 0 || len(j.results) > 0 || !j.untouched()) {
		return
	}
	s.dequeue(j)
	clear(j.started)
	s.wait(now, j)
	s.updateReleased(j)
}

// recordOverrun records how long a job took that started in time, or that it has passed its goal.
func (s *scheduler) recordOverrun(now time.Time, j *job) {
	if j.startedInTime {
		s.pending.flow(j.pending).recordEnd(now.Sub(j.startedAt) - s.busyTime(j))
		j.startedInTime = false
	}
}

// startReady starts the pending jobs whose services get to them in time. A job that cannot start yet holds up those
// behind it that need the service for which it waits.
func (s *scheduler) startReady(now time.Time) {
	if s.pending.jobs == 0 || !s.owner {
		return
	}
	s.pending.now = now
	s.advanceGoals(now)
	s.expireStarts(now)
	loads := serviceLoads{}
	var blocked []string
	for {
		j := s.pending.next(blocked)
		if j == nil {
			return
		}
		if service := s.busyService(now, j, loads); service != "" {
			blocked = append(blocked, service)
			s.pending.flow(j.pending).blockedBy = service
			continue
		}
		s.start(now, j)
	}
}

// start queues the first stages of a pending job.
func (s *scheduler) start(now time.Time, j *job) {
	j.startedAt = now
	f := s.pending.flow(j.pending)
	f.advance(now, true)
	f.starts++
	s.pending.remove(j)
	if j.startedInTime = !j.late; j.startedInTime {
		s.pending.recordStart(j.rank())
	} else {
		s.lateStarts.count(now, 1)
	}
	s.updateReleased(j)
	s.advance(now, j)
}

// expireStarts marks the pending jobs as late that can no longer reach their goals, and ends those among them for which the
// work ahead leaves no time.
func (s *scheduler) expireStarts(now time.Time) {
	var late []*job
	for _, g := range s.pending.groups {
		if g.late {
			break
		}
		for _, j := range g.jobs {
			if !j.startBy.Before(now.Add(s.margin(j))) {
				break
			}
			late = append(late, j)
		}
	}
	for _, j := range late {
		s.makeLate(now, j)
		if estimate := s.lateEstimate(now, j); now.Add(estimate).After(j.mustEnd()) {
			s.endJob(j, Result{}, errOverloaded(s.retryAfter(j.deadline.Sub(now), estimate-s.unloadedTime(j))))
			s.forgetJob(j)
		}
	}
}

// serviceLoads are the loads of services by name, as far as they were needed.
type serviceLoads map[string]*serviceLoad

// serviceLoad is what a service can do for the jobs that have not started.
type serviceLoad struct {
	queue *serviceQueue
	rate  float64       // in pieces a second, in full calls
	spare time.Duration // of work that waits, so that no upstream runs out of it
	free  time.Duration // until an upstream can take a call
	idle  int           // pieces that idle upstreams can take at once
}

// readyAt is how long until the service gets to a new piece of a rank that reaches it after the given time, less the work
// that is to wait there.
func (l *serviceLoad) readyAt(rank int, reached time.Duration) time.Duration {
	pieces := l.queue.backlog.upTo(rank)
	if reached == 0 {
		pieces = max(0, pieces-l.idle)
	}
	return max(drainTime(float64(pieces), l.rate)-l.spare, l.free-fullCall(l.queue.spec))
}

func (s *scheduler) load(now time.Time, service string, loads serviceLoads) *serviceLoad {
	if l := loads[service]; l != nil {
		return l
	}
	q := s.services[service]
	l := &serviceLoad{queue: q, rate: q.nominalThroughput() * float64(max(1, q.spec.Calls)), free: never}
	if l.rate <= 0 {
		l.rate = q.slowestThroughput()
	}
	l.spare = max(fullCall(q.spec)/spareDivisor, drainTime(float64(q.spec.Batch), l.rate))
	for _, w := range q.list {
		l.free = min(l.free, w.freeIn(q, now))
		if q.canTake(w, now) {
			l.idle += q.spec.Batch
		}
	}
	loads[service] = l
	return l
}

// spareDivisor sets the work that is to wait at a service: a quarter of a call of each upstream, and a batch at least.
const spareDivisor = 4

// busyService returns a service that does not get to the job's pieces yet when they reach it; empty: the job can start.
func (s *scheduler) busyService(now time.Time, j *job, loads serviceLoads) string {
	rank := j.rank()
	if j.late {
		rank = math.MaxInt
	}
	reached := s.reachedAfter(j)
	for i, st := range j.Stages {
		if st.Pieces > 0 && s.load(now, st.Service, loads).readyAt(rank, reached[i]) > reached[i] {
			return st.Service
		}
	}
	return ""
}

// reachedAfter returns for each stage of a job how long the calls of the stages before it take.
func (s *scheduler) reachedAfter(j *job) []time.Duration {
	reached := make([]time.Duration, len(j.Stages))
	for i, st := range j.Stages {
		for _, k := range st.DependsOn {
			if before := j.Stages[k]; before.Pieces > 0 {
				reached[i] = max(reached[i], reached[k]+s.services[before.Service].meanWait+s.services[before.Service].expectedCall())
			}
		}
	}
	return reached
}

// busyCall is how long a piece takes at a service that is busy: the wait for an upstream, and a call that others join.
func busyCall(spec *optext.Service) time.Duration { return spec.CallTime/4 + fullCall(spec) }
