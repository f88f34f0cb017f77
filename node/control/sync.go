package control

import (
	"context"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/state"
)

// maxWait limits how long a sync call waits for changes.
const maxWait = 5 * time.Second

// errSuspended redirects the caller to another control process. While the replica is suspended, this one
// learns of no changes.
func errSuspended(cause error) error {
	return verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "this control process takes no part: %v", cause)
}

// sync renews the caller's lease. It answers as soon as there are changes (long poll).
func (s *Service) sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	renewed := s.renewLease(req)
	timer := s.clock.NewTimer(min(req.Wait, maxWait))
	defer timer.Stop()
	for late := false; ; {
		changed := s.notifier.changed()
		if err := s.cluster.Outage(); err != nil {
			return nil, errSuspended(err)
		}
		reply := s.replyTo(req)
		reply.Renewed = renewed
		if late || hasUpdates(reply, req) {
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

// hasNoView reports whether the caller has had no view since it started.
func hasNoView(req *wire.SyncRequest) bool { return req.ConfigVersion == 0 && req.MembersSeq == 0 }

// hasUpdates reports whether the reply contains updates or hints that are new to the caller.
func hasUpdates(r *wire.SyncReply, req *wire.SyncRequest) bool {
	hinted := r.Fence > req.Fence || r.Term > req.Term || r.Owner.Epoch > req.OwnerEpoch
	return hinted || r.Config != nil || r.Delta != nil || r.Members != nil || r.Evacuations != nil || r.Suspects != nil || r.Rollouts != nil
}

// replyTo returns what the caller can apply. An initial view must be confirmed by a quorum. Before that, the
// reply contains no state, since each call of each starting process would copy all of it in vain.
func (s *Service) replyTo(req *wire.SyncRequest) *wire.SyncReply {
	if age := s.cluster.StampAge(); hasNoView(req) && !confirmsInitialView(age) {
		return &wire.SyncReply{StampAge: age, Control: s.voterAddresses()}
	}
	return s.fullReply(req)
}

func (s *Service) renewLease(req *wire.SyncRequest) bool {
	r := Renewal{Member: req.Member, ConfigVersion: req.ConfigVersion, Fault: req.Fault}
	if s.cluster.IsLeader() {
		s.leases.record([]Renewal{r})
		return true
	}
	return s.follower.add(r, req.Wait == 0)
}

// confirmsInitialView reports whether a confirmation of that age is recent enough for an initial view.
func confirmsInitialView(age time.Duration) bool { return age >= 0 && age <= maxConfirmationAge }

// fullReply reads the confirmation's age before the view, so that the view is at least as new as the
// confirmation.
func (s *Service) fullReply(req *wire.SyncRequest) *wire.SyncReply {
	age := s.cluster.StampAge()
	view := s.cluster.View()
	r := updatesFor(view, req, age, s.cluster.Leader())
	r.Control = s.voterAddresses()
	r.Fence, r.Term = view.Fences[req.Member.ID], s.cluster.Status().Term
	return r
}

// updatesFor returns the parts of v that the caller lacks: none if the caller is ahead of v.
func updatesFor(v *state.View, req *wire.SyncRequest, age time.Duration, leader consensus.Peer) *wire.SyncReply {
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
		r.Delta = v.TextHistory.DeltaFrom(req.ConfigVersion, req.ConfigHash)
		if r.Delta == nil {
			config := v.Config
			r.Config = &config
		}
	}
	known, ok := v.Members[req.Member.ID]
	r.Recorded = ok && !req.Member.NewerThan(known)
	return r
}
