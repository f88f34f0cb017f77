package stagework

import (
	"slices"
	"time"
)

// An upstream that becomes slow keeps the pieces of its call until the call ends or times out, which takes 1.8 s
// where a call should take 0.45 s, while other upstreams may be idle. With the setting hedge_stages, the
// upstream of an overdue call counts as slow at once, and the pieces that can still be in time are sent to a second
// upstream. The first result of a piece counts. As hedges start only where no piece waits, they take no throughput
// from other pieces.

const (
	// overdueFactor is the multiple of its expected duration from which on a call is overdue. Calls of healthy
	// upstreams take up to 1.2 times their expected duration.
	overdueFactor = 1.5
	// callsPerHedge is the number of calls of a service that allow one hedge.
	callsPerHedge = 10
	// maxSavedHedges is the number of hedges that earlier calls can allow at most.
	maxSavedHedges = 5
)

// hedging is the scheduler's state of hedged calls.
type hedging struct {
	enabled bool
	running []*call // calls in progress, and some that have ended since the last tick; empty unless enabled
}

// hedgeState is the part of a call's state that concerns hedges.
type hedgeState struct {
	overdue bool
	hedge   *call // the call that repeats pieces of this one; nil if there is none
	hedgeOf *call // the call whose pieces this one repeats; nil if this is no hedge
	used    bool  // the call brought the first result of a piece
}

// pieceCalls is the state of a piece's calls.
type pieceCalls struct {
	running int  // calls in progress with the piece: two if it is hedged
	fetches int  // calls that have fetched the inputs, without those that failed
	hedged  bool // the piece was sent in a hedge
	done    bool // the piece has a result
}

// hedgeBudget is a token bucket that limits the hedges of a service. It counts in calls, of which callsPerHedge
// make a token, and starts empty, so that at no time more than one call in callsPerHedge is a hedge.
type hedgeBudget struct{ calls int }

func (b *hedgeBudget) countCall() { b.calls = min(b.calls+1, callsPerHedge*maxSavedHedges) }

func (b *hedgeBudget) available() bool { return b.calls >= callsPerHedge }

func (b *hedgeBudget) take() { b.calls -= callsPerHedge }

// beginCall records that a call with the piece starts.
func (p *piece) beginCall() {
	p.running++
	p.job.calls++
}

// endCall records that a call with the piece has ended. Once the piece has a result, its other call no
// longer counts as one of the job.
func (p *piece) endCall() {
	p.running--
	if !p.done {
		p.job.calls--
	}
}

// recordFirstResult records that the call brought the first result of the piece.
func (c *call) recordFirstResult(p *piece) {
	c.used = true
	p.done = true
	p.job.calls -= p.running
}

// trackDuration tracks how long a call takes.
func (s *scheduler) trackDuration(q *serviceQueue, c *call) {
	if !s.hedging.enabled {
		return
	}
	s.hedging.running = append(s.hedging.running, c)
	if c.hedgeOf == nil {
		q.hedgeBudget.countCall()
	}
}

// markOverdue marks the calls in progress that are overdue. Until such a call ends, its upstream counts as slow.
// The time of a stall of this process says nothing about an upstream.
func (s *scheduler) markOverdue(now time.Time) {
	s.hedging.running = slices.DeleteFunc(s.hedging.running, func(c *call) bool { return c.ended })
	for _, c := range s.hedging.running {
		if !c.overdue && s.unaffectedByStall(c) && now.Sub(c.started) >= time.Duration(overdueFactor*float64(c.expected)) {
			c.overdue = true
			c.worker.overdueCalls++
		}
	}
}

// hedgeOverdueCalls returns the hedges to start now. It is called when no waiting piece can start.
func (s *scheduler) hedgeOverdueCalls(now time.Time) []*call {
	var out []*call
	for _, c := range s.hedging.running {
		if !c.overdue || c.ended || c.hedge != nil || !s.unaffectedByStall(c) {
			continue
		}
		q := s.services[c.service]
		if len(q.waiting) > 0 || !q.hedgeBudget.available() {
			continue
		}
		if h := q.hedgeCall(c, now); h != nil {
			out = append(out, h)
		}
	}
	for _, h := range out {
		s.trackCall(now, s.services[h.service], h)
		hedgesVar.Add(h.service, 1)
	}
	return out
}

// hedgeCall builds a call that repeats pieces of an overdue one, at the upstream that can take most of them, and
// most of those in their preferred data centre. It returns nil if no upstream can take any.
func (q *serviceQueue) hedgeCall(c *call, now time.Time) *call {
	var at *worker
	var pieces []*piece
	local := 0
	for _, w := range q.availableWorkers(now) {
		if !q.canHedgeAt(w) {
			continue
		}
		fit := q.hedgeablePieces(c, w, now)
		if n := localPieces(fit, w); len(fit) > len(pieces) || len(fit) == len(pieces) && n > local {
			at, pieces, local = w, fit, n
		}
	}
	if len(pieces) == 0 {
		return nil
	}
	h := &call{service: c.service, worker: at, started: now, pieces: pieces, expected: q.callDuration(len(pieces)), bytes: totalBytes(pieces), hedgeState: hedgeState{hedgeOf: c}}
	for _, p := range pieces {
		p.beginCall()
		p.hedged = true
		p.job.addHedgedCalls(c, h)
		h.request = append(h.request, p.request(now))
	}
	q.beginCall(h, now)
	q.hedgeBudget.take()
	c.hedge = h
	c.worker.forgetProgress(c)
	return h
}

// canHedgeAt reports whether an available upstream may get hedges: an idle, healthy one without a request limit.
// The upstream of the overdue call is not healthy.
func (q *serviceQueue) canHedgeAt(w *worker) bool {
	_, limited := q.permits.limit(w.member)
	return w.runningCalls == 0 && w.healthy() && !limited
}

// hedgeablePieces returns the pieces of an overdue call that a call of the upstream would complete in time if it
// started now, or none if the upstream has no room for all of them.
func (q *serviceQueue) hedgeablePieces(c *call, w *worker, now time.Time) []*piece {
	var out []*piece
	for _, p := range c.pieces {
		if p.hedgeable() && p.job.Within.Contains(w.member.DataCenter) {
			out = append(out, p)
		}
	}
	for len(out) > 0 {
		end := now.Add(time.Duration(float64(q.callDuration(len(out))) * max(1, w.slowdown)))
		first := slices.MinFunc(out, func(a, b *piece) int { return a.latestEnd().Compare(b.latestEnd()) })
		if !end.After(first.latestEnd()) {
			break
		}
		// Without them the call is shorter, so the others may be in time.
		out = slices.DeleteFunc(out, func(p *piece) bool { return p.job == first.job && p.stage == first.stage })
	}
	if totalBytes(out) > q.freeRoomAt(w) {
		return nil
	}
	return out
}

// hedgeable reports whether a piece of an overdue call may be sent again: its result is needed, its job is not
// late, and its inputs are still stored.
func (p *piece) hedgeable() bool {
	j := p.job
	return !p.hedged && !p.done && j.answer != nil && !j.moving && !j.late && p.epoch == j.restarts && !p.inputsReleased()
}

// latestEnd is the time by which the piece must be done for its job to reach its goal.
func (p *piece) latestEnd() time.Time { return p.job.goal.Add(-p.job.minRemaining[p.stage]) }

// callDuration is the expected duration of a call with that many pieces.
func (q *serviceQueue) callDuration(pieces int) time.Duration {
	return q.spec.CallTime + time.Duration(pieces)*q.spec.PieceTime
}

func totalBytes(pieces []*piece) int64 {
	var sum int64
	for _, p := range pieces {
		sum += p.bytes()
	}
	return sum
}

// localPieces counts the pieces whose preferred data centre is that of the upstream.
func localPieces(pieces []*piece, w *worker) int {
	n := 0
	for _, p := range pieces {
		if p.preferredDataCenter == w.member.DataCenter {
			n++
		}
	}
	return n
}

// forgetProgress ends the prediction of a call's progress, so that a hedged piece is not counted as being
// processed twice.
func (w *worker) forgetProgress(c *call) {
	if w.lastCall == c {
		w.lastCall = nil
	}
}

// addHedgedCalls records the two calls of a hedged piece of the job.
func (j *job) addHedgedCalls(calls ...*call) {
	for _, c := range calls {
		if !slices.Contains(j.hedgedCalls, c) {
			j.hedgedCalls = append(j.hedgedCalls, c)
		}
	}
}

// hedgeFetchesInputs reports whether a call in progress with a hedged piece of the stage has still to fetch its
// inputs. This holds also when the other call of the piece has succeeded.
func (j *job) hedgeFetchesInputs(stage int) bool {
	return slices.ContainsFunc(j.hedgedCalls, func(c *call) bool {
		return !c.ended && !c.inputsFetched && slices.ContainsFunc(c.pieces, func(p *piece) bool {
			return p.hedged && p.job == j && p.stage == stage && p.epoch == j.restarts
		})
	})
}

// finishHedged records the end of a call that was overdue or hedged, or is a hedge, and returns the inputs that
// were kept for it.
func (s *scheduler) finishHedged(now time.Time, c *call) []storedResult {
	if c.overdue {
		c.worker.overdueCalls--
	}
	if c.hedge == nil && c.hedgeOf == nil {
		return nil
	}
	if c.hedgeOf != nil && c.used {
		hedgesWonVar.Add(c.service, 1)
	} else if c.hedgeOf != nil {
		hedgesWastedVar.Add(c.service, 1)
	}
	if c.hedge != nil && c.used {
		c.hedge.worker.forgetProgress(c.hedge)
	}
	var out []storedResult
	for _, p := range c.pieces {
		j := p.job
		j.hedgedCalls = slices.DeleteFunc(j.hedgedCalls, func(x *call) bool { return x == c })
		if p.hedged && p.epoch == j.restarts && j.answer != nil && j.completionKnown(now, p.stage) {
			out = append(out, s.releaseInputs(j)...)
		}
	}
	return out
}

// completionKnown reports whether the submitting process knows by now that the stage is completed. Until then
// the stage's inputs are kept for the next owner. If it does not, a later event of the job releases them.
func (j *job) completionKnown(now time.Time, stage int) bool {
	return j.Caller == "" || j.missing[stage] == 0 && now.Sub(j.times[stage].done) > pingTimeout
}

// logHedge logs a call that is a hedge.
func (s *Service) logHedge(c *call) {
	o := c.hedgeOf
	if o == nil {
		return
	}
	s.log.Info("stage call hedged", "service", c.service, "upstream", o.worker.member.ID, "hedge_upstream", c.worker.member.ID,
		"age", c.started.Sub(o.started), "expected", o.expected, "pieces", len(c.pieces), "of", len(o.pieces))
}
