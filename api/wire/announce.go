package wire

// AnnouncedRole is the role of upstreams that announce themselves.
const AnnouncedRole = "upstream"

// AnnouncedUpstream returns the record of an upstream that announced itself and does
// not say when it was started. That it leaves is its last revision; a late sign of life cannot
// undo that, a later start of the upstream can.
func AnnouncedUpstream(id MemberID, service, address, dataCenter string, leaving bool) Member {
	m := Member{ID: id, Role: AnnouncedRole, Service: service, Direct: address, DataCenter: dataCenter, Incarnation: 1, Leaving: leaving}
	if leaving {
		m.Revision = leavingRevision
	}
	return m
}

// leavingRevision is above all that signs of life of one start can count to.
const leavingRevision = 1 << 62

// Said returns the record as the sign of life with the given number says it.
func (m Member) Said(number uint64, cold bool) Member {
	if !m.Leaving {
		m.Revision, m.Cold = min(number, leavingRevision-1), cold
	}
	return m
}

// StartedAt returns the record with the time of the upstream's start, in milliseconds
// since the Unix epoch by its own clock: an upstream may start again under its id, and
// then holds and knows nothing of before. Where it does not say, its start counts as
// earlier than all others.
func (m Member) StartedAt(ms uint64) Member {
	m.Incarnation = max(ms, m.Incarnation)
	return m
}

// AnnounceRequest passes signs of life of announced upstreams to the leader.
// It is answered when the replicated members hold them.
type AnnounceRequest struct {
	Upstreams []Member `json:"upstreams"`
}

// LeaveRequest tells the leader that an announced upstream leaves. It is answered
// when the replicated members hold the mark, or do not hold the upstream.
type LeaveRequest struct {
	ID MemberID `json:"id"`
	// Incarnation is the start that leaves; zero where the upstream does not say.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// PutRequest replaces the operators' text if Version is above the one in force.
type PutRequest struct {
	Version uint64 `json:"version" cbor:"1,keyasint"`
	Text    string `json:"text" cbor:"2,keyasint"`
}

// ConfigRequest reads the text in force. Version and Hash name the text that the
// reader holds.
type ConfigRequest struct {
	Version uint64 `json:"version"`
	Hash    uint64 `json:"hash"`
}

// ConfigReply answers a ConfigRequest: which text was in force when it was asked. Text
// is nil where the reader holds it.
type ConfigReply struct {
	Version uint64      `json:"version"`
	Hash    uint64      `json:"hash"`
	Text    *ConfigText `json:"text,omitempty"`
}

// PutResult answers a PutRequest.
type PutResult struct {
	Applied bool   `json:"applied"` // false: a version at least as high was in force
	Version uint64 `json:"version"` // in force after the call
}

// StageOwner names the process that owns the queues of stage upstreams. A
// higher epoch replaces a lower one.
type StageOwner struct {
	ID          MemberID `json:"id" cbor:"1,keyasint"`
	Incarnation uint64   `json:"incarnation" cbor:"2,keyasint"`
	Peer        string   `json:"peer" cbor:"3,keyasint"`
	Epoch       uint64   `json:"epoch" cbor:"4,keyasint"`
}
