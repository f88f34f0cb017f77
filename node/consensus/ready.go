package consensus

import "github.com/fxamacker/cbor/v2"

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool {
	return n.hardStateDue() || n.appendDue || n.log.stable < n.log.last() || n.newSnapshot != nil ||
		len(n.messages) > 0 || n.log.applied < n.log.committed || len(n.readStates) > 0
}

// hardStateDue reports whether term or vote are not synced yet.
func (n *Node) hardStateDue() bool {
	return n.term != n.savedHard.Term || n.vote != n.savedHard.Vote
}

// Ready hands out the work that has come up. Until Advance it must not be
// called again, and nothing may be stepped, proposed or ticked.
func (n *Node) Ready() Ready {
	if n.handedOut {
		panic("consensus: Ready before Advance")
	}
	n.handedOut = true
	if n.role == Leader && n.appendDue {
		n.broadcastAppend()
	}
	n.appendDue = false
	rd := Ready{
		Snapshot: n.newSnapshot,
		Messages: n.messages,
		Reads:    n.readStates,
		Entries:  n.log.slice(max(n.log.stable, n.log.first), n.log.last(), maxInt),
	}
	if !n.hardStateDue() && n.role == Leader {
		rd.Early, rd.Messages = splitAppends(rd.Messages)
	}
	if hs := n.hardState(); n.hardStateDue() || hs != n.savedHard && len(rd.Entries) > 0 {
		rd.HardState = &hs
	}
	// Only synced entries are applied: an entry of this very batch waits for
	// the next Ready.
	n.handedCommit = min(n.log.committed, n.log.stable)
	rd.Committed = n.log.slice(n.log.applied, n.handedCommit, maxInt)
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

// Advance says that the work of rd is done.
func (n *Node) Advance(rd Ready) {
	n.handedOut = false
	n.messages, n.readStates, n.newSnapshot = nil, nil, nil
	if rd.HardState != nil {
		n.savedHard = *rd.HardState
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
	n.resignIfRemoved()
	if n.role == Leader && n.maybeCommit() {
		n.confirmReads()
		n.broadcastCommit()
	}
}

// broadcastCommit tells followers of a new commit index at once, so that they
// apply without waiting for the next heartbeat.
func (n *Node) broadcastCommit() {
	n.broadcastAppend()
}

// resignIfRemoved ends the lead of a replica outside the membership, once what
// it had to commit is committed.
func (n *Node) resignIfRemoved() {
	t, _ := n.log.term(n.log.applied)
	if n.role == Leader && !n.members.Has(n.id) && t == n.term {
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) applyMembership(data []byte) {
	var m Membership
	if err := cbor.Unmarshal(data, &m); err != nil {
		panic("consensus: a committed membership does not decode: " + err.Error())
	}
	n.members = m
	if n.role != Leader {
		return
	}
	n.syncProgress()
	for _, id := range n.others() {
		if pr := n.progress[id]; pr.probing {
			n.sendAppend(id, pr)
		}
	}
	if n.maybeCommit() {
		n.broadcastCommit()
	}
}

// Capture returns a snapshot of what is applied, without its data. It is nil
// when the last snapshot covers that already. The caller adds the data, stores
// it and hands it to Compact, while the node goes on.
func (n *Node) Capture() *Snapshot {
	index := n.log.applied
	t, ok := n.log.term(index)
	if !ok || index <= n.snapshotIndex() {
		return nil
	}
	return &Snapshot{Index: index, Term: t, Membership: n.members}
}

// Compact takes a captured snapshot, which must be durable, as this node's own.
// It reports false when one that was received meanwhile covers more.
func (n *Node) Compact(s *Snapshot) bool {
	t, ok := n.log.term(s.Index)
	if !ok || t != s.Term || s.Index <= n.snapshotIndex() {
		return false
	}
	n.snap = s
	return true
}

func (n *Node) snapshotIndex() uint64 {
	if n.snap == nil {
		return 0
	}
	return n.snap.Index
}

// TrimLog drops entries up to index from memory; a snapshot must cover them.
func (n *Node) TrimLog(index uint64) {
	if n.snap != nil && index <= n.snap.Index && index <= n.log.stable {
		n.log.compact(index)
	}
}

// Status is a copy of what the node knows.
type Status struct {
	ID                 NodeID
	Role               Role
	Term               uint64
	Leader             NodeID
	First, Last        uint64
	Committed, Applied uint64
	Membership         Membership
	MembershipPending  bool
	Progress           map[NodeID]Progress // leader only
	SnapshotIndex      uint64
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	s := Status{ID: n.id, Role: n.role, Term: n.term, Leader: n.leader, First: n.log.first, Last: n.log.last(),
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

// Membership returns the membership in force here.
func (n *Node) Membership() Membership { return n.members }

// HardState returns the hard state as it would be saved now.
func (n *Node) HardState() HardState { return n.hardState() }

// EntriesAfter returns the entries in memory after index.
func (n *Node) EntriesAfter(index uint64) []Entry {
	return n.log.slice(index, n.log.last(), maxInt)
}
