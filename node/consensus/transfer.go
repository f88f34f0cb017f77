package consensus

// TransferLeadership lets the voter take over once its log is complete. Proposals are refused meanwhile.
func (n *Node) TransferLeadership(to NodeID) {
	if n.role != Leader || to == n.id || !n.members.IsVoter(to) {
		return
	}
	n.transferee = to
	n.transferElapsed = 0
	n.continueTransfer()
}

func (n *Node) continueTransfer() {
	pr := n.progress[n.transferee]
	if pr != nil && pr.Match == n.log.last() {
		n.send(Message{Kind: MsgTimeoutNow, To: n.transferee})
	}
}

// tickTransfer cancels a transfer after an election timeout, so that proposals are accepted again.
func (n *Node) tickTransfer() {
	if n.transferee == "" {
		return
	}
	n.transferElapsed++
	if n.transferElapsed >= n.cfg.ElectionTicks {
		n.transferee = ""
	}
}

// HandoverMessages returns the message by which a leader whose storage has failed makes its successor
// campaign. It does not change the node: entries that the leader has not synced were never acknowledged.
func (n *Node) HandoverMessages() []Message {
	to := n.Successor()
	if to == "" {
		return nil
	}
	return []Message{{Kind: MsgTimeoutNow, From: n.id, To: to, Term: n.term}}
}

// Successor returns the active voter with the longest log other than the leader itself, or "" if there is
// none or this node does not lead.
func (n *Node) Successor() NodeID {
	best := NodeID("")
	if n.role != Leader {
		return best
	}
	for id, pr := range n.progress {
		if id == n.id || !n.members.IsVoter(id) || !pr.RecentActive {
			continue
		}
		if best == "" || pr.Match > n.progress[best].Match || pr.Match == n.progress[best].Match && id < best {
			best = id
		}
	}
	return best
}
