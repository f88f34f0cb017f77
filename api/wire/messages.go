package wire

import (
	"time"

	"caperdrum.org/api/verdict"
)

// MemberID identifies a process: the name in its settings.
type MemberID string

// RequestID identifies a caller's request across all processes.
type RequestID string

// AttemptID identifies one attempt of one stage at one gate. It is never reused.
type AttemptID string

// Member is the membership record of a process or an announced upstream.
type Member struct {
	ID          MemberID `json:"id"`
	Role        string   `json:"role"`
	VM          string   `json:"vm"`
	DataCenter  string   `json:"data_center"`
	Debug       string   `json:"debug"`             // address of the debug listener: timeline and metrics
	Service     string   `json:"service,omitempty"` // agents only
	Gate        string   `json:"gate,omitempty"`    // agents only: address of the gate
	Incarnation uint64   `json:"incarnation"`       // differs for every start of the process
	Leaving     bool     `json:"leaving,omitempty"`
	Holds       string   `json:"holds,omitempty"`    // agents only: artifacts that the upstream holds, see JoinArtifacts
	Peer        string   `json:"peer,omitempty"`     // proxies only: peer address
	Direct      string   `json:"direct,omitempty"`   // announced upstreams only: address of the upstream
	Revision    uint64   `json:"revision,omitempty"` // grows with each change of the record within an incarnation
	Version     string   `json:"version,omitempty"`  // announced upstreams only: software version; empty if not reported
	Cold        bool     `json:"cold,omitempty"`     // announced upstreams only: has just started or returned, and can take few calls per second
	// Millicores is the share of a core that the process may use, 1000 for a whole one; 0 if unknown. Compressed
	// member lists leave it out.
	Millicores int `json:"millicores,omitempty"`
}

// Start identifies one start of a process. State kept about a process is valid for one
// start only.
type Start struct {
	ID          MemberID
	Incarnation uint64
}

// Start returns the start of the process that the record describes.
func (m Member) Start() Start { return Start{m.ID, m.Incarnation} }

// SyncRequest renews the caller's lease and asks for changes. The answer is delayed until
// there is a change or Wait has passed (long polling).
type SyncRequest struct {
	Member        Member        `json:"member"`
	ConfigVersion uint64        `json:"config_version"`
	ConfigHash    uint64        `json:"config_hash"` // of the text held; 0 asks for the whole text
	MembersSeq    uint64        `json:"members_seq"`
	Fault         string        `json:"fault,omitempty"` // why the caller could not apply the latest text
	Wait          time.Duration `json:"wait"`
	Fence         uint64        `json:"fence,omitempty"` // highest fencing token known for the caller
	Term          uint64        `json:"term,omitempty"`  // highest Raft term known
	OwnerEpoch    uint64        `json:"owner_epoch,omitempty"`
	Evacuations   uint64        `json:"evacuations,omitempty"` // revision held
	Suspects      uint64        `json:"suspects,omitempty"`    // revision held
	Rollouts      uint64        `json:"rollouts,omitempty"`    // revision held
}

// SyncReply carries the changes that the caller lacks. Config and Delta are nil if the
// caller's text is current, Members if its sequence number is.
type SyncReply struct {
	Config              *ConfigText   `json:"config,omitempty"`
	Delta               *ConfigDelta  `json:"delta,omitempty"` // instead of Config, if the caller's text is known
	Members             *MembersDelta `json:"members,omitempty"`
	Version             uint64        `json:"version"`                        // highest accepted version known to the answering control process
	MembersSeq          uint64        `json:"members_seq"`                    // highest member sequence number known to it
	StampAge            time.Duration `json:"stamp_age"`                      // time since a quorum confirmed Version and MembersSeq
	Recorded            bool          `json:"recorded"`                       // the member list has the caller's record as sent, or a later one
	Renewed             bool          `json:"renewed"`                        // false if the answering process could not renew the lease
	Leader              MemberID      `json:"leader"`                         // leading control process, if known
	LeaderPeer          string        `json:"leader_peer"`                    // peer address of the leader
	Control             []string      `json:"control,omitempty"`              // peer addresses of the voters
	Owner               StageOwner    `json:"owner"`                          // as known to the answering process
	Evacuations         *Evacuations  `json:"evacuations,omitempty"`          // if newer than the caller's
	EvacuationsRevision uint64        `json:"evacuations_revision,omitempty"` // highest known to the answering process
	Suspects            *Suspects     `json:"suspects,omitempty"`             // if newer than the caller's
	SuspectsRevision    uint64        `json:"suspects_revision,omitempty"`    // highest known to the answering process
	Rollouts            *Rollouts     `json:"rollouts,omitempty"`             // if newer than the caller's
	RolloutsRevision    uint64        `json:"rollouts_revision,omitempty"`    // highest known to the answering process

	// Hints that may be outdated. The caller only uses them to decide when to ask the leader.
	Fence uint64 `json:"fence,omitempty"` // highest fencing token known for the caller
	Term  uint64 `json:"term,omitempty"`  // Raft term of the answering control process
}

// ConfigText is one accepted version of the operators' configuration.
type ConfigText struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
	Hash    uint64 `json:"hash"`
}

// ChangeRequest is an operator's change of the text.
type ChangeRequest struct {
	Number   uint64 `json:"number"` // must be the current version plus one
	Text     string `json:"text"`
	ChangeID string `json:"change_id"` // a resend with the same id gets the first answer
	// Author and Sections are set by the administration API.
	Author   string   `json:"author,omitempty"`
	Sections []string `json:"sections,omitempty"`
}

// ChangeResult answers a ChangeRequest, and is the same for every resend.
type ChangeResult struct {
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version"` // version that the change created, or the current one if it was rejected
	Reason   string `json:"reason,omitempty"`
	Winner   string `json:"winner,omitempty"` // id of the change that got the number, if this one lost
	Diff     string `json:"diff,omitempty"`   // from the winner's text to this one
	Resent   bool   `json:"resent,omitempty"` // this answer was given before
}

// ClaimKey is an idempotency key of one customer.
type ClaimKey struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// ClaimRequest asks for the right to run a call with an idempotency key once.
type ClaimRequest struct {
	ClaimKey
	BodyHash    string    `json:"body_hash"` // hash of method, service, path and body
	Attempt     AttemptID `json:"attempt"`
	Endpoint    MemberID  `json:"endpoint"`
	Gate        string    `json:"gate"`
	Incarnation uint64    `json:"incarnation"`
	RequestID   RequestID `json:"request_id"`
}

// ClaimState is the outcome of a claim.
type ClaimState string

// Outcomes of a claim.
const (
	ClaimGranted  ClaimState = "granted"  // the caller's attempt holds the key
	ClaimHeld     ClaimState = "held"     // another attempt holds the key; settle that one first
	ClaimSettled  ClaimState = "settled"  // the outcome of the call is recorded
	ClaimMismatch ClaimState = "mismatch" // the key was used with another body
	ClaimFull     ClaimState = "full"     // the ledger is at its size limit and accepts no new key
)

// ClaimReply answers a ClaimRequest. Holder is set for held and settled keys.
type ClaimReply struct {
	State   ClaimState    `json:"state"`
	Holder  *ClaimRequest `json:"holder,omitempty"`
	Outcome *Outcome      `json:"outcome,omitempty"`
}

// Outcome is the result of a call with an idempotency key.
type Outcome struct {
	Verdict     verdict.Verdict `json:"verdict"`
	Status      int             `json:"status"`
	ContentType string          `json:"content_type"`
	Body        []byte          `json:"body"`
}

// SettleRequest records the outcome of the attempt that holds a key. An outcome with
// verdict NotRun releases the key.
type SettleRequest struct {
	ClaimKey
	Attempt AttemptID `json:"attempt"`
	Outcome Outcome   `json:"outcome"`
}

// SettleReply returns the recorded outcome, which is the first one reported.
type SettleReply struct {
	Outcome Outcome `json:"outcome"`
}

// AttemptState is the state of an attempt at a gate.
type AttemptState string

// States of an attempt at its gate.
const (
	AttemptUnseen     AttemptState = "unseen"
	AttemptQueued     AttemptState = "queued"
	AttemptRunning    AttemptState = "running"
	AttemptDone       AttemptState = "done"
	AttemptTombstoned AttemptState = "tombstoned"
	// AttemptForgotten means that the gate has no record of the attempt and that the
	// attempt is older than the gate's records: it may have run, and will not be
	// admitted any more.
	AttemptForgotten AttemptState = "forgotten"
)

// AttemptStatus answers a status or cancel request at a gate.
type AttemptStatus struct {
	Attempt     AttemptID    `json:"attempt"`
	State       AttemptState `json:"state"`
	Incarnation uint64       `json:"incarnation"`
	Length      int64        `json:"length"`        // answer bytes received from the upstream so far
	End         string       `json:"end,omitempty"` // value of TrailerEnd, once the attempt is done
}

// MemberStatus is one row of the members report.
type MemberStatus struct {
	Member
	ConfigVersion uint64        `json:"config_version"`
	LastSeen      time.Duration `json:"last_seen"`       // age of the last renewal, in nanoseconds; -1 if not known here
	Fault         string        `json:"fault,omitempty"` // why the member could not apply the latest text
}

// ControlStatus is the status report of one control process.
type ControlStatus struct {
	ID            MemberID      `json:"id"`
	State         string        `json:"state"` // leader, follower, candidate or learner
	Leader        MemberID      `json:"leader"`
	Term          uint64        `json:"term"`
	Commit        uint64        `json:"commit"`
	Applied       uint64        `json:"applied"`
	Voters        []MemberID    `json:"voters"`
	Learners      []MemberID    `json:"learners,omitempty"`
	ConfigVersion uint64        `json:"config_version"`
	StampAge      time.Duration `json:"stamp_age"`
	LedgerEntries int           `json:"ledger_entries"`
	Debug         string        `json:"debug"`            // address of the timeline and the metrics
	Repair        string        `json:"repair,omitempty"` // what the repair of the voter set is waiting for
}
