package control

import (
	"context"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/state"
)

const (
	// probeInterval is how often the leader probes the stage owner. It adds to the time in
	// which a failure is detected.
	probeInterval = 50 * time.Millisecond
	// probeStallThreshold is the pause between two probes above which the leader cannot tell whether the owner did not
	// answer or the leader itself was stalled.
	probeStallThreshold = baseProbeTimeout / 2
	// newLeaderGrace is how long a new leader assigns ownership only to processes from which it has received
	// a renewal: after a power failure, the member list contains earlier incarnations. It is above the interval at
	// which a control process renews through a follower.
	newLeaderGrace = 500 * time.Millisecond
	// transferRetryInterval is how often a leader that is also the stage owner tries to
	// transfer leadership. It is above the longest election.
	transferRetryInterval = 2 * time.Second
)

// ownerAssigner runs on the leader. It assigns the queues of all stage upstreams to one process, and to
// another when that one has failed. Two processes that both start calls would overload each other's
// upstreams.
type ownerAssigner struct {
	s            *Service
	lastStart    func(wire.Member) lastStart
	leaderSince  time.Time                   // when this process became the leader; zero if it is not
	probe        *livenessProbe              // of the owner; nil before the first probe
	lastProbe    time.Time                   // time of the last probe
	failedAt     map[wire.MemberID]time.Time // when a process last failed as owner
	lastTransfer time.Time                   // time of the last attempt to transfer leadership
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

// step keeps the owner or assigns another one. An owner that has restarted has lost the queues, and calls to
// it fail until another one is assigned. Without a configuration there are no stages, and no owner is
// assigned: the founder of a cluster is its only member for some 100 ms, and would become both leader and
// owner, so that one loss takes both.
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
	next, ok := nextOwner(o.latestStarts(view.Members), wire.MemberID(o.s.set.Node.Name), o.recentlyFailed, o.heardFrom)
	if !ok || !o.heardFrom(next) && o.s.clock.Since(o.leaderSince) < newLeaderGrace {
		return
	}
	if next.ID == view.Owner.ID && next.Incarnation == view.Owner.Incarnation {
		return
	}
	call, cancel := context.WithTimeout(ctx, stallThreshold/2)
	defer cancel()
	owner := wire.StageOwner{ID: next.ID, Incarnation: next.Incarnation, Peer: next.Peer, Epoch: view.Owner.Epoch + 1}
	if _, err := o.s.cluster.Propose(call, state.Command{Owner: &owner}); err != nil {
		o.s.log.Info("stage owner not assigned", "owner", next.ID, "error", err.Error())
		return
	}
	o.s.log.Info("stage owner assigned", "owner", next.ID, "epoch", owner.Epoch, "millicores", next.Millicores, "with_control", hasControlRole(next), "before", view.Owner.ID, "before_leaving", m.Leaving, "before_member", member, "before_started_again", o.lastStart(m).incarnation > view.Owner.Incarnation)
}

// transferLeadership transfers leadership after the owner was elected leader. The loss of a process that is
// both requires an election before another owner can be assigned: 0.9 s without stages, instead of 0.5 s.
// Transferring leadership takes some milliseconds; transferring the owner's jobs would take longer.
func (o *ownerAssigner) transferLeadership(ctx context.Context, owner wire.Member) {
	now := o.s.clock.Now()
	if owner.ID != wire.MemberID(o.s.set.Node.Name) || now.Sub(o.lastTransfer) < transferRetryInterval {
		return
	}
	o.lastTransfer = now
	call, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := o.s.cluster.TransferLeadership(call); err != nil {
		o.s.log.Info("leadership not transferred", "reason", "the stage owner is the leader", "error", err.Error())
	}
}

// probeOwner probes the owner, and reports whether it is considered alive.
func (o *ownerAssigner) probeOwner(ctx context.Context, m wire.Member) bool {
	if m.ID == wire.MemberID(o.s.set.Node.Name) {
		return true
	}
	if o.probe == nil || o.probe.address != m.Peer {
		o.startProbe(m.Peer)
	}
	now := o.s.clock.Now()
	if now.Sub(o.lastProbe) > probeStallThreshold {
		o.probe.reset()
	}
	o.lastProbe = now
	o.probe.timeout = o.backoff.timeout(now)
	if o.probe.failed() {
		silent, err := o.probe.oldestUnanswered()
		o.s.log.Info("stage owner failed", "owner", m.ID, "silent", silent, "patience", o.probe.timeout, "error", err)
		if err == nil {
			o.backoff.add(now)
		}
		o.startProbe(m.Peer)
		return false
	}
	o.probe.send(ctx)
	return true
}

// startProbe starts probing the process at an address.
func (o *ownerAssigner) startProbe(address string) {
	if o.probe != nil {
		o.probe.close()
	}
	connect := func() probeClient { return peerProbeClient{peer.NewClient(address, o.s.transport.dial)} }
	o.probe = newLivenessProbe(o.s.clock, address, connect)
}

// failedOwnerPenalty is how long a process that failed as owner is chosen only if there is no other.
const failedOwnerPenalty = 10 * time.Second

func (o *ownerAssigner) recentlyFailed(id wire.MemberID) bool {
	at, known := o.failedAt[id]
	return known && o.s.clock.Since(at) < failedOwnerPenalty
}

// latestStarts returns the member records with the latest known start of each process and its CPU share.
func (o *ownerAssigner) latestStarts(members map[wire.MemberID]wire.Member) map[wire.MemberID]wire.Member {
	out := make(map[wire.MemberID]wire.Member, len(members))
	for id, m := range members {
		s := o.lastStart(m)
		m.Incarnation, m.Millicores = s.incarnation, s.millicores
		out[id] = m
	}
	return out
}

func (o *ownerAssigner) heardFrom(m wire.Member) bool { return o.lastStart(m).heard }
