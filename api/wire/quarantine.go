package wire

// Fingerprint is a hash of the content of a call, independent of request and attempt ids:
// calls with the same fingerprint are copies of each other. It does not reveal the body.
type Fingerprint string

// CallSummary is the summary of a call that processes exchange and operators see.
type CallSummary struct {
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

// Suspect is a call that was in flight in the crashes of several upstreams.
type Suspect struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Shape       uint64      `json:"shape"`
	Barred      bool        `json:"barred,omitempty"` // not sent to upstreams any more
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
	Cleared []Fingerprint     `json:"cleared,omitempty"`
	// Lifted are bars that ended: by an operator, or because another call explains each of the crashes.
	Lifted []Fingerprint `json:"lifted,omitempty"`
}
