package stagework

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"caperdrum.org/api/optext"
)

// maxPassedOver is how many calls in a row may leave out the pieces of a rank that wait. The next call takes them
// first, so that a flood of more urgent callers slows the others down and never starves them. The queue of an agent
// has the same bound (package gate).
const maxPassedOver = 16

// compare orders the waiting pieces: first those of a rank that was passed over too often; then those of jobs
// that can still reach their goal, as late ones must not make others late; then by rank; then by the latest time
// at which they must start, for the goal or, once late, for the deadline.
func (q *serviceQueue) compare(a, b *piece, now time.Time) int {
	aStart, aLate := a.latestStart(now, q.spec)
	bStart, bLate := b.latestStart(now, q.spec)
	return cmp.Or(
		compareBool(!q.passes.exhausted(a.job.rank()), !q.passes.exhausted(b.job.rank())),
		compareBool(aLate, bLate),
		cmp.Compare(a.job.rank(), b.job.rank()),
		aStart.Compare(bStart),
		cmp.Compare(a.job.serial, b.job.serial), cmp.Compare(a.stage, b.stage), cmp.Compare(a.number, b.number))
}

// latestStart returns the latest time at which the piece must start for the goal of its job; or, if it cannot reach the
// goal any more, for its deadline and before its inputs expire.
func (p *piece) latestStart(now time.Time, spec *optext.Service) (at time.Time, late bool) {
	rest := spec.CallTime + spec.PieceTime + p.job.minRemaining[p.stage]
	if at = p.job.goal.Add(-rest); !p.job.late && !at.Before(now) {
		return at, false
	}
	at = p.job.mustEnd().Add(-rest)
	if expiry := p.job.inputsExpire(p.stage); !expiry.IsZero() && expiry.Before(at) {
		at = expiry
	}
	return at, true
}

// passes counts, by rank, how often in a row a rank that waits was passed over.
type passes map[int]int

// exhausted reports whether a rank was passed over so often that it goes first.
func (p passes) exhausted(rank int) bool { return p[rank] >= maxPassedOver }

// record counts that the taken ranks were served while the waiting ones were not. It reports whether this
// changes which ranks are exhausted.
func (p passes) record(taken, waiting map[int]bool) (changed bool) {
	for rank := range taken {
		changed = changed || p.exhausted(rank)
		delete(p, rank)
	}
	for rank := range waiting {
		if !taken[rank] {
			p[rank]++
			changed = changed || p[rank] == maxPassedOver
		}
	}
	maps.DeleteFunc(p, func(rank, _ int) bool { return !waiting[rank] })
	return changed
}

// recordPasses counts which ranks a new call takes, and which it leaves waiting.
func (q *serviceQueue) recordPasses(c *call) {
	taken, waiting := map[int]bool{}, map[int]bool{}
	for _, p := range c.pieces {
		taken[p.job.rank()] = true
	}
	for _, p := range q.waiting {
		waiting[p.job.rank()] = true
	}
	if q.passes.record(taken, waiting) {
		q.sortedAt = time.Time{} // the order has changed
	}
}

// sort orders the waiting pieces by precedence. The order depends on the time, so it is computed
// once for each moment.
func (q *serviceQueue) sort(now time.Time) {
	if q.sortedAt.Equal(now) {
		return
	}
	slices.SortFunc(q.waiting, func(a, b *piece) int { return q.compare(a, b, now) })
	q.sortedAt = now
}
