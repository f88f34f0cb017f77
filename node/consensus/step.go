package consensus

// A snapshot is first resent after snapshotRetryTimeouts election timeouts; the wait then doubles at most
// maxSnapshotDoublings times.
const (
	snapshotRetryTimeouts = 4
	maxSnapshotDoublings  = 5
)

// Step handles a message from another replica. Messages for another NodeID are dropped: they are meant for a
// replica whose disk was replaced.
func (n *Node) Step(m Message) {
	if m.To != n.id {
		return
	}
	switch {
	case m.Term > n.term:
		if !n.stepHigherTerm(m) {
			return
		}
	case m.Term < n.term:
		n.stepLowerTerm(m)
		return
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.stepVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.stepVoteReply(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.stepFromLeader(m)
	case MsgAppendReply, MsgHeartbeatReply:
		n.stepFromFollower(m)
	case MsgTimeoutNow:
		if n.members.IsVoter(n.id) && n.role == Follower {
			n.campaign(false, true)
		}
	}
}

// stepHigherTerm adopts the message's term, unless it is that of a pre-vote, and reports whether the message
// should be processed further.
func (n *Node) stepHigherTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote, MsgVote:
		if n.inLease() && !m.Forced {
			return false
		}
		if m.Kind == MsgVote {
			n.becomeFollower(m.Term, "")
		}
	case MsgPreVoteReply:
		if m.Reject {
			n.becomeFollower(m.Term, "")
			return false
		}
		// A granted pre-vote carries the term of the election that would follow.
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, "")
	}
	return true
}

// inLease reports whether a leader was heard from within the last election timeout.
func (n *Node) inLease() bool {
	return n.leader != "" && n.electionElapsed < n.cfg.ElectionTicks
}

// stepLowerTerm tells a deposed leader, or a candidate whose term is outdated, the current term.
func (n *Node) stepLowerTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Hint: n.log.last()})
	case MsgPreVote:
		n.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) stepVote(m Message) {
	upToDate := n.log.isUpToDate(m.Index, m.LogTerm)
	if m.Kind == MsgPreVote {
		grant := upToDate && m.Term > n.term
		term := n.term
		if grant {
			term = m.Term
		}
		n.sendTerm(Message{Kind: MsgPreVoteReply, To: m.From, Reject: !grant}, term)
		return
	}
	canVote := n.vote == m.From || n.vote == "" && n.leader == ""
	grant := canVote && upToDate
	if grant {
		n.vote = m.From
		n.resetElection()
	}
	n.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}

func (n *Node) stepVoteReply(m Message) {
	expected := Candidate
	if m.Kind == MsgPreVoteReply {
		expected = PreCandidate
	}
	if n.role != expected || m.Kind == MsgPreVoteReply && !m.Reject && m.Term != n.term+1 {
		return
	}
	if _, seen := n.votes[m.From]; !seen {
		n.votes[m.From] = !m.Reject
	}
	switch {
	case n.wonElection():
		n.advanceCampaign()
	case n.countVotes(false) >= n.members.quorum():
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) stepFromLeader(m Message) {
	if n.role == Leader {
		return // impossible: a term has one leader
	}
	if n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader, n.leaderSeen = m.From, true
	n.electionElapsed = 0
	switch m.Kind {
	case MsgAppend:
		n.handleAppend(m)
	case MsgHeartbeat:
		n.log.committed = max(n.log.committed, min(m.Commit, n.log.last()))
		n.send(Message{Kind: MsgHeartbeatReply, To: m.From, ReadSeq: m.ReadSeq})
	case MsgSnapshot:
		n.handleSnapshot(m)
	}
}

func (n *Node) handleAppend(m Message) {
	if m.Index < n.log.committed {
		n.send(Message{Kind: MsgAppendReply, To: m.From, Index: n.log.committed})
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		n.send(Message{Kind: MsgAppendReply, To: m.From, Index: m.Index, Reject: true, Hint: n.rejectHint(m)})
		return
	}
	match := n.log.appendFrom(m.Index, m.Entries)
	n.log.committed = max(n.log.committed, min(m.Commit, match))
	n.send(Message{Kind: MsgAppendReply, To: m.From, Index: match})
}

// rejectHint returns the highest index that may match the leader's log. It skips at once all entries with a
// term above that of the leader's entry at the rejected index.
func (n *Node) rejectHint(m Message) uint64 {
	hint := min(n.log.last(), m.Index-1)
	for hint > n.log.committed {
		if t, ok := n.log.term(hint); ok && t <= m.LogTerm {
			break
		}
		hint--
	}
	return max(hint, n.log.committed)
}

func (n *Node) handleSnapshot(m Message) {
	s := m.Snapshot
	if s == nil || s.Index <= n.log.committed {
		n.send(Message{Kind: MsgAppendReply, To: m.From, Index: n.log.committed})
		return
	}
	if t, ok := n.log.term(s.Index); ok && t == s.Term {
		// The entries after it may be acknowledged already: keep them.
		n.log.committed = s.Index
		n.send(Message{Kind: MsgAppendReply, To: m.From, Index: s.Index})
		return
	}
	n.log.restore(s)
	n.members = s.Membership
	n.snapshot, n.receivedSnapshot = s, s
	n.send(Message{Kind: MsgAppendReply, To: m.From, Index: s.Index})
}

func (n *Node) stepFromFollower(m Message) {
	pr := n.progress[m.From]
	if n.role != Leader || pr == nil {
		return
	}
	pr.RecentActive = true
	if m.Kind == MsgHeartbeatReply {
		n.handleHeartbeatReply(m, pr)
		return
	}
	if m.Reject {
		n.handleReject(m, pr)
		return
	}
	wasBehind := pr.Match < m.Index
	pr.Match = max(pr.Match, m.Index)
	pr.Next = max(pr.Next, pr.Match+1)
	if pr.Snapshot != 0 && pr.Match >= pr.Snapshot {
		pr.Snapshot, pr.snapshotRetries = 0, 0
	}
	pr.probing = false
	if n.maybeCommit() {
		n.confirmReads()
		n.broadcastAppend()
	} else if wasBehind && pr.Next <= n.log.last() {
		n.sendAppend(m.From, pr)
	}
	if m.From == n.transferee {
		n.continueTransfer()
	}
}

func (n *Node) handleReject(m Message, pr *Progress) {
	if m.Index <= pr.Match && m.Index != 0 {
		return // delayed: the follower has acknowledged more since
	}
	pr.probing = true
	pr.Next = max(pr.Match, min(m.Hint, n.log.last())) + 1
	n.sendAppend(m.From, pr)
}

func (n *Node) handleHeartbeatReply(m Message, pr *Progress) {
	pr.readSeq = max(pr.readSeq, m.ReadSeq)
	n.confirmReads()
	if pr.Match < n.log.last() {
		n.retrySnapshot(pr)
		if pr.Next <= pr.Match {
			pr.Next = pr.Match + 1
		}
		n.sendAppend(m.From, pr)
	}
}

// retrySnapshot allows an unacknowledged snapshot to be sent again. The wait doubles each time, because a
// large snapshot takes long on a slow link and a second copy would delay it further.
func (n *Node) retrySnapshot(pr *Progress) {
	wait := snapshotRetryTimeouts * n.cfg.ElectionTicks << min(pr.snapshotRetries, maxSnapshotDoublings)
	if pr.Snapshot == 0 || pr.snapshotWait < wait {
		return
	}
	pr.Snapshot = 0
	pr.snapshotRetries++
}
