package stagework

import (
	"slices"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/upstream"
)

const (
	// probeAfter is how long a slow upstream goes without work until one piece
	// finds out whether it has recovered.
	probeAfter = 2 * time.Second
	// largeBytes is the size from which on what a stage of one call moves between
	// data centres is worth waiting for an upstream nearby.
	largeBytes = 100_000
	// homeMargin is left of the time by which a piece must start when it stops
	// waiting for an upstream nearby.
	homeMargin = 60 * time.Millisecond
)

type serviceQueue struct {
	spec    *optext.Service
	waiting []*piece
	looked  int       // pieces of which it was asked whether they fit an upstream
	sorted  time.Time // for which moment waiting is in order; zero: it is not
	workers map[wire.MemberID]*worker
	list    []*worker     // the same, to go over
	members []wire.Member // of which workers were made
	known   bool          // they were made
	asked   classes       // jobs that need this service
	sums    pieceSums

	name     string
	split    *rollout.Split // of this owner's calls
	reach    *reach         // of data centres; shared by all services
	stranded []string       // dark data centres to which pieces that wait have to go
	rollout  wire.Rollout   // the service's last one

	efficiency float64 // the part of its nominal rate that it reaches while pieces wait
}

type piece struct {
	job    *job
	stage  int
	number int
	tries  int
	epoch  int // restarts of the job when it was queued
	queued time.Time
	home   string // data centre where its inputs lie or its result is fetched; empty when they are small

	wait     time.Duration // until an upstream there begins it, as last foreseen
	stranded bool          // it may go to dark data centres only
	nowhere  bool          // there is none that is neither slow nor failing
}

// call is a call of an upstream that is to be made, or under way.
type call struct {
	service string
	worker  *worker
	pieces  []*piece
	request []upstream.Piece
	began   time.Time
	expect  time.Duration
	limit   time.Duration
	bytes   int64
	waited  time.Duration // of the piece that waited longest
	behind  int           // pieces that wait on
	fetched bool          // the upstream has the inputs
	ended   bool
}

// next takes the next call out of the queue, or returns nil when no upstream
// can take one.
func (q *serviceQueue) next(now time.Time) *call {
	q.strand()
	free := q.onTrack(q.free(now))
	if len(free) == 0 {
		return nil
	}
	q.sort(now)
	spares := q.spares(len(free))
	if spares && q.holds(now) {
		return nil
	}
	q.foresee(now)
	fits := map[string][]*piece{} // by data centre: what fits does not depend on the upstream
	for _, w := range free {
		fit, known := fits[w.member.DataCenter]
		if !known {
			fit = q.fitting(w, now)
			fits[w.member.DataCenter] = fit
		}
		limit := q.limit(w, len(fit), now)
		if limit == 0 {
			continue
		}
		// What waits is spread over the upstreams that are idle, since a call takes
		// longer with each piece.
		enough := (len(fit) + len(free) - 1) / len(free)
		if spares && q.canWait(fit[0], now) {
			enough = q.spec.Batch
		}
		if n := q.apart(groupOf(fit), len(free), now); n > 0 {
			fit, enough = fit[:n], n
		}
		if c := q.fill(w, fit, limit, enough, now); c != nil {
			return c
		}
	}
	return nil
}

// sort brings what waits into the order in which it is taken. The order holds for one moment: within a pass it
// is made once.
func (q *serviceQueue) sort(now time.Time) {
	if q.sorted.Equal(now) {
		return
	}
	slices.SortFunc(q.waiting, func(a, b *piece) int { return a.compare(b, now, q.spec) })
	q.sorted = now
}

// wait adds a piece to what waits.
func (q *serviceQueue) wait(p *piece) {
	q.waiting = append(q.waiting, p)
	q.sorted = time.Time{}
}

// apart is how many pieces of a group go into a call by themselves, zero where the group
// stays together. It is taken apart where it would miss its goal together, makes it in
// calls of so many pieces, and there are upstreams idle for all of them and nobody else
// waits: more calls pay the fixed time more often.
func (q *serviceQueue) apart(group []*piece, idle int, now time.Time) int {
	j, stage := group[0].job, group[0].stage
	left := j.goal.Sub(now) - q.spec.CallTime - j.tail[stage]
	if j.late || q.spec.PieceTime <= 0 || left >= time.Duration(len(group))*q.spec.PieceTime {
		return 0
	}
	n := int(left / q.spec.PieceTime)
	if n < 1 || n*idle < len(group) || len(q.waiting) > len(group) {
		return 0
	}
	return n
}

// limit is how many pieces of those that fit an upstream may get. A slow one
// gets none while the others can take all, and one from time to time to find
// out whether it has recovered.
func (q *serviceQueue) limit(w *worker, fit int, now time.Time) int {
	switch healthy := q.healthy(); {
	case fit == 0:
		return 0
	case w.dark():
		return 1 // to find out whether its data centre is back
	case w.ratio <= slowRatio, healthy == 0, fit > healthy*q.spec.Batch:
		return q.spec.Batch
	case now.Sub(w.used) > probeAfter:
		return 1
	}
	return 0
}

// foresee notes for each piece that waits for an upstream nearby how long that will
// be, behind those that go before it. The queue is in order.
func (q *serviceQueue) foresee(now time.Time) {
	free := map[string][]time.Duration{} // by data centre: when its upstreams are free
	for _, w := range q.list {
		if w.healthy() {
			dc := w.member.DataCenter
			free[dc] = append(free[dc], max(0, w.freeAt.Sub(now)))
		}
	}
	for _, list := range free {
		slices.Sort(list)
	}
	before := map[string]int{}
	for _, p := range q.waiting {
		list := free[p.home]
		if p.nowhere = len(list) == 0; p.nowhere {
			continue
		}
		calls := before[p.home] / q.spec.Batch
		p.wait = list[calls%len(list)] + time.Duration(calls/len(list))*fullCall(q.spec)
		before[p.home]++
	}
}

// fitting returns the waiting pieces that the upstream may take: one whose
// inputs or result are large waits for an upstream in their data centre, as
// long as it can wait without missing its goal and there is one.
func (q *serviceQueue) fitting(w *worker, now time.Time) []*piece {
	q.looked += len(q.waiting)
	out := make([]*piece, 0, len(q.waiting))
	closed := q.reach.closed(now, w.member.DataCenter)
	for _, p := range q.waiting {
		if closed && !p.stranded || !p.job.Within.Has(w.member.DataCenter) {
			continue
		}
		if p.home == "" || p.home == w.member.DataCenter || p.nowhere || p.wait > fullCall(q.spec) || p.pressed(now, q.spec) {
			out = append(out, p)
		}
	}
	return out
}

// pressed reports whether the piece would miss its goal by waiting.
func (p *piece) pressed(now time.Time, spec *optext.Service) bool {
	at, late := p.startBy(now, spec)
	return !late && at.Sub(now) < p.wait+homeMargin
}

// fill takes pieces for the upstream, in order, as far as it has room for their
// results: enough pieces, or what their group has besides, and limit at most. It
// returns nil when there is room for none.
func (q *serviceQueue) fill(w *worker, fit []*piece, limit, enough int, now time.Time) *call {
	c := &call{worker: w, began: now, expect: q.spec.CallTime}
	room := q.room(w)
	taken := map[*piece]bool{}
	for len(fit) > 0 && len(c.pieces) < enough {
		// Pieces that belong together stay together: a result that waits for its
		// siblings only takes room.
		group := groupOf(fit)
		bytes := int64(len(group)) * group[0].job.Stages[group[0].stage].Bytes
		fits := len(c.pieces)+len(group) <= min(limit, q.spec.Batch) && bytes <= room
		fit = fit[len(group):]
		if len(c.pieces) > 0 && !fits {
			continue
		}
		if !fits { // larger than any call, or than the room that is left
			n := min(len(group), q.spec.Batch, int(room/max(1, group[0].bytes())))
			if n == 0 && w.own+w.foreign > 0 {
				continue
			}
			group = group[:max(1, n)]
			bytes = int64(len(group)) * group[0].bytes()
		}
		room -= bytes
		c.bytes += bytes
		c.expect += time.Duration(len(group)) * q.spec.PieceTime
		for _, p := range group {
			taken[p] = true
			p.job.calls++
			p.job.begin(p.stage, now)
			c.waited = max(c.waited, now.Sub(p.queued))
			c.pieces = append(c.pieces, p)
			c.request = append(c.request, p.request(now))
		}
	}
	if len(c.pieces) == 0 {
		return nil
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(p *piece) bool { return taken[p] })
	c.behind = len(q.waiting)
	w.running++
	w.current = c
	q.reached(c)
	q.split.Sent(q.name, w.member.Version)
	w.hold(c.bytes)
	w.used = now
	w.freeAt = now.Add(time.Duration(float64(c.expect) * max(1, w.ratio)))
	c.limit = callLimit(c.expect, w.ratio)
	return c
}

// groupOf returns the first pieces that are of one stage of one job.
func groupOf(pieces []*piece) []*piece {
	first := pieces[0]
	n := 1
	for n < len(pieces) && pieces[n].job == first.job && pieces[n].stage == first.stage {
		n++
	}
	return pieces[:n]
}

func (p *piece) bytes() int64 { return p.job.Stages[p.stage].Bytes }

// callLimit is the time after which a call is given up: three times what it
// should take at the upstream's pace, and half a second for the links.
func callLimit(expect time.Duration, ratio float64) time.Duration {
	return time.Duration(3*float64(expect)*max(1, ratio)) + 500*time.Millisecond
}

func (p *piece) request(now time.Time) upstream.Piece {
	r := upstream.Piece{ID: p.job.ID, Stage: p.stage, Number: p.number, Remaining: p.job.deadline.Sub(now)}
	if len(p.job.Stages[p.stage].After) == 0 {
		r.Key = p.job.Key
	} else {
		r.Inputs = p.job.inputs(p.stage)
	}
	return r
}
