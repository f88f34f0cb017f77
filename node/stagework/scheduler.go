package stagework

import (
	"maps"
	"slices"
	"time"

	"caperdrum.org/node/rollout"
	"caperdrum.org/node/upstream"
)

const (
	// starvedAfter is how long a job that is late may wait for a call of its pieces:
	// what a burst takes to pass its peak.
	starvedAfter = 2 * time.Second
	// starvedComeBack is when its caller should come back, if it still can.
	starvedComeBack = time.Second
)

// scheduler decides which pieces go to which upstream. It reads no clock and
// does no I/O; one goroutine owns it.
type scheduler struct {
	services map[string]*serviceQueue
	jobs     map[string]*job
	serial   uint64
	owner    bool // this process starts calls
	asks     asks
	due      bool // something happened by which calls may be started
	news     []news
	lost     []*worker // that have started again, until takeLost
	engines  *engines
	split    *rollout.Splitter
	counter  *rollout.Counter
	sentAway sentAway
	ended    rate    // of jobs whose stages were done
	fetching []*call // whose inputs are being fetched
	backlog  backlog
	gauged   time.Time
	reach    *reach
	still    *standstill
	doubted  bool // this process owned the queues before the last one, and has not been confirmed since

	lastEstimate time.Duration // of the last job that was handed in
	lastReturned bool          // its caller was sent away before
}

func newScheduler() *scheduler {
	e := newEngines()
	return &scheduler{services: map[string]*serviceQueue{}, jobs: map[string]*job{}, engines: e, split: e.split, reach: e.reach, still: e.still, counter: rollout.NewCounter(), sentAway: sentAway{}}
}

// remake begins jobs anew whose results lay at upstreams that have started again, and
// returns their results elsewhere, which are to be freed. Otherwise a call of the next stage or of the
// engine would find out, after the time that it takes.
func (s *scheduler) remake(now time.Time, lost []*worker) []made {
	if len(lost) == 0 {
		return nil
	}
	var out []made
	for _, j := range s.jobs {
		if j.answer == nil || !slices.ContainsFunc(j.made, func(m made) bool { return m.worker.lost }) {
			continue
		}
		if j.restarts >= maxRestarts {
			s.end(j, Result{}, errStages(string(upstream.InputGone)))
			out = append(out, s.forget(j)...)
			continue
		}
		out = append(out, s.restart(now, j)...)
	}
	return out
}

// add queues the first stages of a job, or those after the ones that an owner before
// has made. answer is called once. It returns results that are to be freed.
func (s *scheduler) add(now time.Time, j Job, answer func(Result, error)) []made {
	if !s.owner {
		answer(Result{}, errMoved())
		return nil
	}
	if err := j.valid(); err != nil {
		answer(Result{}, err)
		return nil
	}
	s.serial++
	n := &job{Job: j, firstEvent: now.Add(j.FirstEvent), serial: s.serial, arrived: now, deadline: now.Add(j.Left), goal: now.Add(j.Goal), answer: answer}
	for _, st := range j.Stages {
		if st.Pieces > 0 && s.services[st.Service] == nil {
			answer(Result{}, errStages("service "+st.Service+" makes no pieces"))
			return nil
		}
		if st.Pieces > 0 && !s.services[st.Service].within(j.Within) {
			answer(Result{}, errNowhere(st.Service, j.Within))
			return nil
		}
	}
	s.reset(n)
	s.foresee(now, n)
	if !s.resume(now, n) && n.pieces() > 0 && !s.goesOn(now, n) {
		if wait, refused := s.refuse(now, n); refused {
			answer(Result{}, errBusy(wait))
			return nil
		}
	}
	s.pass(now)
	s.jobs[j.Handed] = n
	s.recount(n)
	if j.Again {
		n.countHandedAgain()
	}
	s.advance(now, n)
	return s.freeInputs(n)
}

// foresee finds the engine that would take the job's call now: its stages leave it the
// time that it should take, and large results are made in its data centre.
func (s *scheduler) foresee(now time.Time, j *job) {
	if j.Prompt == nil {
		return
	}
	x := s.engines.choose(now, j.firstEvent, j.Prompt, nil)
	if x.engine.ID == "" {
		return
	}
	j.DataCenter = x.engine.DataCenter
	j.goal = j.firstEvent.Add(-x.begins - engineMargin)
}

// engineMargin is left between the stages and the first event besides what an engine
// should take: four ways between processes, and a step of the engine.
const engineMargin = 30 * time.Millisecond

// own takes the ownership or gives it up. Jobs that are given up go on at the next
// owner; of what was made for them, that is freed of which nobody was told. With
// after there was an owner before this one.
func (s *scheduler) own(now time.Time, owner, after bool) []made {
	if owner && after && !s.owner {
		s.askAll(now)
	}
	if owner && !s.owner {
		s.reach.forget() // it has made no calls lately
	}
	s.owner, s.doubted = owner, false
	if owner {
		return nil
	}
	var out []made
	for _, j := range s.jobs {
		if j.answer == nil || j.moving {
			continue // its caller still fetches the results, or it moves already
		}
		s.unqueue(j)
		j.moving = true
		out = append(out, s.move(j)...)
	}
	return out
}

// reset begins a job anew.
func (s *scheduler) reset(j *job) {
	n := len(j.Stages)
	j.tail, j.handles, j.missing, j.started = make([]time.Duration, n), make([][]string, n), make([]int, n), make([]bool, n)
	j.times, j.fetched, j.givenUp = make([]stageTimes, n), make([]int, n), make([]bool, n)
	for i := n - 1; i >= 0; i-- {
		st := j.Stages[i]
		j.handles[i], j.missing[i] = make([]string, st.Pieces), st.Pieces
		if st.Pieces == 0 {
			continue
		}
		spec := s.services[st.Service].spec
		whole := j.tail[i] + spec.CallTime + time.Duration(st.Pieces)*spec.PieceTime
		for _, k := range st.After {
			j.tail[k] = max(j.tail[k], whole)
		}
	}
}

// advance queues the stages whose inputs are there, and answers the job when
// all are done.
func (s *scheduler) advance(now time.Time, j *job) {
	all := true
	for i, st := range j.Stages {
		if j.missing[i] > 0 {
			all = false
		}
		if j.started[i] || st.Pieces == 0 || !j.ready(i) {
			continue
		}
		j.started[i] = true
		j.times[i].ready = now
		s.due = true
		q := s.services[st.Service]
		home := j.home(i)
		for k := range st.Pieces {
			q.wait(&piece{job: j, stage: i, number: k, epoch: j.restarts, home: home, queued: now})
		}
	}
	if all {
		j.expires = now.Add(max(s.longestTTL(j), pickTTL))
		s.ended.count(now)
		s.chooseEngine(now, j)
		s.end(j, j.result(), nil)
	}
}

// chooseEngine picks the engine that takes the job's call, now that all it needs is
// there. It counts there until the job is done with.
func (s *scheduler) chooseEngine(now time.Time, j *job) {
	if j.Prompt == nil {
		return
	}
	x := s.engines.choose(now, j.firstEvent, j.Prompt, j.finalBytes())
	if x.engine.ID != "" {
		j.pick = s.engines.send(now, j.Prompt, x)
	}
}

// longestTTL is how long the job's results may last.
func (s *scheduler) longestTTL(j *job) time.Duration {
	var ttl time.Duration
	for _, st := range j.Stages {
		if st.Pieces > 0 {
			ttl = max(ttl, s.services[st.Service].spec.ResultTTL)
		}
	}
	return ttl
}

// end answers a job and drops what waits of it. Its results stay known until
// the caller is done with them.
func (s *scheduler) end(j *job, r Result, err error) {
	if j.answer == nil {
		return
	}
	j.answer(r, err)
	j.answer = nil
	s.recount(j)
	s.unqueue(j)
}

// unqueue takes the job's pieces that wait out of the queues.
func (s *scheduler) unqueue(j *job) {
	for _, st := range j.Stages {
		if q := s.services[st.Service]; q != nil {
			q.waiting = slices.DeleteFunc(q.waiting, func(p *piece) bool { return p.job == j })
		}
	}
}

// done gives a job up and returns the results that are to be freed. A job that has
// moved goes on elsewhere with the results that its caller was told of.
func (s *scheduler) done(now time.Time, d Done) []made {
	j := s.jobs[d.Handed]
	if j == nil {
		return nil
	}
	s.end(j, Result{}, errStages("the call was given up"))
	s.leaveEngine(now, j, d.Engine)
	if d.Moved {
		return s.leave(j)
	}
	return s.forget(j)
}

// leaveEngine no longer counts the job's call at its engine.
func (s *scheduler) leaveEngine(now time.Time, j *job, how EngineOutcome) {
	if j.pick != nil {
		s.engines.ended(now, j.pick, how)
		j.pick = nil
	}
}

func (s *scheduler) forget(j *job) []made {
	delete(s.jobs, j.Handed)
	out := j.made
	j.made = nil
	return out
}

// freed notes that results take no room any more.
func (s *scheduler) freed(results []made) {
	s.due = true
	for _, m := range results {
		m.worker.hold(-m.bytes)
	}
}

// freeInputs returns the results of a job that no stage of it needs any more:
// every stage that follows has all its pieces, or has fetched its inputs.
func (s *scheduler) freeInputs(j *job) []made {
	needed := make([]bool, len(j.Stages))
	for i := range needed {
		needed[i] = s.needs(j, i)
	}
	var out, kept []made
	for _, m := range j.made {
		if needed[m.stage] {
			kept = append(kept, m)
		} else {
			j.givenUp[m.stage] = true
			out = append(out, m)
		}
	}
	if len(out) > 0 {
		j.made = kept
		s.recount(j)
	}
	return out
}

// expire ends jobs whose time is over and forgets results that are gone by
// themselves. It returns what is to be freed.
func (s *scheduler) expire(now time.Time) []made {
	s.due = true // pauses end by themselves
	s.reach.expire(now)
	s.pass(now)
	out := s.fetchedInputs(now)
	for _, j := range s.jobs {
		switch {
		case j.answer != nil && !now.Before(j.deadline):
			s.end(j, Result{}, errNoTime())
			out = append(out, s.forget(j)...)
		case j.answer != nil && s.outside(j) != "":
			s.end(j, Result{}, errNowhere(s.outside(j), j.Within))
			out = append(out, s.forget(j)...)
		case j.answer != nil && s.starved(now, j):
			s.end(j, Result{}, errBusy(starvedComeBack))
			out = append(out, s.forget(j)...)
		case j.answer == nil && !j.expires.IsZero() && now.After(j.expires):
			s.leaveEngine(now, j, EngineUnknown)
			s.freed(s.forget(j))
		}
	}
	return out
}

// starved reports whether a job that misses its goal has waited for a call for so long that
// its caller is better told now than at the deadline. What was made for it takes room that
// others need meanwhile.
func (s *scheduler) starved(now time.Time, j *job) bool {
	if !j.late && j.goal.After(now) || j.calls > 0 {
		return false
	}
	return now.Sub(j.lastCall()) > min(j.Left/2, starvedAfter)
}

// start returns the calls that are to be made now. It looks at the queues only after
// something by which a call may be started: sorting what waits is most of the owner's
// work in an overload, and two events in three change nothing there.
func (s *scheduler) start(now time.Time) []*call {
	var out []*call
	if !s.owner || !s.due || s.doubtful(now) {
		return nil
	}
	s.due = false
	for _, name := range slices.Sorted(maps.Keys(s.services)) { // the same order each time, as tests play it again
		q := s.services[name]
		q.sorted = time.Time{}
		for len(q.waiting) > 0 {
			c := q.next(now)
			if c == nil {
				break
			}
			c.service = name
			s.reach.sent(now, c.worker.member.DataCenter)
			s.watchInputs(c)
			q.countCall(c)
			out = append(out, c)
		}
	}
	return out
}
