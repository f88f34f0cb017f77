package stagework

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"caperdrum.org/api/wire"
)

// slowRatio is the ratio of a call's duration to what the text says from which on an
// upstream only gets what the others cannot take.
const slowRatio = 1.8

// worker is an upstream that makes pieces.
type worker struct {
	member  wire.Member
	running int
	current *call // the last one
	held
	until    time.Time
	failures int
	ratio    float64 // of the duration of its calls to what the text says
	used     time.Time
	freeAt   time.Time // when its last call should end
	paused   time.Time // it wants no calls until then
	leaving  bool      // it wants none any more
	gone     bool      // it left the members, or another upstream has its address
	lost     bool      // it has started again: what it held is gone
	proven   bool      // its last call ended well
	ahead    bool      // its start is known from a report, before the members say so
	trial    bool      // it is of the version to which the service is being rolled out
	reach    *reach    // of its data centre, among others
}

// setWorkers takes over the upstreams that are there, and returns those that have
// started again since: nothing of what is known of a start goes on with the next.
func (q *serviceQueue) setWorkers(members []wire.Member) (lost []*worker) {
	present := map[wire.MemberID]bool{}
	for _, m := range members {
		present[m.ID] = true
		switch w := q.workers[m.ID]; {
		case w == nil:
			q.workers[m.ID] = q.newWorker(m)
		case w.member.Incarnation < m.Incarnation, w.member.Incarnation > m.Incarnation && !w.ahead:
			lost = append(lost, q.replace(w, m))
		}
	}
	for id, w := range q.workers {
		if !present[id] {
			w.gone = true
			delete(q.workers, id)
		}
	}
	q.relist()
	return lost
}

func (q *serviceQueue) newWorker(m wire.Member) *worker {
	return &worker{member: m, ratio: 1, reach: q.reach}
}

// replace puts the next start of an upstream in the place of one, and returns that.
func (q *serviceQueue) replace(w *worker, next wire.Member) *worker {
	q.workers[next.ID] = q.newWorker(next)
	w.gone, w.lost = true, true
	q.relist()
	return w
}

func (q *serviceQueue) relist() {
	q.list = slices.SortedFunc(maps.Values(q.workers), func(a, b *worker) int { return cmp.Compare(a.member.ID, b.member.ID) })
	q.markTrials()
}

// takes reports whether the upstream can take a call now.
func (q *serviceQueue) takes(w *worker, now time.Time) bool {
	return !w.gone && !w.leaving && !now.Before(w.paused) && w.running < max(1, q.spec.Calls) && !now.Before(w.until) && q.room(w) > 0 && !q.passedOver(w, now)
}

// idle counts the upstreams that would begin a piece that came now.
func (q *serviceQueue) idle(now time.Time) int {
	if len(q.waiting) > 0 {
		return 0
	}
	n := 0
	for _, w := range q.list {
		if w.healthy() && q.takes(w, now) {
			n++
		}
	}
	return n
}

// free returns the upstreams that take a call now, the fastest first.
func (q *serviceQueue) free(now time.Time) []*worker {
	var out []*worker
	for _, w := range q.list {
		if q.takes(w, now) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.ratio, b.ratio), cmp.Compare(a.member.ID, b.member.ID))
	})
	return out
}

func (q *serviceQueue) room(w *worker) int64 {
	if q.spec.ResultRoom <= 0 {
		return 1 << 60
	}
	return q.spec.ResultRoom - w.own - w.foreign
}

// healthy counts the upstreams that are neither slow nor failing.
func (q *serviceQueue) healthy() int {
	n := 0
	for _, w := range q.list {
		if w.healthy() {
			n++
		}
	}
	return n
}

// freeRoom is how many bytes more all healthy upstreams can hold.
func (q *serviceQueue) freeRoom() int64 {
	var sum int64
	for _, w := range q.list {
		if w.healthy() {
			sum += max(0, q.room(w))
		}
	}
	return sum
}

// ownRoom is how many bytes of this owner's results all healthy upstreams can hold.
func (q *serviceQueue) ownRoom() int64 {
	var sum int64
	for _, w := range q.list {
		if w.healthy() {
			sum += max(0, q.spec.ResultRoom-w.foreign)
		}
	}
	return sum
}

// healthy reports whether the upstream is neither slow, nor failing, nor dark, nor on trial: what the service can
// make is foreseen from the others.
func (w *worker) healthy() bool {
	return !w.trial && !w.dark() && w.ratio <= slowRatio && w.failures == 0 && !w.leaving
}

func (w *worker) dark() bool { return w.reach.dark(w.member.DataCenter) }

// pause is how long it takes until an upstream of the service wants calls again, where none does.
func (q *serviceQueue) pause(now time.Time) time.Duration {
	least := time.Duration(0)
	for _, w := range q.list {
		pause := w.paused.Sub(now)
		switch {
		case w.leaving:
		case pause <= 0:
			return 0
		case least == 0 || pause < least:
			least = pause
		}
	}
	return least
}
