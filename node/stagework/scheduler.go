package stagework

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"caperdrum.org/node/rollout"
	"caperdrum.org/node/upstream"
)

// scheduler decides which pieces go to which upstream. It reads no clock and does no
// I/O, and is used by one goroutine only.
type scheduler struct {
	services       map[string]*serviceQueue
	jobs           map[string]*job
	serial         uint64
	owner          bool // this process owns the queues and starts calls
	reportLimit    reportLimit
	startPending   bool // an event since the last startCalls may allow new calls
	updates        []addressedUpdate
	restarted      []*worker // upstreams that restarted since the last takeRestarted
	engines        *engines
	split          *rollout.Splitter
	counter        *rollout.Counter
	postponed      postponed
	fetchingInputs []*call // calls whose upstreams are still fetching inputs
	backlog        backlog
	gaugesSet      time.Time
	reachability   *reachability
	permits        *permits
	hedging        hedging
	lastStall      *stall
	unconfirmed    bool // was the owner before the last stall, and is not confirmed since

	fairness *fairness // nil: customers are not told apart
	measured bool      // admission uses measured throughput, see throughput.go

	random          func() float64 // uniform in [0, 1), for retry-after times
	lastEstimate    time.Duration  // of the last job submitted
	lastOverShare   bool           // whether its customer is over its share
	lastByWorkAhead string         // whether it reaches its goal by the work that is ahead now, without arrivals; jobInTime or jobLate
	lastService     string         // with the longest time in that estimate; empty: nothing was estimated
}

func newScheduler() *scheduler {
	e := newEngines()
	return &scheduler{services: map[string]*serviceQueue{}, jobs: map[string]*job{}, engines: e, split: e.split, reachability: e.reachability, permits: e.permits, lastStall: e.lastStall, counter: rollout.NewCounter(), random: rand.Float64, measured: true}
}

// restartLostJobs restarts jobs with results at upstreams that restarted, and returns their other
// results, which are to be freed. Otherwise only a call of the next stage or of the engine would
// notice the loss, after the whole time of that call.
func (s *scheduler) restartLostJobs(now time.Time, lost []*worker) []storedResult {
	if len(lost) == 0 {
		return nil
	}
	var out []storedResult
	for _, j := range s.jobs {
		if j.answer == nil || !slices.ContainsFunc(j.results, func(m storedResult) bool { return m.worker.restarted }) {
			continue
		}
		if j.restarts >= maxRestarts {
			s.endJob(j, Result{}, errStageFailed(string(upstream.InputGone)))
			out = append(out, s.forgetJob(j)...)
			continue
		}
		out = append(out, s.restartJob(now, j)...)
	}
	return out
}

// submit queues the first stages of a job, or those after the stages completed under a
// previous owner. answer is called exactly once. It returns results to be freed.
func (s *scheduler) submit(now time.Time, j Job, answer func(Result, error)) []storedResult {
	s.lastService, s.lastOverShare, s.lastByWorkAhead = "", false, ""
	if !s.owner {
		answer(Result{}, errNotOwner())
		return nil
	}
	if err := j.validate(); err != nil {
		answer(Result{}, err)
		return nil
	}
	s.serial++
	n := &job{Job: j, firstEvent: now.Add(j.FirstEvent), serial: s.serial, arrived: now, deadline: now.Add(j.TimeLeft), goal: now.Add(j.Goal), answer: answer}
	n.abandonedAt = n.deadline
	if j.Patience > 0 && j.Patience < j.TimeLeft {
		n.abandonedAt = now.Add(j.Patience)
	}
	for _, st := range j.Stages {
		if st.Pieces > 0 && s.services[st.Service] == nil {
			answer(Result{}, errStageFailed("service "+st.Service+" makes no pieces"))
			return nil
		}
		if st.Pieces > 0 && !s.services[st.Service].hasWorkerWithin(j.Within) {
			answer(Result{}, errNoAllowedUpstream(st.Service, j.Within))
			return nil
		}
	}
	s.reset(n)
	s.predictEngine(now, n)
	if !s.resumeStages(now, n) && n.pieces() > 0 {
		if wait, refused := s.shouldRefuse(now, n); refused {
			answer(Result{}, errOverloaded(wait))
			return nil
		}
		if wait, admitted := s.admitEngineCall(now, n); !admitted {
			answer(Result{}, errEnginesLimited(n.Prompt.Service, wait))
			return nil
		}
	}
	s.advanceBacklog(now)
	s.jobs[j.SubmissionID] = n
	n.predictedLate = n.late
	if n.late {
		s.postpone(n)
	}
	s.updateBacklog(n)
	if j.Resubmitted {
		n.countResubmitted()
	}
	if n.postponed && len(s.postponed.jobs) == 1 { // the others wait for the next tick
		s.startPostponed(now)
	}
	s.advance(now, n)
	return s.releaseInputs(n)
}

// predictEngine finds the engine that would take the job's call now. The goal of the job's stages
// is set so that they leave the engine the time it needs, and large results are produced in the
// engine's data centre.
func (s *scheduler) predictEngine(now time.Time, j *job) {
	if j.Prompt == nil {
		return
	}
	x := s.engines.choose(now, j.firstEvent, j.Prompt, nil)
	if x.engine.ID == "" {
		return
	}
	j.DataCenter = x.engine.DataCenter
	j.engineTime = x.ttft + engineMargin
	j.goal = j.firstEvent.Add(-j.engineTime)
}

// admitEngineCall reports whether the request limits of the engines admit the job's call.
func (s *scheduler) admitEngineCall(now time.Time, j *job) (retryAfter time.Duration, admitted bool) {
	if j.Prompt == nil {
		return 0, true
	}
	return s.permits.admit(now, j.Prompt.Service, s.engines.eligible(j.Prompt))
}

// engineMargin is the slack between the stages and the first event on top of the engine's
// expected time: four one-way delays between processes and one step of the engine.
const engineMargin = 30 * time.Millisecond

// setOwner takes or gives up the ownership of the queues. Jobs in progress are moved to the next
// owner; it returns those of their results that no caller was told of, to be freed. after says
// that there was an owner before this one.
func (s *scheduler) setOwner(now time.Time, owner, after bool) []storedResult {
	if owner && after && !s.owner {
		s.scheduleReports(now)
	}
	if owner && !s.owner {
		s.reachability.reset() // knowledge from an earlier ownership is out of date
		s.permits.reset(now, after)
		s.resetMeters()
	}
	s.owner, s.unconfirmed = owner, false
	if owner {
		return nil
	}
	var out []storedResult
	for _, j := range s.jobs {
		if j.answer == nil || j.moving {
			continue // its caller still fetches the results, or it is already moving
		}
		s.dequeue(j)
		j.moving = true
		out = append(out, s.moveJob(j)...)
	}
	return out
}

// reset clears the progress of a job, to start it from its first stage.
func (s *scheduler) reset(j *job) {
	n := len(j.Stages)
	j.minRemaining, j.handles, j.missing, j.started = make([]time.Duration, n), make([][]string, n), make([]int, n), make([]bool, n)
	j.fullRemaining = make([]time.Duration, n)
	j.times, j.inputsFetched, j.released = make([]stageTimes, n), make([]int, n), make([]bool, n)
	for i := n - 1; i >= 0; i-- {
		st := j.Stages[i]
		j.handles[i], j.missing[i] = make([]string, st.Pieces), st.Pieces
		if st.Pieces == 0 {
			continue
		}
		spec := s.services[st.Service].spec
		total := j.minRemaining[i] + spec.CallTime + time.Duration(st.Pieces)*spec.PieceTime
		for _, k := range st.DependsOn {
			j.minRemaining[k] = max(j.minRemaining[k], total)
			j.fullRemaining[k] = max(j.fullRemaining[k], j.fullRemaining[i]+fullCall(spec))
		}
	}
}

// advance queues the stages whose inputs are ready, and answers the job when all stages
// are completed.
func (s *scheduler) advance(now time.Time, j *job) {
	if j.postponed {
		return
	}
	all := true
	for i, st := range j.Stages {
		if j.missing[i] > 0 {
			all = false
		}
		if j.started[i] || st.Pieces == 0 || !j.inputsReady(i) {
			continue
		}
		j.started[i] = true
		s.startPending = true
		q := s.services[st.Service]
		j.times[i].ready, j.times[i].takenBefore = now, q.taken
		home := j.preferredDataCenter(i)
		for k := range st.Pieces {
			q.enqueue(&piece{job: j, stage: i, number: k, epoch: j.restarts, preferredDataCenter: home, queued: now})
		}
	}
	if all {
		j.expires = now.Add(max(s.longestTTL(j), assignmentTTL))
		s.chooseEngine(now, j)
		s.endJob(j, j.result(), nil)
	}
}

// chooseEngine assigns the job's call to an engine, now that all inputs are ready. The
// call counts in the engine's load until releaseEngine.
func (s *scheduler) chooseEngine(now time.Time, j *job) {
	if j.Prompt == nil {
		return
	}
	x := s.engines.choose(now, j.firstEvent, j.Prompt, j.finalBytes())
	if x.engine.ID != "" {
		j.assignment = s.engines.assign(now, j.Prompt, x)
	}
}

// longestTTL is the longest time for which an upstream keeps any of the job's results.
func (s *scheduler) longestTTL(j *job) time.Duration {
	var ttl time.Duration
	for _, st := range j.Stages {
		if st.Pieces > 0 {
			ttl = max(ttl, s.services[st.Service].spec.ResultTTL)
		}
	}
	return ttl
}

// endJob answers a job and drops its queued pieces. Its results are tracked until the
// caller releases them.
func (s *scheduler) endJob(j *job, r Result, err error) {
	if j.answer == nil {
		return
	}
	j.answer(r, err)
	j.answer = nil
	s.postponed.remove(j)
	s.updateBacklog(j)
	s.dequeue(j)
}

// dequeue removes the job's waiting pieces from the queues.
func (s *scheduler) dequeue(j *job) {
	for _, st := range j.Stages {
		if q := s.services[st.Service]; q != nil {
			q.waiting = slices.DeleteFunc(q.waiting, func(p *piece) bool { return p.job == j })
		}
	}
}

// handleDone ends a submission and returns the results to be freed. A moved job continues
// elsewhere with the results that were reported to its caller.
func (s *scheduler) handleDone(now time.Time, d Done) []storedResult {
	j := s.jobs[d.SubmissionID]
	if j == nil {
		return nil
	}
	s.endJob(j, Result{}, errStageFailed("the call was given up"))
	s.releaseEngine(now, j, d.Engine)
	if d.Moved {
		return s.abandonJob(j)
	}
	return s.forgetJob(j)
}

// releaseEngine removes the job's call from the load of its engine.
func (s *scheduler) releaseEngine(now time.Time, j *job, how EngineOutcome) {
	if j.assignment != nil {
		s.engines.finishAssignment(now, j.assignment, how)
		j.assignment = nil
	}
}

func (s *scheduler) forgetJob(j *job) []storedResult {
	delete(s.jobs, j.SubmissionID)
	out := j.results
	j.results = nil
	return out
}

// recordFreed records that results no longer occupy room, the result memory of their upstreams.
func (s *scheduler) recordFreed(results []storedResult) {
	s.startPending = true
	for _, m := range results {
		m.worker.addOwn(-m.bytes)
	}
}

// releaseInputs returns the results of a job that none of its stages needs any more: every
// stage that depends on them is completed, or has fetched its inputs.
func (s *scheduler) releaseInputs(j *job) []storedResult {
	needed := make([]bool, len(j.Stages))
	for i := range needed {
		needed[i] = s.resultsNeeded(j, i)
	}
	var out, kept []storedResult
	for _, m := range j.results {
		if needed[m.stage] {
			kept = append(kept, m)
		} else {
			j.released[m.stage] = true
			out = append(out, m)
		}
	}
	if len(out) > 0 {
		j.results = kept
		s.updateBacklog(j)
	}
	return out
}

// expireJobs ends jobs past their deadline and forgets results that the upstreams have
// expired. It returns results to be freed.
func (s *scheduler) expireJobs(now time.Time) []storedResult {
	s.startPending = true // pauses of upstreams end without an event
	s.reachability.expireFailures(now)
	s.markOverdue(now)
	s.advanceBacklog(now)
	out := s.collectFetchedInputs(now)
	for _, j := range s.jobs {
		switch {
		case j.answer != nil && !now.Before(j.deadline):
			s.endJob(j, Result{}, errDeadlineExceeded())
			out = append(out, s.forgetJob(j)...)
		case j.answer != nil && s.serviceWithoutWorker(j) != "":
			s.endJob(j, Result{}, errNoAllowedUpstream(s.serviceWithoutWorker(j), j.Within))
			out = append(out, s.forgetJob(j)...)
		case j.answer != nil && j.calls == 0 && now.Add(s.unloadedTime(j)).After(j.mustEnd()):
			// No upstream can do it in time any more. Its caller learns so now, and its results take no room.
			s.endJob(j, Result{}, errOverloaded(s.retryAfter(j.deadline.Sub(now), never)))
			out = append(out, s.forgetJob(j)...)
		case j.answer != nil && !j.moving && j.waitsForExpiredInputs(now):
			// The call would find them gone. The job gives the room back, and starts anew if it has time.
			if j.restarts >= maxRestarts {
				s.endJob(j, Result{}, errStageFailed(string(upstream.InputGone)))
				out = append(out, s.forgetJob(j)...)
				continue
			}
			out = append(out, s.restartJob(now, j)...)
		case j.answer == nil && !j.expires.IsZero() && now.After(j.expires):
			s.releaseEngine(now, j, EngineUnknown)
			s.recordFreed(s.forgetJob(j))
		}
	}
	s.startPostponed(now)
	return out
}

// startCalls returns the calls to make now. It looks at the queues only after an event that
// may allow a new call: under overload, sorting the queues is most of the owner's work, and
// two events in three change nothing about them.
func (s *scheduler) startCalls(now time.Time) []*call {
	var out []*call
	if !s.owner || !s.startPending || s.awaitingConfirmation(now) {
		return nil
	}
	s.startPending = false
	for _, name := range slices.Sorted(maps.Keys(s.services)) { // fixed order, so that tests are reproducible
		q := s.services[name]
		q.sortedAt = time.Time{}
		q.advanceMeter(now)
		for len(q.waiting) > 0 {
			c := q.nextCall(now)
			if c == nil {
				break
			}
			c.service = name
			s.trackCall(now, q, c)
			out = append(out, c)
		}
		q.updateBusy()
	}
	return append(out, s.hedgeOverdueCalls(now)...)
}

// trackCall records a call that was started.
func (s *scheduler) trackCall(now time.Time, q *serviceQueue, c *call) {
	s.reachability.recordCall(now, c.worker.member.DataCenter)
	s.trackInputs(c)
	s.trackDuration(q, c)
	q.countCall(now, c)
}
