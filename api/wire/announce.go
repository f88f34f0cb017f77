package wire

// AnnouncedRole is the role of upstreams that announce themselves.
const AnnouncedRole = "upstream"

// AnnouncedUpstream returns the member record of an upstream that announced itself and does
// not report its start time. A leaving upstream gets the highest revision of its
// incarnation, so that a delayed heartbeat cannot undo the mark; only a later start can.
func AnnouncedUpstream(id MemberID, service, address, dataCenter string, leaving bool) Member {
	m := Member{ID: id, Role: AnnouncedRole, Service: service, Direct: address, DataCenter: dataCenter, Incarnation: 1, Leaving: leaving}
	if leaving {
		m.Revision = leavingRevision
	}
	return m
}

// DepartedUpstream returns the record of an upstream that left before it was known. It has no
// service and no address, so it gets no calls.
func DepartedUpstream(id MemberID) Member { return AnnouncedUpstream(id, "", "", "", true) }

// Departed reports whether the record is one of DepartedUpstream.
func (m Member) Departed() bool { return m.Role == AnnouncedRole && m.Leaving && m.Service == "" }

// leavingRevision is above the number of any heartbeat of one start.
const leavingRevision = 1 << 62

// WithHeartbeat returns the record as of the heartbeat with the given number. The record of a leaving
// upstream stays unchanged.
func (m Member) WithHeartbeat(number uint64, cold bool) Member {
	if !m.Leaving {
		m.Revision, m.Cold = min(number, leavingRevision-1), cold
	}
	return m
}

// WithStartTime returns the record with the upstream's start time, in milliseconds since the
// Unix epoch by the upstream's clock. An upstream may restart with the same id, and then
// has lost all earlier state. A start without a reported time counts as earlier than all
// others.
func (m Member) WithStartTime(ms uint64) Member {
	m.Incarnation = max(ms, m.Incarnation)
	return m
}

// AnnounceRequest forwards heartbeats of announced upstreams to the leader. The leader
// answers once the replicated member list contains them.
type AnnounceRequest struct {
	Upstreams []Member `json:"upstreams"`
}

// LeaveRequest tells the leader that an announced upstream is leaving. The leader answers
// once the replicated member list has the mark. An upstream that is not in the list gets
// one too, so that a delayed heartbeat does not add it.
type LeaveRequest struct {
	ID MemberID `json:"id"`
	// Incarnation is the start that is leaving; zero if the upstream does not report it.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// PutRequest replaces the operators' configuration if Version is above the one in force.
type PutRequest struct {
	Version uint64 `json:"version" cbor:"1,keyasint"`
	Text    string `json:"text" cbor:"2,keyasint"`
}

// ConfigRequest asks for the text in force. Version and Hash identify the text that the
// caller holds.
type ConfigRequest struct {
	Version uint64 `json:"version"`
	Hash    uint64 `json:"hash"`
}

// ConfigReply answers a ConfigRequest with the text in force when the request was made. Text
// is nil if the caller already holds it.
type ConfigReply struct {
	Version uint64      `json:"version"`
	Hash    uint64      `json:"hash"`
	Text    *ConfigText `json:"text,omitempty"`
}

// PutResult answers a PutRequest.
type PutResult struct {
	Applied bool   `json:"applied"` // false: the version in force was the same or higher
	Version uint64 `json:"version"` // in force after the request
}

// StageOwner identifies the process that owns the queues of stage upstreams. The owner with
// the higher epoch replaces the other.
type StageOwner struct {
	ID          MemberID `json:"id" cbor:"1,keyasint"`
	Incarnation uint64   `json:"incarnation" cbor:"2,keyasint"`
	Peer        string   `json:"peer" cbor:"3,keyasint"`
	Epoch       uint64   `json:"epoch" cbor:"4,keyasint"`
}
