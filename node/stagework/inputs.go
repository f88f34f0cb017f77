package stagework

import (
	"slices"
	"time"
)

// An upstream fetches the inputs of its pieces before it processes them. While room (memory for
// results, see room.go) is short, inputs are released as soon as they are fetched instead of when
// the pieces are done: they occupy their upstreams for half as long, so that these can process up
// to a quarter more in the same room. If a call fails after that, its jobs restart; one piece in 400 fails.

// inputFetchTime is how long after the start of a call its upstream has fetched the inputs: those
// of a full call take 30 ms over a link of 10 Gbit/s shared by ten upstreams.
const inputFetchTime = 80 * time.Millisecond

// collectFetchedInputs marks the calls in progress that have fetched their inputs by now, and
// returns the results that may be freed.
func (s *scheduler) collectFetchedInputs(now time.Time) []storedResult {
	var out []storedResult
	waiting := s.fetchingInputs[:0]
	for _, c := range s.fetchingInputs {
		switch {
		case c.ended || c.inputsFetched:
		case now.Sub(c.started) < inputFetchTime:
			waiting = append(waiting, c)
		default:
			out = append(out, s.markInputsFetched(c)...)
		}
	}
	s.fetchingInputs = waiting
	return out
}

// markInputsFetched marks the inputs of a call as fetched.
func (s *scheduler) markInputsFetched(c *call) []storedResult {
	c.inputsFetched = true
	for _, p := range c.pieces {
		if p.epoch != p.job.restarts {
			continue
		}
		if p.fetches++; p.fetches == 1 {
			p.job.inputsFetched[p.stage]++
		}
	}
	var out []storedResult
	for _, p := range c.pieces {
		if p.job.answer != nil {
			out = append(out, s.releaseInputs(p.job)...)
		}
	}
	earlyFreedVar.Add(int64(len(out)))
	return out
}

// trackInputs tracks when a call has fetched its inputs. They are fetched once the call's turn
// comes, which is at once only at an upstream that runs no calls of others: one whose last call,
// as seen by this owner, succeeded.
func (s *scheduler) trackInputs(c *call) {
	if c.worker.lastCallSucceeded && c.expected > 2*inputFetchTime {
		s.fetchingInputs = append(s.fetchingInputs, c)
	}
}

// undoInputsFetched reverts the mark for a piece that failed.
func (p *piece) undoInputsFetched(c *call) {
	if !c.inputsFetched {
		return
	}
	if p.fetches--; p.fetches == 0 {
		p.job.inputsFetched[p.stage]--
	}
}

// inputsReleased reports whether a piece cannot be retried because its inputs were released.
func (p *piece) inputsReleased() bool {
	for _, k := range p.job.Stages[p.stage].DependsOn {
		if p.job.released[k] {
			return true
		}
	}
	return false
}

// resultsNeeded reports whether the results of a stage are still needed: by the engine, or by a
// stage that is not completed and, while room is short, has not fetched them, or by either call of a
// hedged piece that is still to fetch them.
func (s *scheduler) resultsNeeded(j *job, stage int) bool {
	if j.finalStages()[stage] {
		return true
	}
	for i, st := range j.Stages {
		if !slices.Contains(st.DependsOn, stage) {
			continue
		}
		if j.hedgeFetchesInputs(i) {
			return true
		}
		if j.missing[i] == 0 {
			continue
		}
		if j.inputsFetched[i] < st.Pieces || !s.services[j.Stages[stage].Service].shortOfRoom() {
			return true
		}
	}
	return false
}

// shortOfRoom reports whether the results of the waiting pieces exceed the free room.
func (q *serviceQueue) shortOfRoom() bool {
	if q.spec.ResultRoom <= 0 || len(q.waiting) < q.spec.Batch {
		return false
	}
	var waiting int64
	for _, p := range q.waiting {
		waiting += p.bytes()
	}
	return waiting > q.freeRoom()
}
