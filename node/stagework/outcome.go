package stagework

import (
	"time"

	"caperdrum.org/node/upstream"
)

const (
	// maxTries bounds how often a piece is asked for: a third failure is hardly
	// the upstream's.
	maxTries = 3
	// maxRestarts bounds how often a job whose results were lost begins again.
	maxRestarts = 1
	// failurePause is how long an upstream is left alone after a failed call,
	// doubled with each further one up to failurePauseMax.
	failurePause    = 500 * time.Millisecond
	failurePauseMax = 4 * time.Second
	// fullPause is how long one is left alone that was full or had no room.
	fullPause = 60 * time.Millisecond
	// speedWeight is the weight of the last call in an upstream's ratio.
	speedWeight = 0.4
)

// pauseAfter is how long an upstream is left alone after so many failures in a row.
func pauseAfter(failures int) time.Duration {
	return min(failurePause<<min(failures-1, 8), failurePauseMax)
}

// outcome is how a call ended.
type outcome struct {
	results []upstream.PieceResult // one for each piece; nil when the call failed
	full    bool                   // it was not run: the upstream is full
	moved   bool                   // another upstream answered at the address
	pause   time.Duration          // for which the upstream wants no calls
	leaving bool                   // it wants none any more
	dark    bool                   // nothing answered at its address
	err     string
}

// finish takes over the outcome of a call and returns the results that are to
// be freed, since nobody waits for them.
func (s *scheduler) finish(now time.Time, c *call, o outcome) []made {
	s.due = true
	w := c.worker
	c.ended = true
	w.running--
	w.hold(-c.bytes)
	s.judge(now, c, o)
	s.countTrial(now, c, o)
	var free []made
	for i, p := range c.pieces {
		p.job.calls--
		r := upstream.PieceResult{Failure: upstream.Failed}
		if o.results != nil {
			r = o.results[i]
		}
		if w.lost {
			r = upstream.PieceResult{Failure: upstream.Failed}
		}
		if r.Handle == "" {
			free = append(free, s.failed(now, c, p, r.Failure, o.full || o.moved || w.lost)...)
			continue
		}
		m := made{worker: w, handle: r.Handle, bytes: p.bytes(), stage: p.stage, number: p.number}
		w.hold(m.bytes)
		if p.job.answer == nil || p.epoch != p.job.restarts {
			free = append(free, m)
			continue
		}
		free = append(free, s.deliver(now, p, m)...)
	}
	for _, p := range c.pieces {
		free = append(free, s.move(p.job)...)
	}
	return free
}

// judge notes what a call tells of the upstream.
func (s *scheduler) judge(now time.Time, c *call, o outcome) {
	w := c.worker
	w.leaving = w.leaving || o.leaving
	if until := now.Add(o.pause); o.pause > 0 && until.After(w.paused) {
		w.paused = until
	}
	switch {
	case o.results != nil:
		w.failures, w.proven = 0, true
		s.reach.answered(w.member.DataCenter)
		if s.measured(c) {
			ratio := float64(now.Sub(c.began)) / float64(c.expect)
			w.ratio += speedWeight * (ratio - w.ratio)
		}
	case o.full:
		w.until = now.Add(fullPause)
	case o.moved:
		w.gone = true // the members will say so too
	case s.measured(c):
		w.proven = false
		w.failures++
		w.until = now.Add(pauseAfter(w.failures))
		if o.dark {
			s.reach.failed(now, w.member)
		}
	}
}

func (s *scheduler) deliver(now time.Time, p *piece, m made) []made {
	j := p.job
	j.made = append(j.made, m)
	j.handles[p.stage][p.number] = m.handle
	j.missing[p.stage]--
	s.recount(j)
	if j.missing[p.stage] > 0 {
		return nil
	}
	j.times[p.stage].made = now
	s.advance(now, j)
	if j.answer != nil && s.tell(j, j.stageMade(p.stage)) {
		return nil
	}
	return s.freeInputs(j)
}

// failed queues a piece again, or ends its job.
func (s *scheduler) failed(now time.Time, c *call, p *piece, why upstream.Failure, innocent bool) []made {
	j := p.job
	if j.answer == nil || p.epoch != j.restarts {
		return nil
	}
	p.unfetched(c)
	switch {
	case why == upstream.NoRoom:
		noRoomVar.Add(c.service, 1)
		c.worker.until = now.Add(fullPause)
		spec := s.services[c.service].spec
		c.worker.noRoom(now, spec.ResultRoom, p.bytes(), spec.ResultTTL)
	case why == upstream.InputGone && j.restarts < maxRestarts:
		return s.restart(now, j)
	case why == upstream.InputGone, why == upstream.Late:
		s.end(j, Result{}, errStages(string(why)))
		return s.forget(j)
	case !innocent:
		p.tries++
	}
	if p.inputsGivenUp() {
		if j.restarts < maxRestarts {
			return s.restart(now, j)
		}
		why, p.tries = upstream.InputGone, maxTries
	}
	if p.tries >= maxTries {
		s.end(j, Result{}, errStages(string(why)))
		return s.forget(j)
	}
	q := s.services[j.Stages[p.stage].Service]
	q.wait(p)
	againVar.Add(c.service+"/"+againBecause(why, innocent), 1)
	return nil
}

// againBecause names why a piece is asked for once more, for metrics.
func againBecause(why upstream.Failure, innocent bool) string {
	switch {
	case why == upstream.NoRoom:
		return "no-room"
	case innocent:
		return "not-run"
	}
	return "failed"
}

// countAgain counts the pieces of the stages that had begun, which are made once more.
func (j *job) countAgain(why string) {
	for i, st := range j.Stages {
		if j.started[i] {
			againVar.Add(st.Service+"/"+why, int64(st.Pieces))
		}
	}
}

// restart makes all results of a job again.
func (s *scheduler) restart(now time.Time, j *job) []made {
	j.countAgain("begun-anew")
	j.restarts++
	s.tell(j, nil)
	s.unqueue(j)
	out := j.made
	j.made = nil
	s.reset(j)
	s.recount(j)
	s.advance(now, j)
	return out
}
