package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Standing is a process's place among those that share a limit, as its view has it.
type Standing struct {
	Members int  // the processes that the view holds
	Self    bool // it holds this start of this process
}

// Confirmations are those of a process's view by a quorum.
type Confirmations struct {
	// Steady returns for how long the view has been confirmed, with no more than Gap between two
	// confirmations or since the last one; zero where that is over.
	Steady func() time.Duration
	Gap    time.Duration
}

// Peers follows with how many others a process shares what is bounded over all of them in
// every span of time of some length.
//
// A part of such a bound is safe only while no others use theirs unseen. So a process has none until
// it is settled: a member in each view, which a quorum has confirmed without a gap, for a span and two gaps. Until
// then another start of it, or processes that it does not see, may have used a part within the span. And the bound
// is divided by the most members that any of these views had: of any processes that have used their parts within one
// span, all were members at one moment that each of them has seen.
type Peers struct {
	clock      clockwork.Clock
	confirmed  Confirmations
	settleTime time.Duration

	mu          sync.Mutex
	memberSince time.Time  // since when each view holds this start; zero where the last one does not
	sizes       []viewSize // the oldest first
}

// size is how many members the views had from a moment on.
type viewSize struct {
	at      time.Time
	members int
}

// NewPeers returns the peers of a process that has just started.
func NewPeers(span time.Duration, clock clockwork.Clock, c Confirmations) *Peers {
	return &Peers{clock: clock, confirmed: c, settleTime: span + 2*c.Gap}
}

// Follow takes over what a new view says.
func (p *Peers) Follow(s Standing) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !s.Self:
		p.memberSince = time.Time{}
	case p.memberSince.IsZero():
		p.memberSince = now
	}
	if n := len(p.sizes); n == 0 || p.sizes[n-1].members != s.Members {
		p.sizes = append(p.sizes, viewSize{now, s.Members})
	}
	p.prune(now)
}

// forget drops the views that were replaced before all that counts.
func (p *Peers) prune(now time.Time) {
	for len(p.sizes) > 1 && now.Sub(p.sizes[1].at) > p.settleTime {
		p.sizes = p.sizes[1:]
	}
}

// Most returns the most members that the views of the span had; at least one.
func (p *Peers) Most() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(p.clock.Now())
	most := 1
	for _, v := range p.sizes {
		most = max(most, v.members)
	}
	return most
}

// Settled reports whether the process may use its part.
func (p *Peers) Settled() bool {
	now, steady := p.clock.Now(), p.confirmed.Steady()
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.memberSince.IsZero() && min(now.Sub(p.memberSince), steady) >= p.settleTime
}
