// Package consensus implements the Raft algorithm (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014) as a pure state machine: it does no I/O and reads no clock. Its inputs are
// messages, proposals and ticks; its output is Ready, which lists what must be synced, sent and applied.
//
// It supports pre-vote, check-quorum and read index (Ongaro's thesis, sections 9.6, 6.2 and 6.4), snapshots,
// learners and membership changes of one voter at a time (section 4.3).
package consensus

import "github.com/juju/errors"

// NodeID identifies a replica by its process and the random ID of its data folder. A process that lost its
// folder returns with another NodeID, so it cannot vote twice in a term.
type NodeID string

// EntryKind says how an entry is applied.
type EntryKind uint8

// Entry kinds.
const (
	EntryNormal     EntryKind = iota // Data is a state machine command; empty for a new leader's first entry
	EntryMembership                  // Data is an encoded Membership
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index uint64    `json:"i" cbor:"1,keyasint"`
	Term  uint64    `json:"t" cbor:"2,keyasint"`
	Kind  EntryKind `json:"k,omitempty" cbor:"3,keyasint,omitempty"`
	Data  []byte    `json:"d,omitempty" cbor:"4,keyasint,omitempty"`
}

// HardState must be synced before any message of the same Ready is sent. A change of Commit alone need not be
// synced; it is stored together with the next entries. It must not be stored later than they are: a
// membership takes effect when it is applied, and a replica that holds a second change must know after a
// restart that the first one is committed.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   NodeID `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// Peer is a replica and the address that its process listens on.
type Peer struct {
	ID      NodeID `json:"id" cbor:"1,keyasint"`
	Address string `json:"address" cbor:"2,keyasint"`
}

// Membership is the set of replicas. Only voters count towards a quorum.
type Membership struct {
	Voters   []Peer `json:"voters" cbor:"1,keyasint"`
	Learners []Peer `json:"learners,omitempty" cbor:"2,keyasint"`
}

// Snapshot is the complete state of the state machine after the entry at Index.
type Snapshot struct {
	Index      uint64     `json:"index" cbor:"1,keyasint"`
	Term       uint64     `json:"term" cbor:"2,keyasint"`
	Membership Membership `json:"membership" cbor:"3,keyasint"`
	Data       []byte     `json:"data" cbor:"4,keyasint"`
}

// MessageKind is the type of a Message.
type MessageKind uint8

// Message kinds.
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

// Message is sent from one replica to another.
type Message struct {
	Kind     MessageKind `json:"kind"`
	From     NodeID      `json:"from"`
	To       NodeID      `json:"to"`
	Term     uint64      `json:"term"`
	Index    uint64      `json:"index,omitempty"`    // Append: entry before Entries; replies: match or rejected index; votes: last entry
	LogTerm  uint64      `json:"log_term,omitempty"` // term of the entry at Index
	Commit   uint64      `json:"commit,omitempty"`
	Entries  []Entry     `json:"entries,omitempty"`
	Reject   bool        `json:"reject,omitempty"`
	Hint     uint64      `json:"hint,omitempty"`    // rejected Append: highest index that may match
	Forced   bool        `json:"forced,omitempty"`  // vote for a leadership transfer: ignores the leader lease
	ReadSeq  uint64      `json:"readseq,omitempty"` // heartbeat round that confirms reads
	Snapshot *Snapshot   `json:"snapshot,omitempty"`
}

// ReadState answers ReadIndex: the read may be served once Index is applied. If Failed is set, leadership was
// lost and the read must be requested again.
type ReadState struct {
	ID     uint64
	Index  uint64
	Failed bool
}

// Ready lists what the caller must do, in this order: send EarlyMessages, store Snapshot, append Entries and
// HardState and sync them, send Messages, restore Snapshot, apply Committed, answer Reads, then call Advance.
type Ready struct {
	// EarlyMessages holds a leader's appends. They do not depend on its own sync, so that all replicas sync in
	// parallel (thesis, section 10.2.1).
	EarlyMessages []Message
	HardState     *HardState
	Entries       []Entry // an entry replaces all stored entries at its index and above
	Snapshot      *Snapshot
	Messages      []Message
	Committed     []Entry
	Reads         []ReadState
}

// Role is the role of a replica in its term.
type Role uint8

// Roles.
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

// Errors of Propose, ReadIndex and ProposeMembership.
var (
	ErrNotLeader     = errors.New("consensus: not the leader")
	ErrOverloaded    = errors.New("consensus: too many bytes are waiting for a quorum")
	ErrChangePending = errors.New("consensus: a membership change is still pending")
)

// Progress is the leader's view of another replica's log.
type Progress struct {
	Match        uint64 // highest entry known to be synced on the replica
	Next         uint64
	RecentActive bool   // heard from since the last quorum check
	Snapshot     uint64 // index of the snapshot being sent, 0 for none
	probing      bool
	readSeq      uint64

	snapshotWait    int // ticks since the snapshot was sent
	snapshotRetries int // consecutive unacknowledged sends
}
