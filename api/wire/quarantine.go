package wire

// Fingerprint is a hash of the content of a call, independent of request and attempt ids:
// calls with the same fingerprint are copies of each other. It does not reveal the body.
type Fingerprint string

// SuspectKind says what a suspect is.
type SuspectKind string

// Kinds of suspects.
const (
	SuspectCall SuspectKind = ""     // a call and its copies
	SuspectPart SuspectKind = "part" // a part of prompts that calls share
)

// Name returns the kind as operators read it.
func (k SuspectKind) Name() string {
	if k == SuspectCall {
		return "call"
	}
	return string(k)
}

// CallSummary is the summary of a call, or of a part of prompts, that processes exchange and operators see.
type CallSummary struct {
	Kind    SuspectKind `json:"kind,omitempty"`
	Service string      `json:"service,omitempty"` // of a part: to whose upstreams prompts with it are sent
	Part    string      `json:"part,omitempty"`    // ID of a part
	Accuser Fingerprint `json:"accuser,omitempty"` // of a part: the call with it that was in flight

	Fingerprint Fingerprint `json:"fingerprint"`
	// Shape is a cheap hash of everything but the bytes of the body. Calls with different
	// shapes have different fingerprints.
	Shape    uint64 `json:"shape"`
	Customer string `json:"customer,omitempty"`
	Route    string `json:"route"`
	Bytes    int    `json:"bytes"` // length of the body
}

// Crash is the end of an upstream's process, with the calls in flight on it as far as the
// reporting process knows them.
type Crash struct {
	Upstream Start         `json:"upstream"`
	Calls    []CallSummary `json:"calls"`
}

// CrashReport reports which calls crashed upstreams and which did not. It may be delivered
// more than once.
type CrashReport struct {
	Crashes []Crash `json:"crashes,omitempty"`
	// Answered are calls that were in flight in a crash and that an upstream has since answered with success.
	Answered []CallSummary `json:"answered,omitempty"`
}

// Suspect is a call, or a part of prompts, that was in flight in the crashes of several upstreams.
type Suspect struct {
	Kind        SuspectKind `json:"kind,omitempty"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Shape       uint64      `json:"shape"`
	Barred      bool        `json:"barred,omitempty"` // not sent to upstreams any more
	Joint       bool        `json:"joint,omitempty"`  // of a part: calls with two such parts are not sent to upstreams any more
	Since       int64       `json:"since,omitempty"`  // of a barred part: start of the bar, in milliseconds since the Unix epoch
}

// Suspects are the replicated list that all processes know.
type Suspects struct {
	Revision uint64    `json:"revision"` // grows with each change
	List     []Suspect `json:"list"`     // sorted by fingerprint
}

// Barred returns the number of barred calls.
func (s Suspects) Barred() int {
	n := 0
	for _, suspect := range s.List {
		if suspect.Barred {
			n++
		}
	}
	return n
}

// QuarantineState is the state of a call that was in flight in a crash.
type QuarantineState string

// States of calls in quarantine.
const (
	QuarantineSuspected QuarantineState = "suspected" // in flight in crashes, still sent to upstreams
	QuarantineJoint     QuarantineState = "joint"     // a part: calls with two such parts are not sent to upstreams any more
	QuarantineBarred    QuarantineState = "barred"    // not sent to upstreams any more
	QuarantineCleared   QuarantineState = "cleared"   // answered by an upstream, so it does not crash them
)

// QuarantineEntry is what operators see of a call in quarantine.
type QuarantineEntry struct {
	Call      CallSummary     `json:"call"`
	State     QuarantineState `json:"state"`
	Since     int64           `json:"since"`     // start of the state by the leader's clock, in milliseconds since the Unix epoch
	Upstreams []Start         `json:"upstreams"` // that crashed with the call in flight
}

// QuarantineChange lists the changes that a report or an operator's order made.
type QuarantineChange struct {
	Barred  []QuarantineEntry `json:"barred,omitempty"`
	Joint   []QuarantineEntry `json:"joint,omitempty"` // parts that have become joint
	Cleared []Fingerprint     `json:"cleared,omitempty"`
	// Lifted are bars that ended: by an operator, or because another call explains each of the crashes.
	Lifted []Fingerprint `json:"lifted,omitempty"`
}
