package control

import (
	"context"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// RPC methods that administration front ends in other processes call.
const (
	MethodPut      = "control.put"
	MethodConfig   = "control.config"
	MethodAnnounce = "control.announce"
	MethodLeave    = "control.leave"
	MethodOffer    = "control.offer"
)

// readConfig is a linearizable read of the operators' configuration in force. The reply omits the text if
// the caller already holds it, which is the case except right after a change.
func (s *Service) readConfig(ctx context.Context, req *wire.ConfigRequest) (*wire.ConfigReply, error) {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return nil, s.leaderError(err)
	}
	text := s.cluster.View().Config
	reply := &wire.ConfigReply{Version: text.Version, Hash: text.Hash}
	if text.Version != req.Version || text.Hash != req.Hash {
		reply.Text = &text
	}
	return reply, nil
}

// announce renews the leases of announced upstreams. It returns once the replicated member list contains
// their records, so that every process will learn when one of them leaves.
func (s *Service) announce(ctx context.Context, req *wire.AnnounceRequest) (*Empty, error) {
	if _, ok := confirmationOf(s.cluster); !ok || !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	return s.renewAndWait(ctx, req.Upstreams)
}

// leave marks an upstream as leaving and returns once the member list contains the mark, also if the upstream is not
// known. The read barrier ensures that the decision is based on all records that a quorum has committed.
func (s *Service) leave(ctx context.Context, req *wire.LeaveRequest) (*Empty, error) {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return nil, s.leaderError(err)
	}
	records, err := s.leases.leavingRecords(req)
	if err != nil {
		s.log.Info("leaving of an upstream not recorded", "upstream", req.ID, "incarnation", req.Incarnation, "error", err.Error())
		return nil, err
	}
	for _, m := range records {
		if m.Departed() {
			s.log.Info("an upstream that is not known leaves", "upstream", req.ID, "incarnation", req.Incarnation)
		}
	}
	return s.renewAndWait(ctx, records)
}

// renewAndWait renews leases and returns once the member list contains the records. It fails if this process
// loses leadership.
func (s *Service) renewAndWait(ctx context.Context, upstreams []wire.Member) (*Empty, error) {
	renewals := make([]Renewal, len(upstreams))
	for i, m := range upstreams {
		renewals[i] = Renewal{Member: m}
	}
	s.leases.record(renewals)
	for {
		changed := s.notifier.changed()
		if !s.cluster.IsLeader() {
			return nil, s.notLeader()
		}
		if allRecorded(s.cluster.View(), upstreams) {
			return &Empty{}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func allRecorded(v *state.View, members []wire.Member) bool {
	for _, m := range members {
		known, ok := v.Members[m.ID]
		if !ok || m.ChangedSince(known) {
			return false
		}
	}
	return true
}

// acceptOffer records a control process that is willing to become a voter.
func (s *Service) acceptOffer(_ context.Context, id *Identity) (*Empty, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	s.transport.setAddress(id.Peer)
	s.repair.offers.add(id.Peer, s.clock.Now())
	return &Empty{}, nil
}
