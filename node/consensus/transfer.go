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
