package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/internal/periodic"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/peer"
)

const (
	offerInterval = 300 * time.Millisecond
	// offerLimit is the age up to which an offer counts: its sender repeats it.
	offerTTL = 4 * offerInterval
	// lostAfter is how long a member that hears of no leader waits until it
	// offers itself, since it may have been removed while it was cut off.
	noLeaderTimeout = 1500 * time.Millisecond
	// elasticSilence is how long a voter of a self-forming cluster may be silent
	// until it is removed. Above the longest election, so that it is not taken
	// for lost when only the lead changed; well below the time that the users
	// grant between two losses (4 s today).
	selfFormingVoterTimeout = 2500 * time.Millisecond
)

// offers are the control processes that lately asked to vote, by address: a
// process whose folder was lost comes back at its address as another replica.
type offers struct {
	mu        sync.Mutex
	byAddress map[string]timedOffer
}

type timedOffer struct {
	peer consensus.Peer
	at   time.Time
}

func (o *offers) add(p consensus.Peer, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byAddress == nil {
		o.byAddress = map[string]timedOffer{}
	}
	o.byAddress[p.Address] = timedOffer{p, now}
}

// fresh returns the offers that still count, sorted by identity, and forgets
// the others.
func (o *offers) fresh(now time.Time) []consensus.Peer {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []consensus.Peer
	for address, of := range o.byAddress {
		if now.Sub(of.at) > offerTTL {
			delete(o.byAddress, address)
			continue
		}
		out = append(out, of.peer)
	}
	slices.SortFunc(out, func(a, b consensus.Peer) int { return compareIDs(a.ID, b.ID) })
	return out
}

func compareIDs(a, b consensus.NodeID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// offerRun lets a control process of a self-forming cluster ask for a vote
// while it has none, or while it hears of no leader.
func (s *Service) runOffers(ctx context.Context) {
	control := peer.NewDirectoryControl(s.directory, s.transport.dial)
	defer control.Close()
	periodic.Run(ctx, s.clock, offerInterval, func() {
		if !s.shouldOffer() {
			return
		}
		call, cancel := context.WithTimeout(ctx, 2*offerInterval)
		err := control.CallLeader(call, MethodOffer, Identity{Name: s.set.Node.Name, Peer: s.replica.Self()}, nil)
		cancel()
		if err != nil {
			s.log.V(logging.Detail).Info("offer not taken", "error", err.Error())
		}
	})
}

func (s *Service) shouldOffer() bool {
	if s.cluster.Outage() != nil {
		return false
	}
	status := s.cluster.Status()
	if !status.Membership.Has(status.ID) {
		return true
	}
	age := s.cluster.StampAge()
	return !s.cluster.IsLeader() && (age < 0 || age > noLeaderTimeout)
}

// planElastic returns the next membership of a self-forming cluster, or nil.
// Every process that offers itself votes, up to most, the data centres with the fewest
// voters first. A voter that is dead or silent is removed as long as least voters stay, so
// that the loss of another one is borne again. Where the loss of data centres would take
// half of the voters, one of another data centre takes the place of one there.
func planSelfForming(st consensus.Status, offers []consensus.Peer, silent map[consensus.NodeID]bool, least, most int, sp voterPlacement) (*consensus.Membership, string) {
	m := st.Membership
	gone := failedMembers(st, offers, silent)
	for _, l := range m.Learners {
		if gone[l.ID] {
			return dropLearner(m, l.ID), fmt.Sprintf("learner %s is gone: removing it", l.ID)
		}
	}
	if len(m.Voters) > least {
		for _, v := range m.Voters {
			if gone[v.ID] {
				return dropVoter(m, v.ID), fmt.Sprintf("voter %s is gone: removing it", v.ID)
			}
		}
	}
	for _, l := range m.Learners {
		pr := st.Progress[l.ID]
		if pr.Active && pr.Match+maxPromoteLag >= st.Last && pr.Match >= st.SnapshotIndex {
			return promote(m, l), fmt.Sprintf("learner %s caught up: promoting it", l.ID)
		}
	}
	if len(m.Voters) > most && len(gone) == 0 {
		if v, ok := sp.removalCandidate(m.Voters, st.ID); ok {
			return dropVoter(m, v.ID), fmt.Sprintf("%s holds more voters than may be lost: removing %s", sp.dataCenterOf(v.Address), v.ID)
		}
	}
	p, ok := sp.bestCandidate(m, offers)
	if !ok {
		return nil, sp.warning(m.Voters)
	}
	room := len(m.Voters)+len(m.Learners) < most+len(gone)
	if room || len(m.Learners) == 0 && len(m.Voters) == most && sp.improves(m.Voters, p) {
		return &consensus.Membership{Voters: m.Voters, Learners: append(slices.Clone(m.Learners), p)}, fmt.Sprintf("adding %s as a learner", p.ID)
	}
	return nil, sp.warning(m.Voters)
}

// lost returns the members that are silent, and those whose address another
// replica has taken.
func failedMembers(st consensus.Status, offers []consensus.Peer, silent map[consensus.NodeID]bool) map[consensus.NodeID]bool {
	out := map[consensus.NodeID]bool{}
	for _, p := range st.Membership.All() {
		if p.ID == st.ID {
			continue
		}
		replaced := slices.ContainsFunc(offers, func(o consensus.Peer) bool { return o.Address == p.Address && o.ID != p.ID })
		if silent[p.ID] || replaced {
			out[p.ID] = true
		}
	}
	return out
}
