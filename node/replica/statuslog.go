package replica

import (
	"slices"
	"time"

	"caperdrum.org/node/consensus"
)

// loggedStatus is the consensus status that was logged last, so that each change is logged once. Without
// these lines it is not visible from outside why a configuration is late or cannot be read. Only the owning
// goroutine uses it.
type loggedStatus struct {
	role    consensus.Role
	term    uint64
	leader  consensus.NodeID
	since   time.Time // start of this role and leader
	members consensus.Membership
}

const (
	// slowCommandTime and largeCommandBytes are the commit time and the size at which a command is logged: an
	// election takes at least 0.6 s, and a fast replica syncs 64 KiB in a few milliseconds.
	slowCommandTime = 500 * time.Millisecond
	// slowSaveTime is the duration at which a write of the log is logged.
	slowSaveTime      = 200 * time.Millisecond
	largeCommandBytes = 64 << 10
)

// logStatusChanges logs a change of role, leader or membership since the last call.
func (r *Replica) logStatusChanges(s consensus.Status) {
	b := &r.logged
	if s.Role != b.role || s.Leader != b.leader {
		r.logLeaderChange(s)
		b.role, b.leader, b.since = s.Role, s.Leader, r.opts.Clock.Now()
	}
	b.term = s.Term
	if !slices.Equal(s.Membership.Voters, b.members.Voters) || !slices.Equal(s.Membership.Learners, b.members.Learners) {
		r.opts.Log.Info("membership changed", "term", s.Term, "applied", s.Applied, "voters", peerIDs(s.Membership.Voters), "learners", peerIDs(s.Membership.Learners))
		b.members = s.Membership
	}
}

// logLeaderChange logs the new leader, or why a leadership ended. Candidates are not logged: an isolated
// process becomes one every second.
func (r *Replica) logLeaderChange(s consensus.Status) {
	b := r.logged
	lasted := r.opts.Clock.Since(b.since)
	switch {
	case s.Role == consensus.Leader:
		r.opts.Log.Info("became leader", "term", s.Term, "last", s.LastIndex, "committed", s.Committed, "applied", s.Applied, "voters", peerIDs(s.Membership.Voters))
	case b.role == consensus.Leader:
		r.opts.Log.Info("stopped leading", "term", b.term, "reason", b.leadershipEndReason(s), "led", lasted, "last", s.LastIndex, "committed", s.Committed)
	case s.Leader != "":
		r.opts.Log.Info("following leader", "term", s.Term, "leader", s.Leader, "last", s.LastIndex, "committed", s.Committed, "waited", lasted)
	case b.leader != "":
		r.opts.Log.Info("leader lost", "term", s.Term, "leader", b.leader, "followed", lasted, "role", s.Role.String())
	}
}

// leadershipEndReason infers from the status why a leadership ended.
func (b loggedStatus) leadershipEndReason(s consensus.Status) string {
	switch {
	case s.Term > b.term:
		return "a higher term was seen"
	case !s.Membership.IsVoter(s.ID):
		return "no longer a voter"
	}
	return "no quorum answered within an election timeout"
}

func peerIDs(peers []consensus.Peer) []consensus.NodeID {
	out := make([]consensus.NodeID, len(peers))
	for i, p := range peers {
		out[i] = p.ID
	}
	return out
}

// logSentMessages logs each vote and snapshot that is sent.
func (r *Replica) logSentMessages(messages []consensus.Message) {
	for _, m := range messages {
		switch {
		case m.Kind == consensus.MsgVoteReply && m.Reject:
			s := r.node.Status()
			r.opts.Log.Info("vote rejected", "term", m.Term, "to", m.To, "vote", r.node.HardState().Vote, "leader", s.Leader, "last", s.LastIndex)
		case m.Kind == consensus.MsgVoteReply:
			r.opts.Log.Info("vote granted", "term", m.Term, "to", m.To)
		case m.Kind == consensus.MsgSnapshot:
			r.opts.Log.Info("snapshot sent", "to", m.To, "index", m.Snapshot.Index, "bytes", len(m.Snapshot.Data))
		}
	}
}

// logCommand logs a command that was slow, large or not confirmed.
func (r *Replica) logCommand(bytes int, began time.Time, err error) {
	took := r.opts.Clock.Since(began)
	switch s := r.Status(); {
	case err != nil:
		r.opts.Log.Info("command not confirmed", "bytes", bytes, "took", took, "role", s.Role.String(), "term", s.Term, "error", err.Error())
	case took >= slowCommandTime || bytes >= largeCommandBytes:
		r.opts.Log.Info("command committed", "bytes", bytes, "took", took, "term", s.Term, "committed", s.Committed)
	}
}

// logSlowSave logs a slow write of the log: nothing is committed meanwhile, although the leader still leads.
func (r *Replica) logSlowSave(entries int, began time.Time) {
	if took := r.opts.Clock.Since(began); took >= slowSaveTime {
		r.opts.Log.Info("slow log write", "entries", entries, "took", took)
	}
}

// logRead logs a read that no quorum confirmed.
func (r *Replica) logRead(began time.Time, err error) {
	if err == nil || isNotLeader(err) {
		return
	}
	s := r.Status()
	r.opts.Log.Info("read not confirmed", "took", r.opts.Clock.Since(began), "role", s.Role.String(), "term", s.Term, "voters", peerIDs(s.Membership.Voters), "error", err.Error())
}
