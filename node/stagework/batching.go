package stagework

import (
	"slices"
	"time"
)

// A call has a fixed cost whether it has one piece or a full batch. If a service started a call
// for each piece as it arrives, its upstreams would all be busy at half of their throughput, and
// urgent pieces would wait for a call to end. So when few upstreams are idle, pieces that are not
// urgent are held for a short while: they fill calls, and the idle upstreams stay free for urgent
// pieces.

const (
	// idleReserveDivisor sets the share of a service's upstreams that is kept idle, so that urgent pieces start at once:
	// a third.
	idleReserveDivisor = 3
	// holdDivisor sets how long pieces are held: half of a call's fixed time, what each saves where two share a call.
	holdDivisor = 2
	// slackCalls is the number of full calls that must fit before a piece's latest start for it to be
	// held, so that neither the wait nor one failed call makes it urgent.
	slackCalls = 2
)

// fewIdle reports whether so few upstreams are idle that pieces are held.
func (q *serviceQueue) fewIdle(idle int) bool { return idle*idleReserveDivisor <= q.healthyWorkers() }

// canWait reports whether a piece reaches its goal, or once late its deadline, even if it starts slackCalls full calls
// later.
func (q *serviceQueue) canWait(p *piece, now time.Time) bool {
	at, _ := p.latestStart(now, q.spec)
	return at.Sub(now) > slackCalls*fullCall(q.spec)
}

// canAllWait reports whether canWait holds for all pieces.
func (q *serviceQueue) canAllWait(pieces []*piece, now time.Time) bool {
	return !slices.ContainsFunc(pieces, func(p *piece) bool { return !q.canWait(p, now) })
}

// allLate reports whether only late pieces wait.
func (q *serviceQueue) allLate(now time.Time) bool {
	return !slices.ContainsFunc(q.waiting, func(p *piece) bool {
		_, late := p.latestStart(now, q.spec)
		return !late
	})
}

// canHold reports whether all waiting pieces can be held for a fuller call. Late pieces go behind those in time, so they
// end the hold only where no piece in time waits.
func (q *serviceQueue) canHold(now time.Time) bool {
	if len(q.waiting) >= q.spec.Batch || !q.canAllWait(q.waiting, now) {
		return false
	}
	allLate := q.allLate(now)
	for _, p := range q.waiting {
		_, late := p.latestStart(now, q.spec)
		if late == allLate && now.Sub(p.queued) >= q.spec.CallTime/holdDivisor {
			return false
		}
	}
	return true
}
