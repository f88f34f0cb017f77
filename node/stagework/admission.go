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
	j.late = now.Add(s.unloadedTime(j)).After(j.goal)
	estimate, late, bottleneck := s.predict(now, j)
	if s.fairness.judge(now, j, bottleneck) != "" {
		j.late, j.overShare = true, true
		estimate, late, bottleneck = s.predict(now, j)
	}
	j.estimate, j.predictedLate = estimate, late
	s.lastEstimate, s.lastService, s.lastOverShare = estimate, bottleneck, j.overShare
	if now.Add(estimate).After(j.mustEnd()) {
		return s.retryAfter(j.TimeLeft, estimate-s.unloadedTime(j)), true
	}
	return 0, false
}

// predict predicts how long the stages of a new job take, and whether it misses its goal because of a service for which it
// waits.
func (s *scheduler) predict(now time.Time, j *job) (estimate time.Duration, late bool, service string) {
	if !j.late {
		wait, blockedBy := s.pending.waitOf(now, j, s.startBy(j))
		estimate = max(wait+s.unloadedTime(j), s.queueEstimate(now, j))
		if wait <= time.Duration(sureShare*float64(s.startBy(j).Sub(now)-s.margin(j))) && !now.Add(estimate).After(j.goal) {
			return estimate, false, ""
		}
		service = blockedBy
	}
	return max(s.lateEstimate(now, j), s.queueEstimate(now, j)), true, service
}

// sureShare is the part of the time that a job can wait to start within which its predicted wait must be: waits vary, and
// what is admitted is to start in time.
const sureShare = 0.7

// queueEstimate is the least time that the stages of a new job take behind the pieces that go before them.
func (s *scheduler) queueEstimate(now time.Time, j *job) time.Duration {
	startBy := j.abandonedAt
	if !j.late {
		startBy = s.startBy(j)
	}
	longest := time.Duration(0)
	for i, st := range j.Stages {
		q := s.services[st.Service]
		if st.Pieces == 0 || len(st.DependsOn) > 0 {
			continue // what is ahead now does not hold up later stages for sure
		}
		ahead := s.pending.piecesAhead(q, j, startBy)
		wait, call := time.Duration(0), shortestCall(q.spec)
		if ahead > 0 || q.idleWorkers(now) == 0 {
			wait = q.startsAfter(now, ahead/q.spec.Batch)
			call = q.spec.CallTime + time.Duration(min(st.Pieces, q.spec.Batch))*q.spec.PieceTime
		}
		longest = max(longest, wait+call+j.minRemaining[i])
	}
	return longest
}

// startsAfter is how long until the service starts a call that has that many others before it.
func (q *serviceQueue) startsAfter(now time.Time, calls int) time.Duration {
	free := make([]time.Duration, 0, len(q.list))
	for _, w := range q.list {
		if w.healthy() {
			free = append(free, w.freeIn(q, now))
		}
	}
	if len(free) == 0 {
		return drainTime(float64((calls+1)*q.spec.Batch), q.slowestThroughput())
	}
	slices.Sort(free)
	return min(free[calls%len(free)]+time.Duration(calls/len(free))*fullCall(q.spec), never)
}

// lateEstimate predicts how long the stages of a job take that does not start in time for its goal: late jobs get what is
// left over, which is expected to be as much as lately.
func (s *scheduler) lateEstimate(now time.Time, j *job) time.Duration {
	leftover := s.lateStarts.perSecond(now) + s.idleRate(now, j)
	return min(never, drainTime(float64(s.pending.lateAhead(j)+1), leftover)) + s.unloadedTime(j)
}

// idleRate is how many jobs like this one a second the services could have done lately besides what they did.
func (s *scheduler) idleRate(now time.Time, j *job) float64 {
	least := math.Inf(1)
	pieces := map[string]int{}
	for _, st := range j.Stages {
		pieces[st.Service] += st.Pieces
	}
	for service, n := range pieces {
		if q := s.services[service]; n > 0 && q != nil {
			least = min(least, q.idleShare(now)*q.nominalThroughput()/float64(n))
		}
	}
	return least
}

// mustEnd is the latest time at which the stages must be completed, so that the engine begins its answer before the
// caller's time is over.
func (j *job) mustEnd() time.Time { return j.abandonedAt.Add(-j.engineTime) }

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
