// Package consensus is the Raft algorithm (Ongaro and Ousterhout, "In Search
// of an Understandable Consensus Algorithm", 2014) as a pure state machine: it
// does no I/O and reads no clock. Messages, proposals and ticks go in; Ready
// comes out, naming what must be synced, sent and applied.
//
// It has pre-vote, check-quorum, read index (Ongaro's thesis, sections 9.6,
// 6.2 and 6.4), snapshots, learners and membership changes of one voter at a
// time (section 4.3).
package consensus

import "github.com/juju/errors"

// NodeID names a replica: its process and the random id of its data folder. A
// process whose folder was lost comes back under another NodeID, so it cannot
// vote twice in a term.
type NodeID string

// EntryKind says how an entry is applied.
type EntryKind uint8

// Kinds of entries.
const (
	EntryNormal     EntryKind = iota // Data is a command of the state machine; empty for a new leader's first entry
	EntryMembership                  // Data is an encoded Membership
)

// Entry is one slot of the replicated log.
type Entry struct {
	Index uint64    `json:"i" cbor:"1,keyasint"`
	Term  uint64    `json:"t" cbor:"2,keyasint"`
	Kind  EntryKind `json:"k,omitempty" cbor:"3,keyasint,omitempty"`
	Data  []byte    `json:"d,omitempty" cbor:"4,keyasint,omitempty"`
}

// HardState must be synced before any message of the same Ready is sent. A
// commit index alone need not be: it comes with the next entries. It must not
// come later than they do, because a membership is in force when it is applied
// and a replica that holds a second change must know after a restart that the
// first one is committed.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   NodeID `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// Peer is a replica and the address where its process listens.
type Peer struct {
	ID      NodeID `json:"id" cbor:"1,keyasint"`
	Address string `json:"address" cbor:"2,keyasint"`
}

// Membership is the set of replicas. Only voters count towards a quorum.
type Membership struct {
	Voters   []Peer `json:"voters" cbor:"1,keyasint"`
	Learners []Peer `json:"learners,omitempty" cbor:"2,keyasint"`
}

// Snapshot is the state machine's whole state after the entry at Index.
type Snapshot struct {
	Index      uint64     `json:"index" cbor:"1,keyasint"`
	Term       uint64     `json:"term" cbor:"2,keyasint"`
	Membership Membership `json:"membership" cbor:"3,keyasint"`
	Data       []byte     `json:"data" cbor:"4,keyasint"`
}

// MessageKind is the type of a Message.
type MessageKind uint8

// Kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgTimeoutNow // leadership transfer, thesis section 3.10
)

// Message travels between two replicas.
type Message struct {
	Kind     MessageKind `json:"kind"`
	From     NodeID      `json:"from"`
	To       NodeID      `json:"to"`
	Term     uint64      `json:"term"`
	Index    uint64      `json:"index,omitempty"`    // Append: entry before Entries; replies: match or hint; votes: last entry
	LogTerm  uint64      `json:"log_term,omitempty"` // term of the entry at Index
	Commit   uint64      `json:"commit,omitempty"`
	Entries  []Entry     `json:"entries,omitempty"`
	Reject   bool        `json:"reject,omitempty"`
	Hint     uint64      `json:"hint,omitempty"`    // rejected Append: the follower's last index
	Forced   bool        `json:"forced,omitempty"`  // vote of a leadership transfer: ignores the leader lease
	ReadSeq  uint64      `json:"readseq,omitempty"` // heartbeat round that confirms reads
	Snapshot *Snapshot   `json:"snapshot,omitempty"`
}

// ReadState answers ReadIndex: the read may be served once Index is applied.
// A failed read lost its leader and must be asked again.
type ReadState struct {
	ID     uint64
	Index  uint64
	Failed bool
}

// Ready is what the caller must do, in this order: send Early, store Snapshot,
// append Entries and HardState and sync them, send Messages, restore Snapshot,
// apply Committed, answer Reads, then call Advance.
type Ready struct {
	// Early are a leader's appends. They do not depend on its own sync, so that
	// all replicas sync at the same time (thesis, section 10.2.1).
	Early     []Message
	HardState *HardState
	Entries   []Entry // an entry replaces every stored entry at its index and after
	Snapshot  *Snapshot
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}

// Role is what a replica does in its term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the lower-case name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors of Propose and ReadIndex.
var (
	ErrNotLeader     = errors.New("consensus: not the leader")
	ErrOverloaded    = errors.New("consensus: too many bytes wait for a quorum")
	ErrChangePending = errors.New("consensus: a membership change is not applied yet")
)

// Progress is what a leader knows of another replica's log.
type Progress struct {
	Match    uint64 // highest entry known to be synced there
	Next     uint64
	Active   bool   // heard from since the last check of the quorum
	Snapshot uint64 // index of the snapshot under way, 0 for none
	probing  bool
	readSeq  uint64

	snapshotWait    int // ticks since the snapshot was sent
	snapshotRetries int // unanswered ones in a row
}
