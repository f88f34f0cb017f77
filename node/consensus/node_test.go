package consensus_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"caperdrum.org/node/consensus"
)

func peers(ids ...consensus.NodeID) []consensus.Peer {
	var out []consensus.Peer
	for _, id := range ids {
		out = append(out, consensus.Peer{ID: id})
	}
	return out
}

// newNode returns a node whose log has entries of the given terms after its first snapshot.
func newNode(id consensus.NodeID, term uint64, voters []consensus.Peer, terms ...uint64) *consensus.Node {
	snap := &consensus.Snapshot{Index: 1, Term: 1, Membership: consensus.Membership{Voters: voters}}
	var entries []consensus.Entry
	for i, t := range terms {
		entries = append(entries, consensus.Entry{Index: uint64(i) + 2, Term: t, Data: []byte{byte(t)}})
	}
	return consensus.New(consensus.Config{ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, MaxBatchBytes: 1 << 20,
		MaxUncommittedBytes: 100, Rand: rand.New(rand.NewPCG(1, 1)), HardState: consensus.HardState{Term: term}, Snapshot: snap, Entries: entries})
}

// drain processes every Ready and returns all messages.
func drain(n *consensus.Node) (out []consensus.Message) {
	for n.HasReady() {
		rd := n.Ready()
		out = append(append(out, rd.EarlyMessages...), rd.Messages...)
		n.Advance(rd)
	}
	return out
}

// elect makes n the leader with the vote of another replica and commits its first entry.
func elect(t *testing.T, n *consensus.Node, by consensus.NodeID) {
	t.Helper()
	for range 2 * electionTicks {
		n.Tick()
		drain(n)
	}
	term := n.Status().Term
	n.Step(consensus.Message{Kind: consensus.MsgPreVoteReply, From: by, To: n.Status().ID, Term: term + 1})
	drain(n)
	n.Step(consensus.Message{Kind: consensus.MsgVoteReply, From: by, To: n.Status().ID, Term: term + 1})
	if n.Status().Role != consensus.Leader {
		t.Fatalf("not elected: %+v", n.Status())
	}
}

func ack(n *consensus.Node, from consensus.NodeID) {
	st := n.Status()
	n.Step(consensus.Message{Kind: consensus.MsgAppendReply, From: from, To: st.ID, Term: st.Term, Index: st.LastIndex})
	drain(n)
}

func count(ms []consensus.Message, kind consensus.MessageKind) int {
	k := 0
	for _, m := range ms {
		if m.Kind == kind {
			k++
		}
	}
	return k
}

// A delayed snapshot must not remove entries that were acknowledged after it was sent.
func TestDelayedSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	n := newNode("b", 2, peers("a", "b"), 2, 2, 2, 2)
	n.Step(consensus.Message{Kind: consensus.MsgSnapshot, From: "a", To: "b", Term: 2,
		Snapshot: &consensus.Snapshot{Index: 3, Term: 2, Membership: consensus.Membership{Voters: peers("a", "b")}}})
	drain(n)
	if st := n.Status(); st.LastIndex != 5 || st.Committed != 3 {
		t.Fatalf("last %d, committed %d; want 5 and 3", st.LastIndex, st.Committed)
	}
}

func TestSnapshotOfAnotherLogReplacesIt(t *testing.T) {
	n := newNode("b", 3, peers("a", "b"), 2, 2, 2)
	n.Step(consensus.Message{Kind: consensus.MsgSnapshot, From: "a", To: "b", Term: 3,
		Snapshot: &consensus.Snapshot{Index: 3, Term: 3, Membership: consensus.Membership{Voters: peers("a", "b")}}})
	drain(n)
	if st := n.Status(); st.LastIndex != 3 || st.Applied != 3 {
		t.Fatalf("last %d, applied %d; want 3 and 3", st.LastIndex, st.Applied)
	}
}

// Ongaro's note of July 2015: without this rule, two majorities can be disjoint.
func TestMembershipChangeWaitsForAnEntryOfTheTerm(t *testing.T) {
	n := newNode("a", 1, peers("a", "b", "c"))
	elect(t, n, "b")
	drain(n)
	next := consensus.Membership{Voters: peers("a", "b", "c", "d")}
	if err := n.ProposeMembership(next); err != consensus.ErrChangePending {
		t.Fatalf("before an entry of the term is committed: %v", err)
	}
	ack(n, "b")
	if err := n.ProposeMembership(next); err != nil {
		t.Fatalf("after: %v", err)
	}
}

func TestMembershipIsValidated(t *testing.T) {
	n := newNode("a", 1, peers("a", "b"))
	elect(t, n, "b")
	ack(n, "b")
	for name, m := range map[string]consensus.Membership{
		"no voter":          {Learners: peers("a", "b")},
		"two new voters":    {Voters: peers("a", "b", "c", "d")},
		"duplicate voter":   {Voters: peers("a", "b", "b")},
		"voter and learner": {Voters: peers("a", "b"), Learners: peers("b")},
	} {
		if n.ProposeMembership(m) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// A transferee that never answers blocks proposals for one election timeout only, and repeated transfer
// requests must not keep a leader that lost its quorum.
func TestTransferIsBounded(t *testing.T) {
	n := newNode("a", 1, peers("a", "b", "c"))
	elect(t, n, "b")
	ack(n, "b")
	n.TransferLeadership("c")
	for i := range electionTicks {
		if _, _, err := n.Propose(nil); err == nil {
			t.Fatalf("a proposal was accepted %d ticks into the transfer", i)
		}
		n.Tick()
	}
	if _, _, err := n.Propose(nil); err != nil {
		t.Fatalf("an election timeout later: %v", err)
	}
	for range 2 * electionTicks {
		n.TransferLeadership("c")
		n.Tick()
	}
	if n.Status().Role == consensus.Leader {
		t.Fatal("still leads without a quorum")
	}
}

// A removed replica with the longest log must be able to lead once more: b cannot win an election without its
// vote.
func TestRemovedReplicaLeadsUntilOthersCaughtUp(t *testing.T) {
	a := newNode("a", 2, peers("b"), 2)
	elect(t, a, "b")
	a.Step(consensus.Message{Kind: consensus.MsgAppendReply, From: "b", To: "a", Term: a.Status().Term, Index: a.Status().LastIndex})
	ms := drain(a)
	commit := slices.IndexFunc(ms, func(m consensus.Message) bool { return m.To == "b" && m.Commit == 3 })
	if st := a.Status(); st.Role == consensus.Leader || commit < 0 {
		t.Fatalf("want b to learn of the commit and the leader to step down: %+v %+v", st, ms)
	}
}

func TestSnapshotIsNotResentOnEveryHeartbeat(t *testing.T) {
	n := newNode("a", 1, peers("a", "b", "c"))
	elect(t, n, "b")
	ack(n, "b")
	for range 5 {
		n.Propose([]byte("x"))
		ack(n, "b")
	}
	n.Compact(n.Capture())
	n.TrimLog(n.Status().Applied)
	heartbeat := func() int {
		n.Tick()
		st := n.Status()
		n.Step(consensus.Message{Kind: consensus.MsgAppendReply, From: "b", To: "a", Term: st.Term, Index: st.LastIndex})
		n.Step(consensus.Message{Kind: consensus.MsgHeartbeatReply, From: "c", To: "a", Term: st.Term})
		return count(drain(n), consensus.MsgSnapshot)
	}
	n.Step(consensus.Message{Kind: consensus.MsgAppendReply, From: "c", To: "a", Term: n.Status().Term, Index: n.Status().LastIndex, Reject: true})
	sent := count(drain(n), consensus.MsgSnapshot)
	for range 20 * electionTicks {
		sent += heartbeat()
	}
	if sent < 2 || sent > 4 {
		t.Fatalf("%d snapshots in 20 election timeouts, want the first and a few retries", sent)
	}
}

func TestCommitIsStoredWithEntriesAndNeverAlone(t *testing.T) {
	n := newNode("b", 2, peers("a", "b"), 2)
	n.Step(consensus.Message{Kind: consensus.MsgHeartbeat, From: "a", To: "b", Term: 2, Commit: 2})
	rd := n.Ready()
	if rd.HardState != nil {
		t.Fatalf("a change of the commit index alone requires a sync: %+v", rd.HardState)
	}
	n.Advance(rd)
	n.Step(consensus.Message{Kind: consensus.MsgAppend, From: "a", To: "b", Term: 2, Index: 2, LogTerm: 2, Commit: 2,
		Entries: []consensus.Entry{{Index: 3, Term: 2, Kind: consensus.EntryMembership}}})
	if rd = n.Ready(); rd.HardState == nil || rd.HardState.Commit != 2 {
		t.Fatalf("entries are stored without the current commit index: %+v", rd.HardState)
	}
}

func TestNoCampaignBeforeCommittedEntriesAreApplied(t *testing.T) {
	n := newNode("b", 2, peers("a", "b"), 2)
	n.Step(consensus.Message{Kind: consensus.MsgHeartbeat, From: "a", To: "b", Term: 2, Commit: 2})
	n.Step(consensus.Message{Kind: consensus.MsgTimeoutNow, From: "a", To: "b", Term: 2})
	if st := n.Status(); st.Role != consensus.Follower {
		t.Fatalf("campaigned with %d of %d committed entries applied", st.Applied, st.Committed)
	}
}

func TestNewLeaderSendsItsFirstEntryAtOnce(t *testing.T) {
	n := newNode("a", 1, peers("a", "b", "c"))
	elect(t, n, "b")
	if got := count(drain(n), consensus.MsgAppend); got != 2 {
		t.Fatalf("%d appends, want one to each follower", got)
	}
}

func TestLeaderDoesNotCountItsUnsyncedEntries(t *testing.T) {
	n := newNode("a", 1, peers("a", "b"))
	elect(t, n, "b")
	n.Step(consensus.Message{Kind: consensus.MsgAppendReply, From: "b", To: "a", Term: n.Status().Term, Index: n.Status().LastIndex})
	if st := n.Status(); st.Committed != 1 {
		t.Fatalf("committed %d before the leader's own sync", st.Committed)
	}
	if drain(n); n.Status().Committed != 2 {
		t.Fatal("not committed after the leader's sync")
	}
}

// Raft paper, figure 8.
func TestOnlyEntriesOfTheTermAreCommittedByCount(t *testing.T) {
	n := newNode("a", 3, peers("a", "b", "c"), 2)
	elect(t, n, "b")
	drain(n)
	n.Step(consensus.Message{Kind: consensus.MsgAppendReply, From: "b", To: "a", Term: n.Status().Term, Index: 2})
	if st := n.Status(); st.Committed != 1 {
		t.Fatalf("committed %d, which a later leader may still replace", st.Committed)
	}
	ack(n, "b")
	if st := n.Status(); st.Committed != 3 {
		t.Fatalf("committed %d after an entry of the term", st.Committed)
	}
}

func TestProposalsWithoutQuorumAreBounded(t *testing.T) {
	n := newNode("a", 1, peers("a", "b", "c"))
	elect(t, n, "b")
	var err error
	taken := 0
	for ; err == nil && taken < 100; taken++ {
		_, _, err = n.Propose(make([]byte, 30))
	}
	if err != consensus.ErrOverloaded || taken != 4 {
		t.Fatalf("%d accepted, then %v", taken, err)
	}
	drain(n)
	ack(n, "b")
	if _, _, err = n.Propose(make([]byte, 30)); err != nil {
		t.Fatalf("after the commit: %v", err)
	}
}

// All entries of terms that the leader never had are skipped in one round.
func TestRejectSkipsATermAtOnce(t *testing.T) {
	n := newNode("b", 9, peers("a", "b"), 2, 5, 5, 5, 5, 5)
	n.Step(consensus.Message{Kind: consensus.MsgAppend, From: "a", To: "b", Term: 9, Index: 7, LogTerm: 3})
	for _, m := range drain(n) {
		if m.Kind == consensus.MsgAppendReply && (!m.Reject || m.Hint != 2) {
			t.Fatalf("%+v, want a hint of 2", m)
		}
	}
}

// TestResign: a leader whose storage has failed names the voter with the longest log as its successor, which
// then campaigns at once; a follower names no successor.
func TestResign(t *testing.T) {
	n := newNode("a", 1, peers("a", "b", "c"), 1)
	if got := n.HandoverMessages(); len(got) != 0 {
		t.Fatalf("a follower sends %+v", got)
	}
	elect(t, n, "b")
	drain(n)
	ack(n, "c")
	got := n.HandoverMessages()
	if len(got) != 1 || got[0].To != "c" || got[0].Kind != consensus.MsgTimeoutNow {
		t.Fatalf("%+v", got)
	}
	c := newNode("c", got[0].Term, peers("a", "b", "c"), 1)
	c.Step(got[0])
	if c.Status().Role != consensus.Candidate {
		t.Fatalf("the successor is a %s", c.Status().Role)
	}
}
