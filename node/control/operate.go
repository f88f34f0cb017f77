package control

import (
	"context"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// Methods for front ends of administration that run in other processes.
const (
	MethodPut      = "control.put"
	MethodConfig   = "control.config"
	MethodAnnounce = "control.announce"
	MethodLeave    = "control.leave"
	MethodOffer    = "control.offer"
)

// config reads the text in force with a quorum's confirmation. The text itself is left
// out where the reader holds it: each process does, but for the moments after a change.
func (s *Service) config(ctx context.Context, req *wire.ConfigRequest) (*wire.ConfigReply, error) {
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

// announce renews the leases of announced upstreams and answers when the
// members hold their records, so that an upstream that is told so may count on
// every process to hear that it leaves.
func (s *Service) announce(ctx context.Context, req *wire.AnnounceRequest) (*Empty, error) {
	if _, ok := stampOf(s.cluster); !ok || !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	return s.hold(ctx, req.Upstreams)
}

// leave marks an upstream as leaving and answers when the members hold the mark.
// That an upstream is unknown, and needs none, counts only as a quorum's word.
func (s *Service) leave(ctx context.Context, req *wire.LeaveRequest) (*Empty, error) {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return nil, s.leaderError(err)
	}
	return s.hold(ctx, s.leases.leaving(req))
}

// hold renews leases and returns once the members hold the records.
func (s *Service) hold(ctx context.Context, upstreams []wire.Member) (*Empty, error) {
	renewals := make([]Renewal, len(upstreams))
	for i, m := range upstreams {
		renewals[i] = Renewal{Member: m}
	}
	s.leases.renew(renewals)
	for {
		changed := s.news.changed()
		if !s.cluster.IsLeader() {
			return nil, s.notLeader()
		}
		if holdsAll(s.cluster.View(), upstreams) {
			return &Empty{}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func holdsAll(v *state.View, members []wire.Member) bool {
	for _, m := range members {
		known, ok := v.Members[m.ID]
		if !ok || m.ChangedSince(known) {
			return false
		}
	}
	return true
}

// offer notes a control process that would vote.
func (s *Service) offer(_ context.Context, id *Identity) (*Empty, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	s.links.learn(id.Peer)
	s.repair.offers.note(id.Peer, s.clock.Now())
	return &Empty{}, nil
}
