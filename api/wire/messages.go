package wire

import (
	"time"

	"caperdrum.org/api/verdict"
)

// MemberID names one process; it is the name in its settings.
type MemberID string

// RequestID names one caller's request over all processes.
type RequestID string

// AttemptID names one try of one stage at one gate. It is never used again.
type AttemptID string

// Member is a process as the others know it.
type Member struct {
	ID          MemberID `json:"id"`
	Role        string   `json:"role"`
	VM          string   `json:"vm"`
	DataCenter  string   `json:"data_center"`
	Debug       string   `json:"debug"`             // address of the timeline and the metrics
	Service     string   `json:"service,omitempty"` // agents only
	Gate        string   `json:"gate,omitempty"`    // agents only: address of the gate
	Incarnation uint64   `json:"incarnation"`       // differs for every start of the process
	Leaving     bool     `json:"leaving,omitempty"`
	Holds       string   `json:"holds,omitempty"`    // agents only: artifacts of the upstream, see JoinArtifacts
	Peer        string   `json:"peer,omitempty"`     // proxies only: peer address
	Direct      string   `json:"direct,omitempty"`   // announced upstreams only: address of the upstream itself
	Revision    uint64   `json:"revision,omitempty"` // grows with each change of the record within an incarnation
	Version     string   `json:"version,omitempty"`  // announced upstreams only: of its software; empty where it does not say
	Cold        bool     `json:"cold,omitempty"`     // announced upstreams only: it has just started or come back, and bears few calls a second
}

// Start names one start of a member's process. What is known of a process ends with
// its start.
type Start struct {
	ID          MemberID
	Incarnation uint64
}

// Start returns which start of the process the record is of.
func (m Member) Start() Start { return Start{m.ID, m.Incarnation} }

// SyncRequest renews the caller's lease and asks for what changed. The answer
// is held back until something changed or Wait has passed.
type SyncRequest struct {
	Member        Member        `json:"member"`
	ConfigVersion uint64        `json:"config_version"`
	ConfigHash    uint64        `json:"config_hash"` // of the text held; 0 asks for the whole text
	MembersSeq    uint64        `json:"members_seq"`
	Fault         string        `json:"fault,omitempty"` // why the caller could not take over the latest text
	Wait          time.Duration `json:"wait"`
	Fence         uint64        `json:"fence,omitempty"` // highest token heard of for the caller
	Term          uint64        `json:"term,omitempty"`  // highest term heard of
	OwnerEpoch    uint64        `json:"owner_epoch,omitempty"`
	Evacuations   uint64        `json:"evacuations,omitempty"` // revision held
	Suspects      uint64        `json:"suspects,omitempty"`    // revision held
	Rollouts      uint64        `json:"rollouts,omitempty"`    // revision held
}

// SyncReply carries what the caller lacks. Config is nil when the caller is
// current, Members when its sequence number is.
type SyncReply struct {
	Config              *ConfigText   `json:"config,omitempty"`
	Delta               *ConfigDelta  `json:"delta,omitempty"` // instead of Config, when the caller's text is known
	Members             *MembersDelta `json:"members,omitempty"`
	Version             uint64        `json:"version"`                        // highest accepted version known to the answering control process
	MembersSeq          uint64        `json:"members_seq"`                    // highest member sequence number known there
	StampAge            time.Duration `json:"stamp_age"`                      // time since a quorum confirmed Version and MembersSeq
	Recorded            bool          `json:"recorded"`                       // the members hold the caller's record as sent, or a later one
	Renewed             bool          `json:"renewed"`                        // false when the lease could not be renewed here
	Leader              MemberID      `json:"leader"`                         // control member that leads, if known
	LeaderPeer          string        `json:"leader_peer"`                    // its peer address
	Control             []string      `json:"control,omitempty"`              // peer addresses of the voters
	Owner               StageOwner    `json:"owner"`                          // as far as known there
	Evacuations         *Evacuations  `json:"evacuations,omitempty"`          // when newer than the caller's
	EvacuationsRevision uint64        `json:"evacuations_revision,omitempty"` // highest known there
	Suspects            *Suspects     `json:"suspects,omitempty"`             // when newer than the caller's
	SuspectsRevision    uint64        `json:"suspects_revision,omitempty"`    // highest known there
	Rollouts            *Rollouts     `json:"rollouts,omitempty"`             // when newer than the caller's
	RolloutsRevision    uint64        `json:"rollouts_revision,omitempty"`    // highest known there

	// Hints, which need not be current: they only say when to ask the leader.
	Fence uint64 `json:"fence,omitempty"` // highest token known there for the caller
	Term  uint64 `json:"term,omitempty"`  // of the answering control process
}

// ConfigText is one accepted version of the operators' text.
type ConfigText struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
	Hash    uint64 `json:"hash"`
}

// ChangeRequest is an operators' change of the text.
type ChangeRequest struct {
	Number   uint64 `json:"number"` // must be the current version plus one
	Text     string `json:"text"`
	ChangeID string `json:"change_id"` // a resend with the same id gets the first answer
	// Author and Sections are set by the administration API.
	Author   string   `json:"author,omitempty"`
	Sections []string `json:"sections,omitempty"`
}

// ChangeResult is the answer to a change, the same for every resend.
type ChangeResult struct {
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version"` // version the change made, or the current one when refused
	Reason   string `json:"reason,omitempty"`
	Winner   string `json:"winner,omitempty"` // change id that holds the number when this one lost
	Diff     string `json:"diff,omitempty"`   // from the winner's text to this one
	Resent   bool   `json:"resent,omitempty"` // this answer was given before
}

// ClaimKey names an idempotency key of one customer.
type ClaimKey struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// ClaimRequest asks for the right to run a keyed call once.
type ClaimRequest struct {
	ClaimKey
	BodyHash    string    `json:"body_hash"` // of method, service, path and body
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
	ClaimHeld     ClaimState = "held"     // another attempt holds it; settle that one first
	ClaimSettled  ClaimState = "settled"  // the outcome is recorded
	ClaimMismatch ClaimState = "mismatch" // the key was used with another body
	ClaimFull     ClaimState = "full"     // the ledger is at its limit and takes no new key
)

// ClaimReply answers a claim. Holder is set for held and settled keys.
type ClaimReply struct {
	State   ClaimState    `json:"state"`
	Holder  *ClaimRequest `json:"holder,omitempty"`
	Outcome *Outcome      `json:"outcome,omitempty"`
}

// Outcome is what became of a keyed call.
type Outcome struct {
	Verdict     verdict.Verdict `json:"verdict"`
	Status      int             `json:"status"`
	ContentType string          `json:"content_type"`
	Body        []byte          `json:"body"`
}

// SettleRequest records the outcome of the attempt that holds a key. An
// outcome with verdict NotRun releases the key.
type SettleRequest struct {
	ClaimKey
	Attempt AttemptID `json:"attempt"`
	Outcome Outcome   `json:"outcome"`
}

// SettleReply returns the outcome that stands, which is the first recorded.
type SettleReply struct {
	Outcome Outcome `json:"outcome"`
}

// AttemptState is what a gate knows of an attempt.
type AttemptState string

// States of an attempt at its gate.
const (
	AttemptUnseen     AttemptState = "unseen"
	AttemptQueued     AttemptState = "queued"
	AttemptRunning    AttemptState = "running"
	AttemptDone       AttemptState = "done"
	AttemptTombstoned AttemptState = "tombstoned"
	// AttemptForgotten says that the gate does not know the attempt and that
	// the attempt is older than what the gate remembers: it may have run, and
	// it will not be admitted.
	AttemptForgotten AttemptState = "forgotten"
)

// AttemptStatus answers a status or cancel call at a gate.
type AttemptStatus struct {
	Attempt     AttemptID    `json:"attempt"`
	State       AttemptState `json:"state"`
	Incarnation uint64       `json:"incarnation"`
	Length      int64        `json:"length"`        // answer bytes received from the upstream so far
	End         string       `json:"end,omitempty"` // end mark, once done
}

// MemberStatus is one row of the members report.
type MemberStatus struct {
	Member
	ConfigVersion uint64        `json:"config_version"`
	LastSeen      time.Duration `json:"last_seen"`       // age of the last renewal; -1 when not known here
	Fault         string        `json:"fault,omitempty"` // why it could not take over the latest text
}

// ControlStatus is the report of one control process.
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
	Debug         string        `json:"debug"`            // address of the time line and the metrics
	Repair        string        `json:"repair,omitempty"` // what repair of the voter set waits for
}
