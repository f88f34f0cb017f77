package stagework

import (
	"time"

	"caperdrum.org/api/optext"
)

const (
	// efficiencyWeight is the weight of one call in the average efficiency: the last dozen
	// calls, about a second of five upstreams, determine most of it.
	efficiencyWeight = 0.1
	// resultHoldTime is how long a result occupies its upstream while room (result memory, see
	// room.go) is short: until the next upstream or the engine starts and has fetched it.
	resultHoldTime = 200 * time.Millisecond
	// retryAfterDivisor bounds the retry-after time: callers honour up to a third of the time
	// that they have left.
	retryAfterDivisor = 3
	// minRetryAfterShare is the least share of that bound: bursts last 3 s to 8 s, and a caller
	// that is refused twice is worth less than one that never came.
	minRetryAfterShare = 0.6
	// minJobsForEstimates is the number of jobs in progress from which on estimates are used:
	// a few jobs never overload a service.
	minJobsForEstimates = 8
	// deferredWork bounds the deferred jobs in progress, as the throughput of that time. They use
	// only the capacity that first attempts leave, but their results occupy room meanwhile: 25 jobs
	// at 60 calls a second. Without a bound, callers were served worse by a twentieth there, and
	// three times as many calls ended worthless.
	deferredWork = 400 * time.Millisecond
)

// shouldRefuse reports whether to refuse a job, and when its caller should retry. A job is refused
// if it would miss its goal behind the jobs in progress, as work on a late call makes others late
// too, if it would be admitted ahead of more urgent classes, or if its customer is over its share
// while others are refused (fairness.go). A limited number of deferred jobs is admitted behind all
// first attempts, late or not: jobs of callers that retry, late jobs that a previous owner may have
// taken, as their callers have already waited, and jobs that would miss their goal even on idle
// upstreams, as retrying would only make those later.
func (s *scheduler) shouldRefuse(now time.Time, j *job) (comeBack time.Duration, refused bool) {
	if pause := s.upstreamPause(now, j); pause > 0 && now.Add(pause+s.unloadedTime(j)).After(j.deadline) {
		return pause, true
	}
	if len(s.jobs) < minJobsForEstimates && !s.needsLimited(j) {
		return 0, false
	}
	j.retry = s.refusedCallers.has(j.Key, now)
	estimate, bottleneck := s.estimate(now, j)
	j.estimate = estimate
	s.lastEstimate, s.lastRetry, s.lastService = estimate, j.retry, bottleneck
	late := now.Add(estimate).After(j.goal)
	if j.retry || s.measured && j.Resubmitted && late || now.Add(s.unloadedTime(j)).After(j.goal) {
		if s.backlog.deferred < s.maxDeferred(now) && now.Add(estimate).Before(j.deadline) {
			j.late = late
			return 0, false
		}
		return s.refuseCaller(now, j), true
	}
	if !late {
		bottleneck = s.unfairService(now, j)
	}
	if s.fairness.judge(now, j, bottleneck) != "" {
		return s.refuseCaller(now, j), true
	}
	s.countAdmission(now, j, bottleneck)
	if bottleneck == "" {
		return 0, false
	}
	return s.refuseCaller(now, j), true
}

// needsLimited reports whether all upstreams of a service that the job needs limit their requests, so that even a
// few jobs may be too many.
func (s *scheduler) needsLimited(j *job) bool {
	for _, st := range j.Stages {
		if q := s.services[st.Service]; st.Pieces > 0 && s.permits.allLimited(q.members) {
			return true
		}
	}
	return false
}

// upstreamPause is how long until each service that the job needs has an upstream that accepts calls.
func (s *scheduler) upstreamPause(now time.Time, j *job) time.Duration {
	var longest time.Duration
	for _, st := range j.Stages {
		if st.Pieces > 0 {
			longest = max(longest, s.services[st.Service].shortestPause(now))
		}
	}
	return longest
}

// refuseCaller remembers the caller and returns when it should retry.
func (s *scheduler) refuseCaller(now time.Time, j *job) time.Duration {
	s.refusedCallers.add(j.Key, now, j.deadline)
	longest := j.TimeLeft / retryAfterDivisor
	shortest := time.Duration(minRetryAfterShare * float64(longest))
	return shortest + time.Duration(s.random()*float64(longest-shortest))
}

// estimate predicts how long the stages of a new job take behind the jobs whose goals are
// earlier: for each service, the queued work ahead of the job plus the job's remaining stages.
// bottleneck is the service with the longest time.
func (s *scheduler) estimate(now time.Time, j *job) (estimate time.Duration, bottleneck string) {
	s.advanceBacklog(now)
	var longest time.Duration
	for i, st := range j.Stages {
		if st.Pieces == 0 {
			continue
		}
		q := s.services[st.Service]
		rate := q.throughput(st.ResultBytes, resultHoldTime)
		if rate <= 0 {
			return j.TimeLeft + 1, st.Service
		}
		runTime := q.spec.CallTime + time.Duration(st.Pieces)*q.spec.PieceTime
		if q.idleWorkers(now) >= st.Pieces {
			runTime = shortestCall(q.spec)
		}
		wait := time.Duration(s.piecesAhead(q, now, j.goal) / rate * float64(time.Second))
		if total := wait + runTime + j.minRemaining[i]; total > longest {
			longest, bottleneck = total, st.Service
		}
	}
	return max(longest, s.unloadedTime(j)+s.waitForWorkers(now, j)), bottleneck
}

// unloadedTime is the least time that the stages of a job take: nothing is queued ahead of it,
// and the pieces of each stage are spread over idle upstreams.
func (s *scheduler) unloadedTime(j *job) time.Duration {
	var longest time.Duration
	for i, st := range j.Stages {
		if st.Pieces > 0 {
			longest = max(longest, shortestCall(s.services[st.Service].spec)+j.minRemaining[i])
		}
	}
	return longest
}

// waitForWorkers is how long a job waits for upstreams to become free, besides the work queued
// ahead of it: a quarter of a call's fixed time at each service without an idle upstream.
func (s *scheduler) waitForWorkers(now time.Time, j *job) time.Duration {
	var sum time.Duration
	for _, st := range j.Stages {
		if q := s.services[st.Service]; st.Pieces > 0 && q.idleWorkers(now) == 0 {
			sum += q.spec.CallTime / 4
		}
	}
	return sum
}

// maxDeferred is the number of deferred jobs that may be in progress.
func (s *scheduler) maxDeferred(now time.Time) int {
	return max(minJobsForEstimates, int(s.completions.perSecond(now)*deferredWork.Seconds()))
}

// completedPieces estimates how many pieces of the calls in progress are done by now.
func (q *serviceQueue) completedPieces(now time.Time) float64 {
	sum := 0.0
	for _, w := range q.list {
		if c := w.lastCall; c != nil && w.runningCalls > 0 {
			sum += float64(len(c.pieces)) * min(1, now.Sub(c.started).Seconds()/w.freeAt.Sub(c.started).Seconds())
		}
	}
	return sum
}

// updateEfficiency records how full a call is that was made while at least another batch waited.
func (q *serviceQueue) updateEfficiency(c *call) {
	if c.leftWaiting < q.spec.Batch {
		return
	}
	nominal := float64(q.spec.Batch) / fullCall(q.spec).Seconds()
	q.efficiency += efficiencyWeight * (float64(len(c.pieces))/c.expected.Seconds()/nominal - q.efficiency)
}

func shortestCall(spec *optext.Service) time.Duration { return spec.CallTime + spec.PieceTime }

func fullCall(spec *optext.Service) time.Duration {
	return spec.CallTime + time.Duration(spec.Batch)*spec.PieceTime
}

// expectedThroughput is throughput without the bound by the room for results.
func (q *serviceQueue) expectedThroughput() float64 {
	nominal := q.nominalThroughput()
	if q.scheduler.measured {
		return nominal * q.meter.share(nominal)
	}
	return nominal * q.efficiency
}

// throughput is the number of pieces a second that the service is expected to process: a share of its nominal
// throughput, measured or by how full its calls are, bounded by the room for results, which are kept for the time hold.
func (q *serviceQueue) throughput(bytes int64, hold time.Duration) float64 {
	rate := q.expectedThroughput()
	if q.spec.ResultRoom > 0 && bytes > 0 {
		rate = min(rate, float64(q.ownRoom())/float64(bytes)/(fullCall(q.spec)+hold).Seconds())
	}
	return rate
}

// callRate is the number of calls a second that the healthy upstreams can take if each takes that long.
func (q *serviceQueue) callRate(call time.Duration) float64 {
	sum := 0.0
	for _, w := range q.list {
		if w.healthy() {
			sum += q.permits.perSecond(w.member, 1/call.Seconds())
		}
	}
	return sum
}
