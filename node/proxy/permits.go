package proxy

import (
	"context"
	"slices"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/stagework"
	"caperdrum.org/node/upstream"
)

// maxPermitRequests bounds how often one attempt asks for a permit.
const maxPermitRequests = 2

// acquire selects an upstream and counts the call there. If the upstream limits its requests it asks for a permit, and
// selects another one if there is none.
func (x *exchange) acquire(ctx context.Context, list []wire.Member, c criteria) (wire.Member, bool) {
	for range maxPermitRequests {
		c.permitted = x.permitted
		m, needsPermit, ok := x.s.endpoints.acquire(list, c, time.Now())
		if !needsPermit {
			return m, ok
		}
		x.requestPermit(ctx, x.s.endpoints.limitedCandidates(list, m, c, time.Now()))
	}
	c.permitted = x.permitted
	m, needsPermit, ok := x.s.endpoints.acquire(list, c, time.Now())
	return m, ok && !needsPermit
}

// requestPermit asks the stage owner for a permit for one of the upstreams, the first one preferred.
func (x *exchange) requestPermit(ctx context.Context, list []wire.Member) {
	expires := x.s.notices.PermitExpiry()
	reply := x.s.stages.Permit(ctx, x.service.Name, list, x.s.endpoints.takeRefused(x.service.Name))
	if reply.Upstream.ID != "" {
		x.setPermit(reply.Upstream, expires)
		return
	}
	if ctx.Err() != nil {
		return // the caller has left, which says nothing about the limits
	}
	x.s.endpoints.denyPermits(list, reply.Wait, reply.RetryAfter, time.Now())
	x.s.log.V(logging.Routine).Info("no permit", "request", x.call.ID, "service", x.service.Name, "limited", len(list), "wait", reply.Wait, "retry_after", reply.RetryAfter)
}

// setPermit records that there is a permit for a request to the upstream.
func (x *exchange) setPermit(start wire.Start, expires time.Time) {
	x.permit, x.permitted = upstream.NewPermit(start, expires), start.ID
}

// applyPermit records that the stage owner's choice is within the engine's request limit.
func (x *exchange) applyPermit(r stagework.Result) {
	list := x.s.table.Load().announced[x.service.Name]
	i := slices.IndexFunc(list, func(m wire.Member) bool { return m.ID == r.Engine })
	if r.Permitted && i >= 0 {
		x.setPermit(list[i].Start(), x.s.notices.PermitExpiry())
	}
}

// pickPermitted returns the upstream for which the call has asked for a permit, if it can still take the call.
func (e *endpoints) pickPermitted(list []wire.Member, c criteria, now time.Time) (wire.Member, bool) {
	if c.permitted == "" || c.permitted == c.chosen {
		return wire.Member{}, false
	}
	i := slices.IndexFunc(list, func(m wire.Member) bool { return m.ID == c.permitted })
	if i < 0 {
		return wire.Member{}, false
	}
	return e.pickBest(list[i:i+1], c, now)
}

// maxPermitCandidates bounds the upstreams for which one request for a permit asks.
const maxPermitCandidates = 64

// limitedCandidates returns upstreams that limit their requests and could take the call with a permit, first
// before the others.
func (e *endpoints) limitedCandidates(list []wire.Member, first wire.Member, c criteria, now time.Time) []wire.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []wire.Member{first}
	for i, m := range list {
		if len(out) == maxPermitCandidates {
			break
		}
		_, limited := e.notices.Limit(m.Start())
		if _, usable := e.pickBest(list[i:i+1], c, now); limited && usable && m.ID != first.ID {
			out = append(out, m)
		}
	}
	return out
}

// denyPermits records that the stage owner handed out no permit for any of the upstreams.
func (e *endpoints) denyPermits(list []wire.Member, wait, retryAfter time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range list {
		e.denials.Deny(now, m.Start(), wait, retryAfter)
	}
}

// countRefused counts a caller of the service that was refused for want of a permit.
func (e *endpoints) countRefused(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused[service]++
}

// takeRefused returns and resets the count of refused callers of a service.
func (e *endpoints) takeRefused(service string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.refused[service]
	delete(e.refused, service)
	return n
}

// shortestWait returns the time after which callers should come back to upstreams that accept no calls now, since
// they asked for a pause or there is no permit for them. It is zero if one accepts calls, or if none will.
func (e *endpoints) shortestWait(list []wire.Member, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	least := time.Duration(0)
	for _, m := range list {
		wait, leaving := e.notices.State(m.Start())
		if after, denied := e.denied(m, now); denied {
			wait = max(wait, after)
		}
		switch {
		case leaving:
		case wait == 0:
			return 0
		case least == 0 || wait < least:
			least = wait
		}
	}
	return least
}

// denied reports whether there was no permit for a limited upstream a moment ago, and when callers should come back
// then.
func (e *endpoints) denied(m wire.Member, now time.Time) (retryAfter time.Duration, denied bool) {
	if retryAfter, denied = e.denials.Denied(now, m.Start()); !denied {
		return 0, false
	}
	_, limited := e.notices.Limit(m.Start())
	return retryAfter, limited
}
