package control

import (
	"context"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
)

// Init creates a new cluster with this process as its only voter. Repair adds the other control processes of
// the settings.
func (s *Service) Init(ctx context.Context) error { return s.replica.Init(ctx) }

// Status returns the state of this process's replica.
func (s *Service) Status() wire.ControlStatus {
	st := s.replica.Status()
	v := s.replica.View()
	out := wire.ControlStatus{ID: wire.MemberID(s.set.Node.Name), State: st.Role.String(), Leader: wire.MemberID(st.Leader),
		Term: st.Term, Commit: st.Committed, Applied: st.Applied, ConfigVersion: v.Config.Version,
		StampAge: s.replica.StampAge(), LedgerEntries: v.LedgerEntries, Repair: s.repair.Report(), Debug: s.set.Debug.Listen}
	out.Voters = ids(st.Membership.Voters)
	out.Learners = ids(st.Membership.Learners)
	if st.Role == consensus.Follower && st.Membership.IsLearner(st.ID) {
		out.State = "learner"
	}
	return out
}

func ids(peers []consensus.Peer) []wire.MemberID {
	var out []wire.MemberID
	for _, p := range peers {
		out = append(out, wire.MemberID(p.ID))
	}
	return out
}

// Members returns the member list. Configuration versions and ages are known only to the leader.
func (s *Service) Members() []wire.MemberStatus { return s.leases.report() }
