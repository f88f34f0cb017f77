package stagework

import (
	"math/rand/v2"
	"time"

	"caperdrum.org/api/optext"
)

const (
	// firstEfficiency is the part of its nominal rate that a service is expected to
	// reach before it was seen under load: a call of three quarters of a batch.
	firstEfficiency = 0.75
	// efficiencyWeight is the weight of a call in what a service reaches: the last
	// dozen calls, a second of five upstreams, make most of it.
	efficiencyWeight = 0.1
	// handOver is how long a result lies at its maker while room is short: until the next
	// upstream or the engine begins, and has fetched it.
	handOver = 200 * time.Millisecond
	// comeBackPart bounds when a caller is told to come back: a caller honours up
	// to a third of the time that it has left.
	comeBackPart = 3
	// comeBackFrom is the part of that third before which nobody is told to come
	// back: bursts last for 3 s to 8 s, and a caller that is sent away twice is
	// worth less than one that never came.
	comeBackFrom = 0.6
	// trustAbove is the number of jobs under way from which on estimates decide:
	// a few jobs never overload a service.
	trustAbove = 8
	// behindSpan bounds how many calls may be under way that are late or whose callers
	// come back, as the work of so long: they use what first tries leave, and hold room
	// meanwhile. At 60 calls a second that are 25; without a bound callers were served
	// worse by a twentieth there, and three times as many earned nothing.
	behindSpan = 400 * time.Millisecond
)

// refuse reports whether a job would miss its goal behind those that are under
// way, or be taken in before more urgent ones, and when its caller should come back.
// Work on a call that will be late makes others late too. Behind all first tries some
// are taken in that are late or not: callers that come back, and those whom nobody
// keeps from their goal, since their stages alone take longer. Coming back would only
// make these later.
func (s *scheduler) refuse(now time.Time, j *job) (comeBack time.Duration, refused bool) {
	if pause := s.pause(now, j); pause > 0 && now.Add(pause+s.alone(j)).After(j.deadline) {
		return pause, true
	}
	if len(s.jobs) < trustAbove {
		return 0, false
	}
	j.returned = s.sentAway.has(j.Key, now)
	estimate, binding := s.estimate(now, j)
	j.estimate = estimate
	s.lastEstimate, s.lastReturned = estimate, j.returned
	late := now.Add(estimate).After(j.goal)
	if j.returned || now.Add(s.alone(j)).After(j.goal) {
		if s.backlog.behind < s.maxBehind(now) && now.Add(estimate).Before(j.deadline) {
			j.late = late
			return 0, false
		}
		return s.sendAway(now, j), true
	}
	if !late {
		binding = s.privileged(now, j)
	}
	s.count(now, j, binding)
	if binding == "" {
		return 0, false
	}
	return s.sendAway(now, j), true
}

// pause is how long it takes until all services that the job needs have an upstream that wants calls.
func (s *scheduler) pause(now time.Time, j *job) time.Duration {
	var longest time.Duration
	for _, st := range j.Stages {
		if st.Pieces > 0 {
			longest = max(longest, s.services[st.Service].pause(now))
		}
	}
	return longest
}

// sendAway remembers the caller and returns when it should come back.
func (s *scheduler) sendAway(now time.Time, j *job) time.Duration {
	s.sentAway.add(j.Key, now, j.deadline)
	longest := j.Left / comeBackPart
	shortest := time.Duration(comeBackFrom * float64(longest))
	return shortest + time.Duration(rand.Float64()*float64(longest-shortest))
}

// estimate is how long the stages of a new job take behind the jobs whose time
// comes before: at each service that it needs, the work that is on its way
// there, and what follows. binding is the service that it waits for longest.
func (s *scheduler) estimate(now time.Time, j *job) (estimate time.Duration, binding string) {
	s.pass(now)
	var longest time.Duration
	for i, st := range j.Stages {
		if st.Pieces == 0 {
			continue
		}
		q := s.services[st.Service]
		rate := q.rate(st.Bytes, handOver)
		if rate <= 0 {
			return j.Left + 1, st.Service
		}
		own := q.spec.CallTime + time.Duration(st.Pieces)*q.spec.PieceTime
		if q.idle(now) >= st.Pieces {
			own = shortestCall(q.spec)
		}
		wait := time.Duration(s.ahead(q, now, j.goal) / rate * float64(time.Second))
		if whole := wait + own + j.tail[i]; whole > longest {
			longest, binding = whole, st.Service
		}
	}
	return max(longest, s.alone(j)+s.untilFree(now, j)), binding
}

// alone is how long the stages of a job take at least: nobody waits before it, and the
// pieces of a stage that is ready are spread over idle upstreams.
func (s *scheduler) alone(j *job) time.Duration {
	var longest time.Duration
	for i, st := range j.Stages {
		if st.Pieces > 0 {
			longest = max(longest, shortestCall(s.services[st.Service].spec)+j.tail[i])
		}
	}
	return longest
}

// untilFree is how long a job waits for upstreams besides what goes before it: half a
// call on average at each service that has none idle.
func (s *scheduler) untilFree(now time.Time, j *job) time.Duration {
	var sum time.Duration
	for _, st := range j.Stages {
		if q := s.services[st.Service]; st.Pieces > 0 && q.idle(now) == 0 {
			sum += q.spec.CallTime / 4
		}
	}
	return sum
}

// maxBehind is how many calls may be under way behind first tries.
func (s *scheduler) maxBehind(now time.Time) int {
	return max(trustAbove, int(s.ended.perSecond(now)*behindSpan.Seconds()))
}

// done is how many pieces the calls under way should have made by now.
func (q *serviceQueue) done(now time.Time) float64 {
	sum := 0.0
	for _, w := range q.list {
		if c := w.current; c != nil && w.running > 0 {
			sum += float64(len(c.pieces)) * min(1, now.Sub(c.began).Seconds()/w.freeAt.Sub(c.began).Seconds())
		}
	}
	return sum
}

// reached notes how full a call was that was made while a whole batch waited.
func (q *serviceQueue) reached(c *call) {
	if c.behind < q.spec.Batch {
		return
	}
	nominal := float64(q.spec.Batch) / fullCall(q.spec).Seconds()
	q.efficiency += efficiencyWeight * (float64(len(c.pieces))/c.expect.Seconds()/nominal - q.efficiency)
}

func shortestCall(spec *optext.Service) time.Duration { return spec.CallTime + spec.PieceTime }

func fullCall(spec *optext.Service) time.Duration {
	return spec.CallTime + time.Duration(spec.Batch)*spec.PieceTime
}

// rate is how many pieces a second the service makes, bounded by its upstreams'
// time and by the room for results that are held for hold after they are made.
func (q *serviceQueue) rate(bytes int64, hold time.Duration) float64 {
	call := fullCall(q.spec)
	rate := float64(q.healthy()) * float64(q.spec.Batch) / call.Seconds() * q.efficiency
	if q.spec.ResultRoom > 0 && bytes > 0 {
		rate = min(rate, float64(q.ownRoom())/float64(bytes)/(call+hold).Seconds())
	}
	return rate
}
