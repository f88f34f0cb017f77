package stagework

import "time"

// A call has a fixed cost whether it has one piece or a full batch. If a service started a call
// for each piece as it arrives, its upstreams would all be busy at half of their throughput, and
// urgent pieces would wait for a call to end. So when few upstreams are idle, pieces that are not
// urgent are held for a short while: they fill calls, and the idle upstreams stay free for urgent
// pieces.

const (
	// idleReserveDivisor sets the share of a service's upstreams that is kept idle for urgent pieces:
	// a third. Half of them served callers no better.
	idleReserveDivisor = 3
	// holdDivisor sets how long pieces are held: half of a call's fixed time. Twice as long served
	// callers no better, and pieces end later.
	holdDivisor = 2
	// slackCalls is the number of full calls that must fit before a piece's latest start for it to be
	// held, so that neither the wait nor one failed call makes it urgent.
	slackCalls = 2
)

// fewIdle reports whether so few upstreams are idle that pieces are held.
func (q *serviceQueue) fewIdle(idle int) bool { return idle*idleReserveDivisor <= q.healthyWorkers() }

// canWait reports whether a piece reaches its goal even if it starts slackCalls full calls later.
func (q *serviceQueue) canWait(p *piece, now time.Time) bool {
	at, late := p.latestStart(now, q.spec)
	return !late && at.Sub(now) > slackCalls*fullCall(q.spec)
}

// canHold reports whether all waiting pieces can be held for a fuller call. The queue must be sorted.
func (q *serviceQueue) canHold(now time.Time) bool {
	if len(q.waiting) >= q.spec.Batch || !q.canWait(q.waiting[0], now) {
		return false
	}
	for _, p := range q.waiting {
		if now.Sub(p.queued) >= q.spec.CallTime/holdDivisor {
			return false
		}
	}
	return true
}
