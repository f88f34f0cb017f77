package control

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/settings"
	"caperdrum.org/node/state"
)

const (
	// ownerInterval is how often the leader asks the owner of the stage queues whether it
	// lives. A loss is noticed that much later at most.
	probeInterval = 50 * time.Millisecond
	// ownerPause is a time between two such questions after which the leader cannot tell
	// whether the owner was silent or it was not listening itself.
	probeStall = baseProbeTimeout / 2
	// youngLead is for how long a leader names only processes that it has heard of: after a loss of power all
	// have started again, and the state knows the starts before. Above the time between two signs of life of a
	// control process through a follower.
	newLeaderGrace = 500 * time.Millisecond
	// apartInterval is how often a leader that owns the stage queues itself tries to
	// hand the lead over. Above the longest election, so that one has ended.
	transferRetryInterval = 2 * time.Second
)

// ownership lets the leader name one process that owns the queues of all stage
// upstreams, and name another one when that process is gone or silent. Two that
// both start calls would fill each other's upstreams.
type ownerAssigner struct {
	s            *Service
	lastStart    func(wire.Member) lastStart
	leaderSince  time.Time                   // when this process began to lead; zero while it does not
	probe        *livenessProbe              // of the owner; nil before one was asked
	lastProbe    time.Time                   // when it was asked last
	failedAt     map[wire.MemberID]time.Time // that did not answer, and when
	lastTransfer time.Time                   // of the last try to lead elsewhere than the owner is
	backoff      probeBackoff
}

func newOwnerAssigner(s *Service) *ownerAssigner {
	return &ownerAssigner{s: s, lastStart: s.leases.lastStart, failedAt: map[wire.MemberID]time.Time{}}
}

func (o *ownerAssigner) run(ctx context.Context) {
	ticker := o.s.clock.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		changed := o.s.notifier.changed()
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-changed:
		}
		if !o.s.cluster.IsLeader() {
			o.leaderSince = time.Time{}
			continue
		}
		if o.leaderSince.IsZero() {
			o.leaderSince = o.s.clock.Now()
		}
		o.step(ctx)
	}
}

// step keeps the owner or names another one: a process that has started again has lost the queues, and calls go
// to it in vain until another is named. Without a text there are no stages:
// the founder of a cluster is alone for some 100 ms, and would else name itself
// and take the queues with it when it is lost.
func (o *ownerAssigner) step(ctx context.Context) {
	view := o.s.cluster.View()
	if view.Config.Version == 0 {
		return
	}
	m, member := view.Members[view.Owner.ID]
	if member && !m.Leaving && o.lastStart(m).incarnation == view.Owner.Incarnation && o.probeOwner(ctx, m) {
		o.transferLeadership(ctx, m)
		return
	}
	if member {
		o.failedAt[m.ID] = o.s.clock.Now()
	}
	next, ok := nextOwner(view.Members, wire.MemberID(o.s.set.Node.Name), o.recentlyFailed, o.heardFrom)
	if !ok || !o.heardFrom(next) && o.s.clock.Since(o.leaderSince) < newLeaderGrace {
		return
	}
	next.Incarnation = o.lastStart(next).incarnation
	if next.ID == view.Owner.ID && next.Incarnation == view.Owner.Incarnation {
		return
	}
	call, cancel := context.WithTimeout(ctx, stallThreshold/2)
	defer cancel()
	owner := wire.StageOwner{ID: next.ID, Incarnation: next.Incarnation, Peer: next.Peer, Epoch: view.Owner.Epoch + 1}
	if _, err := o.s.cluster.Propose(call, state.Command{Owner: &owner}); err != nil {
		o.s.log.Info("stage owner not named", "owner", next.ID, "error", err.Error())
		return
	}
	o.s.log.Info("stage owner named", "owner", next.ID, "epoch", owner.Epoch, "before", view.Owner.ID, "before_leaving", m.Leaving, "before_member", member, "before_started_again", o.lastStart(m).incarnation > view.Owner.Incarnation)
}

// leadElsewhere hands the lead over when it came to the owner by an election: when one
// process is both, its loss costs an election before another owner can be named, 0.9 s
// without stages in place of 0.5 s. The lead moves in some ms, jobs would take longer.
func (o *ownerAssigner) transferLeadership(ctx context.Context, owner wire.Member) {
	now := o.s.clock.Now()
	if owner.ID != wire.MemberID(o.s.set.Node.Name) || now.Sub(o.lastTransfer) < transferRetryInterval {
		return
	}
	o.lastTransfer = now
	call, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := o.s.cluster.TransferLeadership(call); err != nil {
		o.s.log.Info("lead not handed over", "reason", "the owner of the stages leads", "error", err.Error())
	}
}

// answers asks the owner whether it lives, and reports false once it counts as lost.
func (o *ownerAssigner) probeOwner(ctx context.Context, m wire.Member) bool {
	if m.ID == wire.MemberID(o.s.set.Node.Name) {
		return true
	}
	if o.probe == nil || o.probe.address != m.Peer {
		o.startProbe(m.Peer)
	}
	now := o.s.clock.Now()
	if now.Sub(o.lastProbe) > probeStall {
		o.probe.reset()
	}
	o.lastProbe = now
	o.probe.timeout = o.backoff.timeout(now)
	if o.probe.failed() {
		silent, err := o.probe.oldestUnanswered()
		o.s.log.Info("stage owner lost", "owner", m.ID, "silent", silent, "patience", o.probe.timeout, "error", err)
		if err == nil {
			o.backoff.add(now)
		}
		o.startProbe(m.Peer)
		return false
	}
	o.probe.send(ctx)
	return true
}

// watch begins to ask the process at an address.
func (o *ownerAssigner) startProbe(address string) {
	if o.probe != nil {
		o.probe.close()
	}
	connect := func() probeClient { return peerProbeClient{peer.NewClient(address, o.s.transport.dial)} }
	o.probe = newLivenessProbe(o.s.clock, address, connect)
}

// ownerAvoided is how long a process that did not answer is named last.
const failedOwnerPenalty = 10 * time.Second

func (o *ownerAssigner) recentlyFailed(id wire.MemberID) bool {
	at, known := o.failedAt[id]
	return known && o.s.clock.Since(at) < failedOwnerPenalty
}

func (o *ownerAssigner) heardFrom(m wire.Member) bool { return o.lastStart(m).heard }

// nextOwner picks the owner among the proxies that are not leaving: one that
// lately answered before one that did not, one that plays control, which has
// the larger VM, before another, not the leader if there is a choice, so
// that one loss does not take both, and one that was heard of before others.
func nextOwner(members map[wire.MemberID]wire.Member, leader wire.MemberID, avoided func(wire.MemberID) bool, heard func(wire.Member) bool) (wire.Member, bool) {
	var best wire.Member
	bestRank, found := uint64(0), false
	for id, m := range members {
		if m.Peer == "" || m.Leaving {
			continue
		}
		rank := xxhash.Sum64String(string(id)) >> 4
		if !avoided(id) {
			rank |= 1 << 63
		}
		if strings.Contains(m.Role, string(settings.Control)) {
			rank |= 1 << 62
		}
		if id != leader {
			rank |= 1 << 61
		}
		if heard(m) {
			rank |= 1 << 60
		}
		if !found || rank > bestRank {
			best, bestRank, found = m, rank, true
		}
	}
	return best, found
}
