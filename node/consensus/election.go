package consensus

// canCampaign excludes learners and replicas that never joined. A removed replica may campaign, counting only
// the votes of the members: its log may be the only one up to date enough to be elected (thesis, section
// 4.2.2). The members ignore it while they have a leader.
func (n *Node) canCampaign() bool {
	return len(n.members.Voters) > 0 && !n.members.IsLearner(n.id)
}

// campaign starts an election, or the pre-vote before it. A pre-vote changes no term anywhere, so a replica
// that was isolated cannot depose a working leader when it returns.
func (n *Node) campaign(pre, forced bool) {
	n.resetElection()
	if n.log.applied < n.log.committed {
		return // a committed membership change may not be applied yet
	}
	n.leader = ""
	n.votes = map[NodeID]bool{n.id: true}
	kind, term := MsgPreVote, n.term+1
	n.role = PreCandidate
	if !pre {
		n.term, n.vote, n.role = term, n.id, Candidate
		kind = MsgVote
	}
	if n.wonElection() {
		n.advanceCampaign()
		return
	}
	for _, v := range n.members.Voters {
		if v.ID != n.id {
			n.sendTerm(Message{Kind: kind, To: v.ID, Index: n.log.last(), LogTerm: n.log.lastTerm(), Forced: forced}, term)
		}
	}
}

func (n *Node) wonElection() bool { return n.countVotes(true) >= n.members.quorum() }

func (n *Node) countVotes(granted bool) int {
	count := 0
	for id, g := range n.votes {
		if g == granted && n.members.IsVoter(id) {
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
	n.role, n.leader, n.leaderSeen = Leader, n.id, true
	n.votes = nil
	n.electionElapsed, n.heartbeatElapsed = 0, 0
	n.progress = map[NodeID]*Progress{}
	n.syncProgress()
	n.uncommitted = 0
	// The log may hold an unapplied membership entry of an earlier term. And until an entry of this term is
	// committed, a change by an earlier leader may still be committed (Ongaro, "bug in single-server
	// membership changes", 2015).
	n.pendingMembership = n.appendEntry(EntryNormal, nil)
	for _, id := range n.otherMembers() {
		n.sendAppend(id, n.progress[id])
	}
	n.maybeCommit()
}
