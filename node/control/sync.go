package control

import (
	"context"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/state"
)

// maxWait bounds how long a sync call is held back.
const maxWait = 5 * time.Second

// errSuspended sends the caller to another control process: this one hears of no
// changes while its replica takes no part, and its callers would wait for nothing.
func errSuspended(cause error) error {
	return verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "this control process takes no part: %v", cause)
}

// sync renews the caller's lease and answers as soon as there is news.
func (s *Service) sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	renewed := s.renewMember(req)
	timer := s.clock.NewTimer(min(req.Wait, maxWait))
	defer timer.Stop()
	for late := false; ; {
		changed := s.news.changed()
		if err := s.cluster.Outage(); err != nil {
			return nil, errSuspended(err)
		}
		reply := s.replyTo(req)
		reply.Renewed = renewed
		if late || brings(reply, req) {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timer.Chan():
			late = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// holdsNothing reports whether the caller has had no view since it started.
func holdsNothing(req *wire.SyncRequest) bool { return req.ConfigVersion == 0 && req.MembersSeq == 0 }

// brings reports whether a reply has something for its caller, or a hint.
func brings(r *wire.SyncReply, req *wire.SyncRequest) bool {
	hinted := r.Fence > req.Fence || r.Term > req.Term || r.Owner.Epoch > req.OwnerEpoch
	return hinted || r.Config != nil || r.Delta != nil || r.Members != nil || r.Evacuations != nil || r.Suspects != nil || r.Rollouts != nil
}

// replyTo returns what the caller can take over: a first view has to be confirmed by a quorum. Until there is a
// confirmation a copy of all that is known here would be made for nothing, again for each call of each process
// that has just started.
func (s *Service) replyTo(req *wire.SyncRequest) *wire.SyncReply {
	if age := s.cluster.StampAge(); holdsNothing(req) && !usable(age) {
		return &wire.SyncReply{StampAge: age, Control: s.voterAddresses()}
	}
	return s.reply(req)
}

func (s *Service) renewMember(req *wire.SyncRequest) bool {
	r := Renewal{Member: req.Member, ConfigVersion: req.ConfigVersion, Fault: req.Fault}
	if s.cluster.IsLeader() {
		s.leases.renew([]Renewal{r})
		return true
	}
	return s.follow.add(r, req.Wait == 0)
}

// usable reports whether a confirmation of that age makes a first view.
func usable(age time.Duration) bool { return age >= 0 && age <= stampLimit }

// reply reads the stamp before the view: what is read later is at least as new
// as the stamp says.
func (s *Service) reply(req *wire.SyncRequest) *wire.SyncReply {
	age := s.cluster.StampAge()
	view := s.cluster.View()
	r := answer(view, req, age, s.cluster.Leader())
	r.Control = s.voterAddresses()
	r.Fence, r.Term = view.Fences[req.Member.ID], s.cluster.Status().Term
	return r
}

// answer holds what the caller lacks of v. It is empty where the caller is
// ahead of v.
func answer(v *state.View, req *wire.SyncRequest, age time.Duration, leader consensus.Peer) *wire.SyncReply {
	r := &wire.SyncReply{Version: v.Config.Version, MembersSeq: v.MembersSeq, Members: v.Delta(req.MembersSeq),
		Owner: v.Owner, StampAge: age, Leader: wire.MemberID(leader.ID), LeaderPeer: leader.Address, EvacuationsRevision: v.Evacuations.Revision, SuspectsRevision: v.Suspects.Revision, RolloutsRevision: v.Rollouts.Revision}
	if v.Evacuations.Revision > req.Evacuations {
		evacuations := v.Evacuations
		r.Evacuations = &evacuations
	}
	if v.Suspects.Revision > req.Suspects {
		suspects := v.Suspects
		r.Suspects = &suspects
	}
	if v.Rollouts.Revision > req.Rollouts {
		rollouts := v.Rollouts
		r.Rollouts = &rollouts
	}
	if v.Config.Version > req.ConfigVersion {
		r.Delta = v.Texts.DeltaFrom(req.ConfigVersion, req.ConfigHash)
		if r.Delta == nil {
			config := v.Config
			r.Config = &config
		}
	}
	known, ok := v.Members[req.Member.ID]
	r.Recorded = ok && !req.Member.NewerThan(known)
	return r
}
