package stagework

import (
	"context"
	"math/rand/v2"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/requestlimit"
	"caperdrum.org/node/upstream"
)

// Upstreams may limit the requests that they take from all processes together. The stage owner chooses most
// of their calls anyway, so it also hands out the permits for the others; see package requestlimit.

// Peer methods of the owner.
const (
	methodPermit = "stage.permit"
	methodLimits = "stage.limits"
)

const (
	// permitTimeout bounds how long a call waits for the owner's answer to a request for a permit.
	permitTimeout = 100 * time.Millisecond
	// noOwnerWait is how long a process that got no answer waits before it asks again.
	noOwnerWait = 200 * time.Millisecond
	// minLimitRetryAfter and maxLimitRetryAfter bound the retry-after of callers that limits do not admit.
	minLimitRetryAfter = 200 * time.Millisecond
	maxLimitRetryAfter = 10 * time.Second
	// maxReplyLimits bounds the upstreams of a service of whose limits a reply tells, besides those asked for.
	maxReplyLimits = 64
)

// PermitRequest asks for a permit for one of the upstreams.
type PermitRequest struct {
	Service   string                 `json:"service"`
	Upstreams []upstream.LimitNotice `json:"upstreams"`         // limited ones that can take the call, the preferred one first
	Refused   int                    `json:"refused,omitempty"` // callers refused for want of a permit since the last request
	Owner     wire.StageOwner        `json:"owner"`             // as in Job
}

// PermitReply answers a PermitRequest.
type PermitReply struct {
	Upstream   wire.Start             `json:"upstream"`              // for which the permit is; zero if there is none
	Wait       time.Duration          `json:"wait,omitempty"`        // without a permit: until the process may ask again
	RetryAfter time.Duration          `json:"retry_after,omitempty"` // without a permit: for callers
	Limits     []upstream.LimitNotice `json:"limits,omitempty"`      // of the service's upstreams
}

// limitNotices is the part of upstream.Notices that the owner uses.
type limitNotices interface {
	Limit(start wire.Start) (perSecond float64, limited bool)
	Limited(list []wire.Member) []requestlimit.Limited
	LimitNotices(list []wire.Start) []upstream.LimitNotice
}

// permits is the owner's part of the limits. It reads no clock, and is used by the owner goroutine only.
type permits struct {
	notices     limitNotices // nil: no upstream limits its requests
	allocator   requestlimit.Allocator
	confirmedAt time.Time              // time of the last confirmation that this process is the owner
	admission   requestlimit.Allocator // of jobs, by the service of their engines
	refused     map[string]*rate       // callers refused for want of a permit, by service
}

func newPermits() *permits {
	return &permits{refused: map[string]*rate{}}
}

// confirmed records when this process was last confirmed to be the owner.
func (p *permits) confirmed(at time.Time) { p.confirmedAt = at }

// handsOut reports whether this process may hand out permits: another one may have become the owner otherwise.
func (p *permits) handsOut(now time.Time) bool {
	return now.Sub(p.confirmedAt) < requestlimit.TakeoverTime
}

// limit returns the limit of an upstream, and whether it has one.
func (p *permits) limit(m wire.Member) (requestlimit.Limited, bool) {
	if p == nil || p.notices == nil {
		return requestlimit.Limited{}, false
	}
	perSecond, limited := p.notices.Limit(m.Start())
	return requestlimit.Limited{Upstream: m.Start(), PerSecond: perSecond}, limited
}

// available reports whether the upstream's limit admits a request now.
func (p *permits) available(now time.Time, m wire.Member) bool {
	l, limited := p.limit(m)
	return !limited || p.handsOut(now) && p.allocator.Available(now, l)
}

// take hands out a permit for a request to the upstream, if its limit admits one.
func (p *permits) take(now time.Time, m wire.Member) bool {
	l, limited := p.limit(m)
	return !limited || p.handsOut(now) && p.allocator.Take(now, l)
}

// takeLimited hands out a permit for a request to the upstream. It reports false if the upstream has no limit as
// far as is known here: a process that knows of one must ask.
func (p *permits) takeLimited(now time.Time, m wire.Member) bool {
	_, limited := p.limit(m)
	return limited && p.take(now, m)
}

// wait is how long until the upstream's limit admits a request if none is sent before; zero if it does now.
func (p *permits) wait(now time.Time, m wire.Member) time.Duration {
	l, limited := p.limit(m)
	switch {
	case !limited:
		return 0
	case !p.handsOut(now):
		return noOwnerRetryAfter
	}
	return p.allocator.NextIn(now, l)
}

// perSecond bounds a rate of requests to the upstream by its limit.
func (p *permits) perSecond(m wire.Member, rate float64) float64 {
	if l, limited := p.limit(m); limited {
		return min(rate, l.PerSecond)
	}
	return rate
}

// allLimited reports whether all of the upstreams limit their requests.
func (p *permits) allLimited(list []wire.Member) bool {
	return p != nil && p.notices != nil && len(list) > 0 && len(p.notices.Limited(list)) == len(list)
}

// admit reports whether a job whose call goes to one of the engines may begin, if all of them limit their
// requests: the stages of a job that no engine can take would run in vain.
func (p *permits) admit(now time.Time, service string, engines []wire.Member) (retryAfter time.Duration, admitted bool) {
	if !p.allLimited(engines) {
		return 0, true
	}
	list := p.notices.Limited(engines)
	together := requestlimit.Limited{Upstream: wire.Start{ID: wire.MemberID(service)}}
	for _, l := range list {
		together.PerSecond += l.PerSecond
	}
	if p.handsOut(now) && p.admission.Take(now, together) {
		return 0, true
	}
	countIn(p.refused, service, now, 1)
	return p.retryAfter(now, service, list), false
}

// reset forgets all permits, as the process has just become the owner.
func (p *permits) reset(now time.Time, takesOver bool) {
	p.allocator.Reset(now, takesOver)
	p.admission.Reset(now, takesOver)
}

// retryAfter is when callers that the limits of the upstreams do not admit should come back: when the limits
// have admitted those that are waiting already, spread over half of that time again.
func (p *permits) retryAfter(now time.Time, service string, list []requestlimit.Limited) time.Duration {
	waiting := 1.0
	if r := p.refused[service]; r != nil {
		waiting += r.lately(now)
	}
	wait := waiting * float64(requestlimit.SumInterval(list)) * (1 + rand.Float64()/2)
	return max(minLimitRetryAfter, time.Duration(min(wait, float64(maxLimitRetryAfter))))
}

func countIn(m map[string]*rate, service string, now time.Time, n int) {
	r := m[service]
	if r == nil {
		r = &rate{at: now}
		m[service] = r
	}
	r.decay(now)
	r.events += float64(n)
}

// answer answers a request for a permit. members are the upstreams of the service.
func (p *permits) answer(now time.Time, req *PermitRequest, members []wire.Member) *PermitReply {
	reply := &PermitReply{Limits: p.limitsToTell(req, members)}
	countIn(p.refused, req.Service, now, req.Refused)
	var limited []requestlimit.Limited
	for _, n := range req.Upstreams {
		m := wire.Member{ID: n.Upstream.ID, Incarnation: n.Upstream.Incarnation}
		if p.take(now, m) {
			permitsVar.Add(req.Service, 1)
			reply.Upstream = n.Upstream
			return reply
		}
		l, _ := p.limit(m)
		limited = append(limited, l)
	}
	permitsDeniedVar.Add(req.Service, 1)
	reply.Wait, reply.RetryAfter = requestlimit.Wait(limited), p.retryAfter(now, req.Service, limited)
	return reply
}

// limitsToTell returns the limits of which the reply to a request tells.
func (p *permits) limitsToTell(req *PermitRequest, members []wire.Member) []upstream.LimitNotice {
	if p.notices == nil {
		return nil
	}
	if len(members) <= maxReplyLimits {
		return p.notices.LimitNotices(starts(members))
	}
	var asked []wire.Start
	for _, n := range req.Upstreams {
		asked = append(asked, n.Upstream)
	}
	return p.notices.LimitNotices(asked)
}

// handlePermit is the owner's side of Permit.
func (s *Service) handlePermit(ctx context.Context, req *PermitRequest) (*PermitReply, error) {
	s.notices.Merge(req.Upstreams)
	answered := make(chan *PermitReply, 1)
	s.post(func(now time.Time) {
		s.learnOwnership(now, req.Owner)
		if !s.scheduler.owner {
			answered <- nil
			return
		}
		answered <- s.scheduler.permits.answer(now, req, s.scheduler.engines.members[req.Service])
	})
	select {
	case reply := <-answered:
		if reply == nil {
			return nil, errNotOwner()
		}
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.ctx.Done():
		return nil, errNotOwner()
	}
}

// confirmPermits tells the scheduler when a quorum last confirmed that this process is the owner.
func (s *Service) confirmPermits(now time.Time) {
	if !s.notices.AnyLimited() {
		return
	}
	at, self := s.ownership(), s.self()
	if at.owner.ID == self.ID && at.owner.Incarnation == self.Incarnation {
		s.scheduler.permits.confirmed(now.Add(-at.age))
	}
}

// Permit asks the owner for a permit for one of the upstreams, which limit their requests; the first one is
// preferred. An owner that does not answer in time hands out none.
func (s *Service) Permit(ctx context.Context, service string, list []wire.Member, refused int) PermitReply {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	client, _, _ := s.link.acquire()
	defer s.link.release()
	var reply PermitReply
	if client == nil {
		return PermitReply{Wait: noOwnerWait, RetryAfter: noOwnerRetryAfter}
	}
	req := PermitRequest{Service: service, Upstreams: s.notices.LimitNotices(starts(list)), Refused: refused, Owner: s.link.currentOwner()}
	if err := client.Call(ctx, methodPermit, req, &reply); err != nil {
		permitsUnansweredVar.Add(1)
		s.log.Info("permit request failed", "service", service, "owner", req.Owner.ID, "error", err.Error())
		return PermitReply{Wait: noOwnerWait, RetryAfter: noOwnerRetryAfter}
	}
	s.notices.Merge(reply.Limits)
	return reply
}

func starts(list []wire.Member) []wire.Start {
	out := make([]wire.Start, len(list))
	for i, m := range list {
		out[i] = m.Start()
	}
	return out
}
