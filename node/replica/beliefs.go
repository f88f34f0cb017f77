package replica

import (
	"slices"
	"time"

	"caperdrum.org/node/consensus"
)

// beliefs are what this replica last logged of its cluster, so that each change is
// one line: without them nobody can tell from outside why a configuration is late or
// cannot be read. It is of the owning goroutine.
type beliefs struct {
	role    consensus.Role
	term    uint64
	leader  consensus.NodeID
	since   time.Time // of role and leader
	members consensus.Membership
}

const (
	// slowCommand and largeCommand are the time until a commit and the size from
	// which on a command has a line of its own: an election takes 0.6 s at least, and a
	// fast replica syncs 64 KiB in a few milliseconds.
	slowCommand = 500 * time.Millisecond
	// slowSave is the time of a write of the log from which on it has a line.
	slowSave     = 200 * time.Millisecond
	largeCommand = 64 << 10
)

// logBeliefs writes a line for each thing that has changed since the last call.
func (r *Replica) logBeliefs(s consensus.Status) {
	b := &r.beliefs
	if s.Role != b.role || s.Leader != b.leader {
		r.logLead(s)
		b.role, b.leader, b.since = s.Role, s.Leader, r.opts.Clock.Now()
	}
	b.term = s.Term
	if !slices.Equal(s.Membership.Voters, b.members.Voters) || !slices.Equal(s.Membership.Learners, b.members.Learners) {
		r.opts.Log.Info("voters in force", "term", s.Term, "applied", s.Applied, "voters", names(s.Membership.Voters), "learners", names(s.Membership.Learners))
		b.members = s.Membership
	}
}

// logLead says who leads now, or why a lead ended. Candidates are not logged: a
// process that is cut off becomes one every second.
func (r *Replica) logLead(s consensus.Status) {
	b := r.beliefs
	lasted := r.opts.Clock.Since(b.since)
	switch {
	case s.Role == consensus.Leader:
		r.opts.Log.Info("lead gained", "term", s.Term, "last", s.Last, "committed", s.Committed, "applied", s.Applied, "voters", names(s.Membership.Voters))
	case b.role == consensus.Leader:
		r.opts.Log.Info("lead ended", "term", b.term, "reason", b.endOf(s), "led", lasted, "last", s.Last, "committed", s.Committed)
	case s.Leader != "":
		r.opts.Log.Info("leader followed", "term", s.Term, "leader", s.Leader, "last", s.Last, "committed", s.Committed, "waited", lasted)
	case b.leader != "":
		r.opts.Log.Info("leader lost", "term", s.Term, "leader", b.leader, "followed", lasted, "role", s.Role.String())
	}
}

// endOf says why a lead ended, as far as the status tells.
func (b beliefs) endOf(s consensus.Status) string {
	switch {
	case s.Term > b.term:
		return "a higher term"
	case !s.Membership.Has(s.ID):
		return "not a voter any more"
	}
	return "no quorum answered within an election timeout"
}

func names(peers []consensus.Peer) []consensus.NodeID {
	out := make([]consensus.NodeID, len(peers))
	for i, p := range peers {
		out[i] = p.ID
	}
	return out
}

// logSent writes a line for each vote and snapshot that goes out.
func (r *Replica) logSent(messages []consensus.Message) {
	for _, m := range messages {
		switch {
		case m.Kind == consensus.MsgVoteReply && m.Reject:
			s := r.node.Status()
			r.opts.Log.Info("vote refused", "term", m.Term, "to", m.To, "vote", r.node.HardState().Vote, "leader", s.Leader, "last", s.Last)
		case m.Kind == consensus.MsgVoteReply:
			r.opts.Log.Info("vote given", "term", m.Term, "to", m.To)
		case m.Kind == consensus.MsgSnapshot:
			r.opts.Log.Info("snapshot sent", "to", m.To, "index", m.Snapshot.Index, "bytes", len(m.Snapshot.Data))
		}
	}
}

// logCommand writes a line for a command that was slow, large or not confirmed.
func (r *Replica) logCommand(bytes int, began time.Time, err error) {
	took := r.opts.Clock.Since(began)
	switch s := r.Status(); {
	case err != nil:
		r.opts.Log.Info("command not confirmed", "bytes", bytes, "took", took, "role", s.Role.String(), "term", s.Term, "error", err.Error())
	case took >= slowCommand || bytes >= largeCommand:
		r.opts.Log.Info("command committed", "bytes", bytes, "took", took, "term", s.Term, "committed", s.Committed)
	}
}

// logSave writes a line for a write of the log that the disk took long for: nothing is committed meanwhile, though the
// leader still leads.
func (r *Replica) logSave(entries int, began time.Time) {
	if took := r.opts.Clock.Since(began); took >= slowSave {
		r.opts.Log.Info("log written slowly", "entries", entries, "took", took)
	}
}

// logRead writes a line for a read that no quorum confirmed.
func (r *Replica) logRead(began time.Time, err error) {
	if err == nil || errNotTaken(err) {
		return
	}
	s := r.Status()
	r.opts.Log.Info("read not confirmed", "took", r.opts.Clock.Since(began), "role", s.Role.String(), "term", s.Term, "voters", names(s.Membership.Voters), "error", err.Error())
}
