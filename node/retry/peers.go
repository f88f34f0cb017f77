package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Membership describes a view of the processes that share a limit.
type Membership struct {
	Members      int  // number of processes in the view
	IncludesSelf bool // the view contains this incarnation of this process
}

// Confirmations tells how long a quorum has been confirming this process's view.
type Confirmations struct {
	// ConfirmedFor returns for how long the view has been confirmed without interruption: at most Gap
	// between two confirmations and since the last one. It returns zero after a longer gap.
	ConfirmedFor func() time.Duration
	Gap          time.Duration
}

// Peers tracks how many processes share a limit that holds over every span of time of a
// given length.
//
// A process may use its share of the limit only while no process that it does not see uses
// another. So it gets a share only once it is settled: it has been a member in every view,
// and a quorum has confirmed the views without interruption, for the span plus two gaps.
// Before that, an earlier incarnation of it, or processes that it does not see, may have
// used a share within the span. The limit is divided by the largest number of members in
// any of these views: all processes that used their shares within one span were members at
// one moment that each of them has seen.
type Peers struct {
	clock      clockwork.Clock
	confirmed  Confirmations
	settleTime time.Duration

	mu          sync.Mutex
	memberSince time.Time  // since when every view contains this incarnation; zero if the last one does not
	sizes       []viewSize // oldest first
}

// viewSize is the number of members in the views from a moment on.
type viewSize struct {
	at      time.Time
	members int
}

// NewPeers returns the peers of a process that has just started. Span is the length of time
// over which the limit holds.
func NewPeers(span time.Duration, clock clockwork.Clock, c Confirmations) *Peers {
	return &Peers{clock: clock, confirmed: c, settleTime: span + 2*c.Gap}
}

// Update records a new view.
func (p *Peers) Update(s Membership) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !s.IncludesSelf:
		p.memberSince = time.Time{}
	case p.memberSince.IsZero():
		p.memberSince = now
	}
	if n := len(p.sizes); n == 0 || p.sizes[n-1].members != s.Members {
		p.sizes = append(p.sizes, viewSize{now, s.Members})
	}
	p.prune(now)
}

// prune drops sizes that were replaced longer than settleTime ago.
func (p *Peers) prune(now time.Time) {
	for len(p.sizes) > 1 && now.Sub(p.sizes[1].at) > p.settleTime {
		p.sizes = p.sizes[1:]
	}
}

// MaxMembers returns the largest number of members in the views of the last settleTime, at least
// one.
func (p *Peers) MaxMembers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(p.clock.Now())
	most := 1
	for _, v := range p.sizes {
		most = max(most, v.members)
	}
	return most
}

// Settled reports whether the process may use its share.
func (p *Peers) Settled() bool {
	now, confirmedFor := p.clock.Now(), p.confirmed.ConfirmedFor()
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.memberSince.IsZero() && min(now.Sub(p.memberSince), confirmedFor) >= p.settleTime
}
