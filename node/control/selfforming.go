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
	// offerTTL is the age up to which an offer is valid. Its sender repeats it.
	offerTTL = 4 * offerInterval
	// noLeaderTimeout is how long a member does not hear of a leader before it offers to vote, since it may
	// have been removed during a network partition.
	noLeaderTimeout = 1500 * time.Millisecond
	// selfFormingVoterTimeout is how long a voter of a self-forming cluster may be silent before it is
	// removed. It is above the longest election, so that a leader change does not look like a failure, and
	// well below the time that operators allow between two losses (4 s).
	selfFormingVoterTimeout = 2500 * time.Millisecond
)

// offers holds the control processes that recently offered to vote, by address: a process that lost its data
// folder returns at the same address as a new replica.
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

// fresh returns the valid offers, sorted by ID, and deletes the expired ones.
func (o *offers) fresh(now time.Time) []consensus.Peer {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []consensus.Peer
	for address, offer := range o.byAddress {
		if now.Sub(offer.at) > offerTTL {
			delete(o.byAddress, address)
			continue
		}
		out = append(out, offer.peer)
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

// runOffers lets a control process of a self-forming cluster offer to vote while it is not a voter, or while
// it does not hear of a leader.
func (s *Service) runOffers(ctx context.Context) {
	control := peer.NewDirectoryLeaderClient(s.directory, s.transport.dial)
	defer control.Close()
	periodic.Run(ctx, s.clock, offerInterval, func() {
		if !s.shouldOffer() {
			return
		}
		call, cancel := context.WithTimeout(ctx, 2*offerInterval)
		err := control.CallLeader(call, MethodOffer, Identity{Name: s.set.Node.Name, Peer: s.replica.Self()}, nil)
		cancel()
		if err != nil {
			s.log.V(logging.Detail).Info("offer not accepted", "error", err.Error())
		}
	})
}

func (s *Service) shouldOffer() bool {
	if s.cluster.Outage() != nil {
		return false
	}
	status := s.cluster.Status()
	if !status.Membership.IsVoter(status.ID) {
		return true
	}
	age := s.cluster.StampAge()
	return !s.cluster.IsLeader() && (age < 0 || age > noLeaderTimeout)
}

// planSelfForming returns the next membership of a self-forming cluster, or nil, and the reason. Processes
// that offer to vote become voters, up to most; those in the data centres with the fewest members come first.
// A failed voter is removed if at least least voters remain, so that another loss is tolerated. If the
// failure of data centres would take half of the voters, a process of another data centre replaces a voter
// there.
func planSelfForming(st consensus.Status, offers []consensus.Peer, silent map[consensus.NodeID]bool, least, most int, vp voterPlacement) (*consensus.Membership, string) {
	m := st.Membership
	failed := failedMembers(st, offers, silent)
	for _, l := range m.Learners {
		if failed[l.ID] {
			return dropLearner(m, l.ID), fmt.Sprintf("learner %s is gone: removing it", l.ID)
		}
	}
	if len(m.Voters) > least {
		for _, v := range m.Voters {
			if failed[v.ID] {
				return dropVoter(m, v.ID), fmt.Sprintf("voter %s is gone: removing it", v.ID)
			}
		}
	}
	for _, l := range m.Learners {
		pr := st.Progress[l.ID]
		if pr.RecentActive && pr.Match+maxPromoteLag >= st.LastIndex && pr.Match >= st.SnapshotIndex {
			return promote(m, l), fmt.Sprintf("learner %s caught up: promoting it", l.ID)
		}
	}
	if len(m.Voters) > most && len(failed) == 0 {
		if v, ok := vp.removalCandidate(m.Voters, st.ID); ok {
			return dropVoter(m, v.ID), fmt.Sprintf("%s holds more voters than may be lost: removing %s", vp.dataCenterOf(v.Address), v.ID)
		}
	}
	p, ok := vp.bestCandidate(m, offers)
	if !ok {
		return nil, vp.warning(m.Voters)
	}
	hasRoom := len(m.Voters)+len(m.Learners) < most+len(failed)
	if hasRoom || len(m.Learners) == 0 && len(m.Voters) == most && vp.improves(m.Voters, p) {
		return &consensus.Membership{Voters: m.Voters, Learners: append(slices.Clone(m.Learners), p)}, fmt.Sprintf("adding %s as a learner", p.ID)
	}
	return nil, vp.warning(m.Voters)
}

// failedMembers returns the members that are silent, and those whose address belongs to another replica now.
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
