package stagework

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"caperdrum.org/api/wire"
)

// maxHealthySlowdown is the ratio of measured to configured duration of calls above which an
// upstream only gets what the others cannot take.
const maxHealthySlowdown = 1.8

// worker is the state of an upstream that processes pieces.
type worker struct {
	member       wire.Member
	runningCalls int
	lastCall     *call // the last one started
	roomUsage
	backoffUntil        time.Time
	failures            int
	slowdown            float64 // ratio of measured to configured duration of its calls, as a moving average
	lastCallAt          time.Time
	freeAt              time.Time // when its last call is expected to end
	pausedUntil         time.Time // the upstream asked for no calls until then
	leaving             bool      // the upstream accepts no further calls
	gone                bool      // it left the members, or another upstream has its address
	restarted           bool      // it restarted: its results are lost
	lastCallSucceeded   bool
	incarnationReported bool          // its incarnation was learned from a report, before the member list has it
	overdueCalls        int           // calls in progress that are overdue
	canary              bool          // runs the target version of the service's current rollout
	reachability        *reachability // of its data centre and the others
}

// setWorkers applies the list of upstreams, and returns the workers that restarted: no state
// of an incarnation is kept for the next one.
func (q *serviceQueue) setWorkers(members []wire.Member) (lost []*worker) {
	present := map[wire.MemberID]bool{}
	for _, m := range members {
		present[m.ID] = true
		switch w := q.workers[m.ID]; {
		case w == nil:
			q.workers[m.ID] = q.newWorker(m)
		case w.member.Incarnation < m.Incarnation, w.member.Incarnation > m.Incarnation && !w.incarnationReported:
			lost = append(lost, q.replaceWorker(w, m))
		}
	}
	for id, w := range q.workers {
		if !present[id] {
			w.gone = true
			delete(q.workers, id)
		}
	}
	q.rebuildList()
	return lost
}

func (q *serviceQueue) newWorker(m wire.Member) *worker {
	return &worker{member: m, slowdown: 1, reachability: q.reachability}
}

// replaceWorker replaces a worker by the next incarnation of its upstream, and returns the old one.
func (q *serviceQueue) replaceWorker(w *worker, next wire.Member) *worker {
	q.workers[next.ID] = q.newWorker(next)
	w.gone, w.restarted = true, true
	q.rebuildList()
	return w
}

func (q *serviceQueue) rebuildList() {
	q.list = slices.SortedFunc(maps.Values(q.workers), func(a, b *worker) int { return cmp.Compare(a.member.ID, b.member.ID) })
	q.markCanaries()
}

// canTake reports whether the upstream can take a call now.
func (q *serviceQueue) canTake(w *worker, now time.Time) bool {
	return !w.gone && !w.leaving && !now.Before(w.pausedUntil) && w.runningCalls < max(1, q.spec.Calls) && !now.Before(w.backoffUntil) && q.freeRoomAt(w) > 0 && !q.skips(w, now) && q.permits.available(now, w.member)
}

// idleWorkers counts the upstreams that would start a newly queued piece at once.
func (q *serviceQueue) idleWorkers(now time.Time) int {
	if len(q.waiting) > 0 {
		return 0
	}
	n := 0
	for _, w := range q.list {
		if w.healthy() && q.canTake(w, now) {
			n++
		}
	}
	return n
}

// availableWorkers returns the upstreams that can take a call now, the fastest first.
func (q *serviceQueue) availableWorkers(now time.Time) []*worker {
	var out []*worker
	for _, w := range q.list {
		if q.canTake(w, now) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int {
		return cmp.Or(compareBool(a.overdueCalls > 0, b.overdueCalls > 0), cmp.Compare(a.slowdown, b.slowdown), cmp.Compare(a.member.ID, b.member.ID))
	})
	return out
}

func (q *serviceQueue) freeRoomAt(w *worker) int64 {
	if q.spec.ResultRoom <= 0 {
		return 1 << 60
	}
	return q.spec.ResultRoom - w.ownBytes - w.foreignBytes
}

// healthyWorkers counts the healthy upstreams.
func (q *serviceQueue) healthyWorkers() int {
	n := 0
	for _, w := range q.list {
		if w.healthy() {
			n++
		}
	}
	return n
}

// freeRoom is the number of bytes that all healthy upstreams together can still hold.
func (q *serviceQueue) freeRoom() int64 {
	var sum int64
	for _, w := range q.list {
		if w.healthy() {
			sum += max(0, q.freeRoomAt(w))
		}
	}
	return sum
}

// ownRoom is the number of bytes of this owner's results that all healthy upstreams together can hold.
func (q *serviceQueue) ownRoom() int64 {
	var sum int64
	for _, w := range q.list {
		if w.healthy() {
			sum += max(0, q.spec.ResultRoom-w.foreignBytes)
		}
	}
	return sum
}

// healthy reports whether the upstream is neither slow, failing, leaving, unreachable nor a canary:
// the throughput of the service is predicted from the healthy ones only.
func (w *worker) healthy() bool {
	return !w.canary && !w.unreachable() && !w.slow() && w.failures == 0 && !w.leaving
}

// slow reports whether the upstream's calls took too long, or one in progress does.
func (w *worker) slow() bool { return w.slowdown > maxHealthySlowdown || w.overdueCalls > 0 }

func (w *worker) unreachable() bool { return w.reachability.unreachable(w.member.DataCenter) }

// shortestPause is how long until any upstream of the service accepts calls again; zero if one
// does now.
func (q *serviceQueue) shortestPause(now time.Time) time.Duration {
	least := time.Duration(0)
	for _, w := range q.list {
		pause := max(w.pausedUntil.Sub(now), q.permits.wait(now, w.member))
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
