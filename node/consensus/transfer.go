package consensus

// TransferLeadership lets the voter take over once its log is whole.
func (n *Node) TransferLeadership(to NodeID) {
	if n.role != Leader || to == n.id || !n.members.Has(to) {
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

// tickTransfer takes proposals again when the transferee stays silent.
func (n *Node) tickTransfer() {
	if n.transferee == "" {
		return
	}
	n.transferElapsed++
	if n.transferElapsed >= n.cfg.ElectionTicks {
		n.transferee = ""
	}
}

// Resign returns a message by which a leader that can store nothing any more lets
// another voter take over, the one whose log is longest. It changes nothing here:
// what the leader has not synced was never acknowledged.
func (n *Node) Resign() []Message {
	to := n.Successor()
	if to == "" {
		return nil
	}
	return []Message{{Kind: MsgTimeoutNow, From: n.id, To: to, Term: n.term}}
}

// Successor is the other voter that a leader should hand the lead to: the one whose log
// is longest among those that answer. It is empty where there is none, or no lead.
func (n *Node) Successor() NodeID {
	best := NodeID("")
	if n.role != Leader {
		return best
	}
	for id, pr := range n.progress {
		if id == n.id || !n.members.Has(id) || !pr.Active {
			continue
		}
		if best == "" || pr.Match > n.progress[best].Match || pr.Match == n.progress[best].Match && id < best {
			best = id
		}
	}
	return best
}
