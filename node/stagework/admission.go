package stagework

import (
	"math"
	"slices"
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
	// retryAfterSpread is the part of the retry-after time over which callers are spread, so that those
	// that were refused at the same moment do not all return at the same moment.
	retryAfterSpread = 0.2
)

// never is an estimate for work that does not end in any time that a caller has.
const never = time.Duration(math.MaxInt64 / 4)

// shouldRefuse reports whether to refuse a job, and when its caller should retry. A job is refused if the work that
// goes before it leaves no time for it: its stages would end after the time at which they must. A job that would only
// miss its goal, or whose customer is over its share (fairness.go), becomes late: it goes behind those in time.
func (s *scheduler) shouldRefuse(now time.Time, j *job) (comeBack time.Duration, refused bool) {
	if pause := s.upstreamPause(now, j); pause > 0 && now.Add(pause+s.unloadedTime(j)).After(j.mustEnd()) {
		return pause, true
	}
	s.advanceBacklog(now)
	estimate, bottleneck := s.estimate(now, j, true)
	behind := ""
	s.lastByWorkAhead = jobInTime
	if now.Add(estimate).After(j.goal) {
		s.lastByWorkAhead = s.predictionByWorkAhead(now, j)
		j.late, behind = true, bottleneck
	}
	if s.fairness.judge(now, j, behind) != "" {
		j.late, j.overShare = true, true
	}
	if j.late {
		estimate, bottleneck = s.estimate(now, j, true)
	}
	j.estimate = estimate
	s.lastEstimate, s.lastService, s.lastOverShare = estimate, bottleneck, j.overShare
	if now.Add(estimate).After(j.mustEnd()) {
		return s.retryAfter(j.TimeLeft, estimate-s.unloadedTime(j)), true
	}
	if !j.late {
		s.countArrival(now, j)
	}
	return 0, false
}

// predictionByWorkAhead predicts whether a job reaches its goal if nothing else comes.
func (s *scheduler) predictionByWorkAhead(now time.Time, j *job) string {
	estimate, _ := s.estimate(now, j, false)
	if now.Add(estimate).After(j.goal) {
		return jobLate
	}
	return jobInTime
}

// mustEnd is the latest time at which the stages must be completed, so that the engine begins its answer before the
// caller's time is over.
func (j *job) mustEnd() time.Time { return j.abandonedAt.Add(-j.engineTime) }

// countArrival counts the pieces of a job that is admitted in time.
func (s *scheduler) countArrival(now time.Time, j *job) {
	for _, st := range j.Stages {
		if st.Pieces > 0 {
			s.services[st.Service].backlog.of(j.rank()).arrivals.count(now, st.Pieces)
		}
	}
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

// retryAfter is when the caller of a refused job that has that much time left should retry: once the work ahead of it is
// done, or as late as callers honour.
func (s *scheduler) retryAfter(left, wait time.Duration) time.Duration {
	at := min(max(wait, 0), left/retryAfterDivisor)
	return time.Duration(float64(at) * (1 - retryAfterSpread*s.random()))
}

// estimate predicts how long the stages of a new job take: for each service, the work that goes
// before the job plus the job's remaining stages. bottleneck is the service with the longest time.
// arrivals says whether to count work that is yet to come. The backlog must be advanced to now.
func (s *scheduler) estimate(now time.Time, j *job, arrivals bool) (estimate time.Duration, bottleneck string) {
	var longest time.Duration
	reached, rest := s.reachedAfter(j), s.remainingTimes(now, j)
	for i, st := range j.Stages {
		if st.Pieces == 0 {
			continue
		}
		wait, runTime := s.waitAt(now, s.services[st.Service], st, j, reached[i], arrivals)
		if total := min(wait, never) + runTime + rest[i]; total > longest {
			longest, bottleneck = total, st.Service
		}
	}
	return max(longest, s.unloadedTime(j)+s.waitForWorkers(now, j)), bottleneck
}

// remainingTimes predicts for each stage of a new job how long the calls of the stages after it take: full ones at
// services without an idle upstream, as others join them there.
func (s *scheduler) remainingTimes(now time.Time, j *job) []time.Duration {
	rest := make([]time.Duration, len(j.Stages))
	for i := len(j.Stages) - 1; i >= 0; i-- {
		st := j.Stages[i]
		if st.Pieces == 0 {
			continue
		}
		q := s.services[st.Service]
		runTime := fullCall(q.spec)
		if q.idleWorkers(now) > 0 {
			runTime = q.callDuration(min(st.Pieces, q.spec.Batch))
		}
		for _, k := range st.DependsOn {
			rest[k] = max(rest[k], rest[i]+runTime)
		}
	}
	return rest
}

// waitAt predicts how long a stage of a job waits at its service for the call that takes its last piece, and how long
// that call takes. Pieces that will come once the job has reached the service, and go before its own, are taken to come as
// often as in a past time as long as the job has. A rank is passed over by maxPassedOver calls at most, so it waits no
// longer than for that many times its own pieces.
func (s *scheduler) waitAt(now time.Time, q *serviceQueue, st Stage, j *job, reached time.Duration, arrivals bool) (wait, runTime time.Duration) {
	ahead := s.piecesAhead(q, j)
	if idle := q.idleWorkers(now); ahead == 0 && idle > 0 { // the pieces are spread over the idle upstreams
		return 0, q.callDuration(min(q.spec.Batch, (st.Pieces+idle-1)/idle))
	}
	rate := q.throughput(st.ResultBytes, resultHoldTime)
	if rate <= 0 {
		rate = q.slowestThroughput()
	}
	wait = q.startsAfter(now, (ahead+st.Pieces-1)/q.spec.Batch, rate)
	if wait == 0 {
		return 0, q.callDuration(min(q.spec.Batch, ahead%q.spec.Batch+st.Pieces))
	}
	runTime = fullCall(q.spec) // others join it meanwhile
	if !arrivals {
		return wait, runTime
	}
	window := j.goal.Sub(now)
	if j.late {
		window = j.mustEnd().Sub(now)
	}
	before, own := 0.0, 0.0
	for _, c := range q.backlog {
		if !j.late && c.rank >= j.rank() {
			break
		}
		perSecond := c.arrivals.perSecond(now, window)
		before += perSecond
		if c.rank == j.rank() {
			own = perSecond
		}
	}
	if before > 0 && wait > reached {
		wait = reached + drainTime((wait-reached).Seconds()*rate, rate-before)
	}
	if before > own {
		const share = 1.0 / (maxPassedOver + 1)
		wait = min(wait, drainTime(float64(s.ownPiecesAhead(q, j)+st.Pieces), rate*share-own))
	}
	return wait, runTime
}

// startsAfter is how long until the service starts a call that has that many others before it.
func (q *serviceQueue) startsAfter(now time.Time, calls int, rate float64) time.Duration {
	free := make([]time.Duration, 0, len(q.list))
	for _, w := range q.list {
		if w.healthy() {
			free = append(free, w.freeIn(q, now))
		}
	}
	if len(free) == 0 {
		return drainTime(float64((calls+1)*q.spec.Batch), rate)
	}
	slices.Sort(free)
	round := drainTime(float64(len(free)*q.spec.Batch), rate)
	return min(free[calls%len(free)]+time.Duration(min(float64(calls/len(free))*float64(round), float64(never))), never)
}

// freeIn is how long until an upstream can take another call.
func (w *worker) freeIn(q *serviceQueue, now time.Time) time.Duration {
	left := max(w.backoffUntil.Sub(now), w.pausedUntil.Sub(now), 0)
	if w.runningCalls >= max(1, q.spec.Calls) {
		left = max(left, w.freeAt.Sub(now))
	}
	return left
}

// drainTime is how long it takes to do that many pieces at a rate in pieces a second.
func drainTime(pieces, rate float64) time.Duration {
	if rate <= 0 || pieces/rate > never.Seconds() {
		return never
	}
	return time.Duration(pieces / rate * float64(time.Second))
}

// unloadedTime is the least time that the stages of a job take: nothing is queued ahead of it,
// and the pieces of each stage are spread over idle upstreams.
func (s *scheduler) unloadedTime(j *job) time.Duration {
	var longest time.Duration
	for i, st := range j.Stages {
		if st.Pieces > 0 && j.missing[i] > 0 {
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

// slowestThroughput is what the service may do while none of its upstreams is healthy: each completes a full call in
// its timeout at the latest.
func (q *serviceQueue) slowestThroughput() float64 {
	return float64(len(q.list)*q.spec.Batch) / callLimit(fullCall(q.spec), 1).Seconds()
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
