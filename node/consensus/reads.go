package consensus

type pendingRead struct {
	id, seq, index uint64
}

// ReadIndex requests a linearizable read index. The answer is returned in Ready.Reads under id.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.readSeq++
	n.reads = append(n.reads, pendingRead{id: id, seq: n.readSeq, index: n.log.committed})
	n.broadcastHeartbeat()
	n.confirmReads()
	return nil
}

// confirmReads releases the reads whose heartbeat round a quorum has acknowledged, once an entry of this term
// is committed (thesis, section 6.4).
func (n *Node) confirmReads() {
	if t, _ := n.log.term(n.log.committed); t != n.term {
		return
	}
	acked := n.quorumValue(func(pr *Progress) uint64 { return pr.readSeq }, n.readSeq)
	for len(n.reads) > 0 && n.reads[0].seq <= acked {
		r := n.reads[0]
		n.reads = n.reads[1:]
		n.readStates = append(n.readStates, ReadState{ID: r.id, Index: max(r.index, n.log.committed)})
	}
}

func (n *Node) failReads() {
	for _, r := range n.reads {
		n.readStates = append(n.readStates, ReadState{ID: r.id, Failed: true})
	}
	n.reads = nil
}
