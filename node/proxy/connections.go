package proxy

import (
	"context"
	"slices"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

const (
	// connectionWaitDivisor sets the part of the caller's time for which a call may wait for a connection to an upstream:
	// a half. The rest is for another process, which may have a connection left.
	connectionWaitDivisor = 2
	// refusedWait is the wait that counts for a call that finds too many others waiting. It is clearly above the delay from
	// which on a process is congested.
	refusedWait = 100 * time.Millisecond
)

// connectionQueue holds the calls that wait for one of the connections that this process may have to the upstreams of a
// service. Its share of an upstream's connections is small in a large fleet, and calls are often much shorter than the time
// that their callers have.
type connectionQueue struct {
	inUse    int // calls in flight
	releases int // calls that have ended
	waiting  []waitingCall
}

// waitingCall is a call that waits for its turn.
type waitingCall struct {
	turn  chan struct{} // closed when the call may try again
	tried int           // releases when it tried last
}

func (e *endpoints) queue(service string) *connectionQueue {
	q := e.queues[service]
	if q == nil {
		q = &connectionQueue{}
		e.queues[service] = q
	}
	return q
}

// release ends a call and lets the first waiting one try.
func (q *connectionQueue) release() {
	q.inUse--
	q.releases++
	q.wakeNext()
}

// wakeNext lets the first call try that has not tried since the last release. Calls differ in the upstreams that they may
// use, so a call behind one that tried in vain may succeed.
func (q *connectionQueue) wakeNext() {
	i := slices.IndexFunc(q.waiting, func(w waitingCall) bool { return w.tried < q.releases })
	if i >= 0 {
		close(q.waiting[i].turn)
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// maxWaiting is how many calls may wait: as many as are served within half of the time that a call takes.
func (q *connectionQueue) maxWaiting() int { return max(1, q.inUse/2) }

// join adds a call that has just tried in vain. It returns nil if too many wait. A call that had its turn goes before the
// others, and its turn goes to the next one.
func (q *connectionQueue) join(hadTurn bool) chan struct{} {
	w := waitingCall{turn: make(chan struct{}), tried: q.releases}
	switch {
	case hadTurn:
		q.waiting = slices.Insert(q.waiting, 0, w)
		q.wakeNext()
	case len(q.waiting) >= q.maxWaiting():
		return nil
	default:
		q.waiting = append(q.waiting, w)
	}
	return w.turn
}

// leave removes a call that no longer waits. If it had its turn, the next one may try.
func (q *connectionQueue) leave(turn chan struct{}) {
	i := slices.IndexFunc(q.waiting, func(w waitingCall) bool { return w.turn == turn })
	if i < 0 {
		q.wakeNext()
		return
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
}

// alwaysTurn is the turn of a call that may try at once.
var alwaysTurn = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// joinQueue has a call wait for its turn if connections are all that it lacks: short says so. Turn is nil if too many calls
// wait.
func (e *endpoints) joinQueue(service string, list []wire.Member, c criteria, hadTurn bool, now time.Time) (turn chan struct{}, short bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, found := e.pick(list, c, now)
	switch {
	case found && e.needsPermit(m, c):
		return nil, false
	case found: // released since the call tried
		return alwaysTurn, true
	case !e.skippedFull:
		return nil, false
	}
	return e.queue(service).join(hadTurn), true
}

func (e *endpoints) leaveQueue(service string, turn chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue(service).leave(turn)
}

// awaitConnection waits until a connection to an upstream of the call's service may be free, in total no longer than half
// of the time that the caller has. It returns an error if waiting is of no use.
func (x *exchange) awaitConnection(ctx context.Context, list []wire.Member, c criteria, waited *time.Duration) (again bool, err *verdict.Error) {
	e, service := x.s.endpoints, x.service.Name
	began := time.Now()
	turn, short := e.joinQueue(service, list, c, *waited > 0, began)
	if !short {
		return false, x.noUpstreamError()
	}
	if turn == nil {
		connectionWaitsVar.Add(service+"/refused", 1)
		x.s.noteConnectionWait(service, refusedWait)
		return false, x.noConnectionError()
	}
	timer := time.NewTimer(connectionWait(time.Until(x.abandoned()), *waited))
	defer timer.Stop()
	select {
	case <-turn:
		*waited += max(time.Since(began), 1)
		connectionWaitsVar.Add(service+"/waited", 1)
		return true, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	e.leaveQueue(service, turn)
	connectionWaitsVar.Add(service+"/expired", 1)
	x.s.noteConnectionWait(service, *waited+time.Since(began))
	return false, x.noConnectionError()
}

// connectionWait is how long a call may still wait for a connection, by the time that its caller has left and the time that
// it has waited.
func connectionWait(left, waited time.Duration) time.Duration {
	return min((left+waited)/connectionWaitDivisor-waited, left-minTimeLeft)
}

// noConnectionError returns the error for a call for which this process has no connection left.
func (x *exchange) noConnectionError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "all connections are in use that this process may have to upstreams of service %s: %d to each, %d in all over %d processes",
		x.service.Name, x.maxConnections(), x.service.MaxConnections, x.s.peers.MaxMembers()).WithRetryAfter(defaultRetryAfter)
}

func (s *Service) noteConnectionWait(service string, took time.Duration) {
	if s.ingress != nil {
		s.ingress.NoteConnectionWait(service, took)
	}
}
