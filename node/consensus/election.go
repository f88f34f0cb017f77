package consensus

// mayCampaign excludes learners and replicas that never joined. A replica that
// was removed may campaign, with the votes of the others only: it may hold the
// only log that reaches far enough for the others to vote for (thesis, section
// 4.2.2). The others ignore it while they have a leader.
func (n *Node) mayCampaign() bool {
	return len(n.members.Voters) > 0 && !n.members.HasLearner(n.id)
}

// campaign asks for votes. A pre-vote changes no term anywhere, so a replica
// that was cut off cannot depose a working leader when it comes back.
func (n *Node) campaign(pre, forced bool) {
	n.resetElection()
	if n.log.applied < n.log.committed {
		return // a committed membership may be among what is not applied
	}
	n.leader = ""
	n.votes = map[NodeID]bool{n.id: true}
	kind, term := MsgPreVote, n.term+1
	n.role = PreCandidate
	if !pre {
		n.term, n.vote, n.role = term, n.id, Candidate
		kind = MsgVote
	}
	if n.won() {
		n.advanceCampaign()
		return
	}
	for _, v := range n.members.Voters {
		if v.ID != n.id {
			n.sendTerm(Message{Kind: kind, To: v.ID, Index: n.log.last(), LogTerm: n.log.lastTerm(), Forced: forced}, term)
		}
	}
}

func (n *Node) won() bool { return n.countVotes(true) >= n.members.quorum() }

func (n *Node) countVotes(granted bool) int {
	count := 0
	for id, g := range n.votes {
		if g == granted && n.members.Has(id) {
			count++
		}
	}
	return count
}

func (n *Node) advanceCampaign() {
	if n.role == PreCandidate {
		n.campaign(false, false)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.heard = Leader, n.id, true
	n.votes = nil
	n.electionElapsed, n.heartbeatElapsed = 0, 0
	n.progress = map[NodeID]*Progress{}
	n.syncProgress()
	n.uncommitted = 0
	// An unapplied membership entry of an earlier term may be in the log. And
	// until an entry of this term is committed, a change of an earlier leader
	// may still win (Ongaro, "bug in single-server membership changes", 2015).
	n.pendingMembership = n.appendEntry(EntryNormal, nil)
	for _, id := range n.others() {
		n.sendAppend(id, n.progress[id])
	}
	n.maybeCommit()
}
