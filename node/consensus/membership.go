package consensus

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id NodeID) bool { return containsPeer(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Membership) IsLearner(id NodeID) bool { return containsPeer(m.Learners, id) }

func containsPeer(peers []Peer, id NodeID) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.ID == id })
}

// All returns the voters and the learners.
func (m Membership) All() []Peer {
	return append(slices.Clone(m.Voters), m.Learners...)
}

func (m Membership) quorum() int { return len(m.Voters)/2 + 1 }

// ProposeMembership proposes a new membership. It must differ from the current one by at most one voter, and
// only one change may be in progress.
func (n *Node) ProposeMembership(m Membership) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.pendingMembership > n.log.applied {
		return ErrChangePending
	}
	if err := validChange(n.members, m); err != nil {
		return err
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		return errors.Trace(err)
	}
	n.pendingMembership = n.appendEntry(EntryMembership, data)
	n.appendDue = true
	return nil
}

func validChange(from, to Membership) error {
	if votersChanged(from, to) > 1 || len(to.Voters) == 0 {
		return errors.NotValidf("membership change of more than one voter")
	}
	seen := map[NodeID]bool{}
	for _, p := range to.All() {
		if p.ID == "" || seen[p.ID] {
			return errors.NotValidf("membership with unnamed or duplicate replica %q", p.ID)
		}
		seen[p.ID] = true
	}
	return nil
}

func votersChanged(a, b Membership) int {
	changed := 0
	for _, p := range a.Voters {
		if !b.IsVoter(p.ID) {
			changed++
		}
	}
	for _, p := range b.Voters {
		if !a.IsVoter(p.ID) {
			changed++
		}
	}
	return changed
}
