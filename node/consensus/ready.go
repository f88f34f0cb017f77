package consensus

import "github.com/fxamacker/cbor/v2"

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool {
	return n.hardStateChanged() || n.appendDue || n.log.stable < n.log.last() || n.receivedSnapshot != nil ||
		len(n.messages) > 0 || n.log.applied < n.log.committed || len(n.readStates) > 0
}

// hardStateChanged reports whether the term or the vote is not synced yet.
func (n *Node) hardStateChanged() bool {
	return n.term != n.savedHardState.Term || n.vote != n.savedHardState.Vote
}

// Ready returns the pending work. Until Advance is called, Ready must not be called again, and nothing may be
// stepped, proposed or ticked.
func (n *Node) Ready() Ready {
	if n.readyPending {
		panic("consensus: Ready called before Advance")
	}
	n.readyPending = true
	if n.role == Leader && n.appendDue {
		n.broadcastAppend()
	}
	n.appendDue = false
	rd := Ready{
		Snapshot: n.receivedSnapshot,
		Messages: n.messages,
		Reads:    n.readStates,
		Entries:  n.log.slice(max(n.log.stable, n.log.compactedIndex), n.log.last(), maxInt),
	}
	if !n.hardStateChanged() && n.role == Leader {
		rd.EarlyMessages, rd.Messages = splitAppends(rd.Messages)
	}
	if hs := n.hardState(); n.hardStateChanged() || hs != n.savedHardState && len(rd.Entries) > 0 {
		rd.HardState = &hs
	}
	// Only synced entries are applied: the entries of this Ready wait for the next one.
	n.readyCommit = min(n.log.committed, n.log.stable)
	rd.Committed = n.log.slice(n.log.applied, n.readyCommit, maxInt)
	return rd
}

func splitAppends(messages []Message) (appends, others []Message) {
	for _, m := range messages {
		if m.Kind == MsgAppend {
			appends = append(appends, m)
		} else {
			others = append(others, m)
		}
	}
	return appends, others
}

const maxInt = int(^uint(0) >> 1)

// Advance reports that the work of rd is done.
func (n *Node) Advance(rd Ready) {
	n.readyPending = false
	n.messages, n.readStates, n.receivedSnapshot = nil, nil, nil
	if rd.HardState != nil {
		n.savedHardState = *rd.HardState
	}
	if k := len(rd.Entries); k > 0 {
		n.log.stable = rd.Entries[k-1].Index
	}
	for _, e := range rd.Committed {
		n.log.applied = e.Index
		if e.Kind == EntryMembership {
			n.applyMembership(e.Data)
		}
	}
	n.stepDownIfRemoved()
	if n.role == Leader && n.maybeCommit() {
		n.confirmReads()
		n.broadcastCommit()
	}
}

// broadcastCommit sends a new commit index to the followers at once, so that they need not wait for the next
// heartbeat to apply entries.
func (n *Node) broadcastCommit() {
	n.broadcastAppend()
}

// stepDownIfRemoved ends the leadership of a replica outside the membership, once an entry of its term is
// applied.
func (n *Node) stepDownIfRemoved() {
	t, _ := n.log.term(n.log.applied)
	if n.role == Leader && !n.members.IsVoter(n.id) && t == n.term {
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) applyMembership(data []byte) {
	var m Membership
	if err := cbor.Unmarshal(data, &m); err != nil {
		panic("consensus: cannot decode a committed membership: " + err.Error())
	}
	n.members = m
	if n.role != Leader {
		return
	}
	n.syncProgress()
	for _, id := range n.otherMembers() {
		if pr := n.progress[id]; pr.probing {
			n.sendAppend(id, pr)
		}
	}
	if n.maybeCommit() {
		n.broadcastCommit()
	}
}

// Capture returns a snapshot of the applied state without its data, or nil if the last snapshot already
// covers it. The caller adds the data, stores the snapshot and passes it to Compact, while the node
// continues.
func (n *Node) Capture() *Snapshot {
	index := n.log.applied
	t, ok := n.log.term(index)
	if !ok || index <= n.snapshotIndex() {
		return nil
	}
	return &Snapshot{Index: index, Term: t, Membership: n.members}
}

// Compact adopts a captured snapshot, which must be durable, as the node's own. It returns false if a
// snapshot received meanwhile covers more.
func (n *Node) Compact(s *Snapshot) bool {
	t, ok := n.log.term(s.Index)
	if !ok || t != s.Term || s.Index <= n.snapshotIndex() {
		return false
	}
	n.snapshot = s
	return true
}

func (n *Node) snapshotIndex() uint64 {
	if n.snapshot == nil {
		return 0
	}
	return n.snapshot.Index
}

// TrimLog drops the entries up to index from memory; a snapshot must cover them.
func (n *Node) TrimLog(index uint64) {
	if n.snapshot != nil && index <= n.snapshot.Index && index <= n.log.stable {
		n.log.compact(index)
	}
}

// Status is a copy of the node's state.
type Status struct {
	ID                        NodeID
	Role                      Role
	Term                      uint64
	Leader                    NodeID
	CompactedIndex, LastIndex uint64
	Committed, Applied        uint64
	Membership                Membership
	MembershipPending         bool
	Progress                  map[NodeID]Progress // only on the leader
	SnapshotIndex             uint64
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	s := Status{ID: n.id, Role: n.role, Term: n.term, Leader: n.leader, CompactedIndex: n.log.compactedIndex, LastIndex: n.log.last(),
		Committed: n.log.committed, Applied: n.log.applied, Membership: n.members, SnapshotIndex: n.snapshotIndex(),
		MembershipPending: n.role == Leader && n.pendingMembership > n.log.applied}
	if n.role == Leader {
		s.Progress = make(map[NodeID]Progress, len(n.progress))
		for id, pr := range n.progress {
			s.Progress[id] = *pr
		}
	}
	return s
}

// Membership returns the applied membership.
func (n *Node) Membership() Membership { return n.members }

// HardState returns the current hard state, which may not be synced yet.
func (n *Node) HardState() HardState { return n.hardState() }

// EntriesAfter returns the entries after index that are in memory.
func (n *Node) EntriesAfter(index uint64) []Entry {
	return n.log.slice(index, n.log.last(), maxInt)
}
