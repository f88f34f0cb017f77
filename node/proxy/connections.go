package proxy

import (
	"context"
	"slices"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

const (
	// maxConnectionWait bounds how long a call of a route without a goal waits for a connection to an upstream.
	maxConnectionWait = time.Second
	// refusedWait is recorded for a call that finds too many others waiting.
	refusedWait = 100 * time.Millisecond
)

// connectionQueue holds the calls that wait for one of the connections that this process may have to the upstreams of a
// service. Its share of an upstream's connections is small in a large fleet, and calls are often much shorter than the time
// that their callers have.
type connectionQueue struct {
	inUse   int             // calls in flight
	waiting []chan struct{} // closed when a call may try again; the first one is next
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
	q.wakeFirst()
}

func (q *connectionQueue) wakeFirst() {
	if len(q.waiting) > 0 {
		close(q.waiting[0])
		q.waiting = q.waiting[1:]
	}
}

// maxWaiting is how many calls may wait: as many as are served within half of the time that a call takes.
func (q *connectionQueue) maxWaiting() int { return max(1, q.inUse/2) }

// join adds a call, before the others if it has waited already. It returns nil if too many wait.
func (q *connectionQueue) join(first bool) chan struct{} {
	turn := make(chan struct{})
	switch {
	case first:
		q.waiting = slices.Insert(q.waiting, 0, turn)
	case len(q.waiting) >= q.maxWaiting():
		return nil
	default:
		q.waiting = append(q.waiting, turn)
	}
	return turn
}

// leave removes a call that no longer waits. If it was its turn, the next one may try.
func (q *connectionQueue) leave(turn chan struct{}) {
	i := slices.Index(q.waiting, turn)
	if i < 0 {
		q.wakeFirst()
		return
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
}

// joinQueue has a call wait for its turn if upstreams could take it but for the connections that this process may have:
// short says so. Turn is nil if too many calls wait.
func (e *endpoints) joinQueue(service string, list []wire.Member, c criteria, waited bool, now time.Time) (turn chan struct{}, short bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	unlimited := c
	unlimited.maxCalls = 0
	if _, found := e.pickBest(list, unlimited, now); !found {
		return nil, false
	}
	return e.queue(service).join(waited), true
}

func (e *endpoints) leaveQueue(service string, turn chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue(service).leave(turn)
}

// awaitConnection waits until a connection to an upstream of the call's service may be free, in total no longer than half
// of the time within which the call should be answered. It returns an error if waiting is of no use.
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
	limit := maxConnectionWait
	if x.route.Goal > 0 {
		limit = x.route.Goal / 2
	}
	timer := time.NewTimer(min(limit-*waited, time.Until(x.deadline)-minTimeLeft))
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
