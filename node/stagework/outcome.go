package stagework

import (
	"time"

	"caperdrum.org/node/upstream"
)

const (
	// maxAttempts bounds how often a piece is tried: three failures are hardly the upstreams' fault.
	maxAttempts = 3
	// maxRestarts bounds how often a job is restarted after its results were lost.
	maxRestarts = 1
	// failureBackoff is how long an upstream gets no calls after a failed one, doubled with
	// each further failure up to maxFailureBackoff.
	failureBackoff    = 500 * time.Millisecond
	maxFailureBackoff = 4 * time.Second
	// fullBackoff is the same for an upstream that was full or had no room.
	fullBackoff = 60 * time.Millisecond
	// slowdownWeight is the weight of the last call in a worker's slowdown.
	slowdownWeight = 0.4
)

// backoffAfter is how long an upstream gets no calls after that many failures in a row.
func backoffAfter(failures int) time.Duration {
	return min(failureBackoff<<min(failures-1, 8), maxFailureBackoff)
}

// outcome is how a call ended.
type outcome struct {
	results     []upstream.PieceResult // one for each piece; nil when the call failed
	full        bool                   // the call was not run, as the upstream is full
	misdirected bool                   // another upstream answered at the address
	pause       time.Duration          // for which the upstream asks for no calls
	leaving     bool                   // the upstream accepts no further calls
	unreachable bool                   // no connection to its address
	err         string
}

// finishCall records the outcome of a call and returns the results that no job needs, to
// be freed.
func (s *scheduler) finishCall(now time.Time, c *call, o outcome) []storedResult {
	s.startPending = true
	w := c.worker
	c.ended = true
	w.runningCalls--
	w.addOwn(-c.bytes)
	s.measureCall(now, c, o)
	s.updateWorker(now, c, o)
	s.countRolloutCall(now, c, o)
	var free []storedResult
	for i, p := range c.pieces {
		p.endCall()
		r := upstream.PieceResult{Failure: upstream.Failed}
		if o.results != nil {
			r = o.results[i]
		}
		if w.restarted {
			r = upstream.PieceResult{Failure: upstream.Failed}
		}
		if r.Handle == "" {
			free = append(free, s.pieceFailed(now, c, p, r.Failure, o.full || o.misdirected || w.restarted)...)
			continue
		}
		m := storedResult{worker: w, handle: r.Handle, bytes: p.bytes(), stage: p.stage, number: p.number}
		w.addOwn(m.bytes)
		if p.done || p.job.answer == nil || p.epoch != p.job.restarts {
			free = append(free, m)
			continue
		}
		c.recordFirstResult(p)
		free = append(free, s.storeResult(now, p, m)...)
	}
	free = append(free, s.finishHedged(now, c)...)
	for _, p := range c.pieces {
		free = append(free, s.moveJob(p.job)...)
	}
	return free
}

// updateWorker updates the state of the upstream from the outcome of a call.
func (s *scheduler) updateWorker(now time.Time, c *call, o outcome) {
	w := c.worker
	w.leaving = w.leaving || o.leaving
	if until := now.Add(o.pause); o.pause > 0 && until.After(w.pausedUntil) {
		w.pausedUntil = until
	}
	switch {
	case o.results != nil:
		w.failures, w.lastCallSucceeded = 0, true
		s.reachability.recordAnswer(w.member.DataCenter)
		if s.unaffectedByStall(c) {
			ratio := float64(now.Sub(c.started)) / float64(c.expected)
			w.slowdown += slowdownWeight * (ratio - w.slowdown)
		}
	case o.full:
		w.backoffUntil = now.Add(fullBackoff)
	case o.misdirected:
		w.gone = true // the member list will follow
	case s.unaffectedByStall(c):
		w.lastCallSucceeded = false
		w.failures++
		w.backoffUntil = now.Add(backoffAfter(w.failures))
		if o.unreachable {
			s.reachability.recordFailure(now, w.member)
		}
	}
}

func (s *scheduler) storeResult(now time.Time, p *piece, m storedResult) []storedResult {
	j := p.job
	j.results = append(j.results, m)
	j.handles[p.stage][p.number] = m.handle
	j.missing[p.stage]--
	s.updateBacklog(j)
	if j.missing[p.stage] > 0 {
		return nil
	}
	j.times[p.stage].done = now
	s.advance(now, j)
	if j.answer != nil && s.queueUpdate(j, j.completedStage(p.stage)) {
		return nil
	}
	return s.releaseInputs(j)
}

// pieceFailed queues a failed piece again, or ends its job. An exempt failure does not count as
// an attempt.
func (s *scheduler) pieceFailed(now time.Time, c *call, p *piece, why upstream.Failure, exempt bool) []storedResult {
	j := p.job
	if p.done || j.answer == nil || p.epoch != j.restarts {
		return nil
	}
	p.undoInputsFetched(c)
	if why == upstream.NoRoom {
		noRoomVar.Add(c.service, 1)
		c.worker.backoffUntil = now.Add(fullBackoff)
		spec := s.services[c.service].spec
		c.worker.recordNoRoom(now, spec.ResultRoom, p.bytes(), spec.ResultTTL)
	}
	if p.running > 0 {
		return nil // the other call of a hedged piece decides
	}
	switch {
	case why == upstream.NoRoom:
	case why == upstream.InputGone && j.restarts < maxRestarts:
		return s.restartJob(now, j)
	case why == upstream.InputGone, why == upstream.Late:
		s.endJob(j, Result{}, errStageFailed(string(why)))
		return s.forgetJob(j)
	case !exempt:
		p.attempts++
	}
	if p.inputsReleased() {
		if j.restarts < maxRestarts {
			return s.restartJob(now, j)
		}
		why, p.attempts = upstream.InputGone, maxAttempts
	}
	if p.attempts >= maxAttempts {
		s.endJob(j, Result{}, errStageFailed(string(why)))
		return s.forgetJob(j)
	}
	q := s.services[j.Stages[p.stage].Service]
	q.enqueue(p)
	retriedVar.Add(c.service+"/"+retryReason(why, exempt), 1)
	return nil
}

// retryReason is the metric label for why a piece is retried.
func retryReason(why upstream.Failure, exempt bool) string {
	switch {
	case why == upstream.NoRoom:
		return "no-room"
	case exempt:
		return "not-run"
	}
	return "failed"
}

// countRetried counts the pieces of all started stages as retried.
func (j *job) countRetried(why string) {
	for i, st := range j.Stages {
		if j.started[i] {
			retriedVar.Add(st.Service+"/"+why, int64(st.Pieces))
		}
	}
}

// restartJob starts a job again from its first stage.
func (s *scheduler) restartJob(now time.Time, j *job) []storedResult {
	j.countRetried("begun-anew")
	j.restarts++
	s.queueUpdate(j, nil)
	s.dequeue(j)
	out := j.results
	j.results = nil
	s.reset(j)
	if j.late && j.calls == 0 && !j.postponed {
		s.postpone(j)
	}
	s.updateBacklog(j)
	s.advance(now, j)
	return out
}
