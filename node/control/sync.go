package control

import (
	"context"
	"time"

	"caperdrum.org/api/wire"
)

// maxWait bounds how long a sync call is held back.
const maxWait = 5 * time.Second

// sync renews the caller's lease and answers as soon as there is news.
func (s *Service) sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	renewed := s.renewMember(req)
	timer := time.NewTimer(min(req.Wait, maxWait))
	defer timer.Stop()
	for {
		changed := s.replica.Changed()
		reply := s.reply(req)
		reply.Renewed = renewed
		if reply.Config != nil || reply.Members != nil {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.withStamp(reply), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Service) renewMember(req *wire.SyncRequest) bool {
	r := Renewal{Member: req.Member, ConfigVersion: req.ConfigVersion}
	if s.replica.IsLeader() {
		s.leases.renew([]Renewal{r})
		return true
	}
	return s.follow.add(r)
}

func (s *Service) reply(req *wire.SyncRequest) *wire.SyncReply {
	v := s.replica.View()
	reply := &wire.SyncReply{Version: v.Config.Version, Members: v.Delta(req.MembersSeq)}
	if v.Config.Version > req.ConfigVersion {
		reply.Config = &v.Config
	}
	leader := s.replica.Leader()
	reply.Leader, reply.LeaderPeer = wire.MemberID(leader.ID), leader.Address
	return s.withStamp(reply)
}

func (s *Service) withStamp(r *wire.SyncReply) *wire.SyncReply {
	r.StampAge = s.replica.StampAge()
	return r
}
