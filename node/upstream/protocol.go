// Package upstream calls announced upstreams directly over HTTP/1.1. It sends each request at most once; its
// callers decide by the verdict of the error whether to send it again.
package upstream

import (
	"net/http"
	"time"

	"caperdrum.org/api/wire"
)

// Call holds the values that a caller's headers set for a call on a route.
type Call struct {
	ID          string          // of this call; every response to it carries it
	BearerKey   string          // bearer key; empty if there is none
	Timeout     time.Duration   // how long the caller waits; zero if not stated
	Prefix      []PromptPart    // parts of the prompt in order, shared ones first
	Pieces      []int           // number of pieces in each stage of the route; nil if not stated
	PieceKey    string          // identifies the input of stages that depend on no other
	LastEventID string          // id of the last event that the caller received of the stream
	Resumes     StreamReference // the stream of that event
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// CallMetadata holds the values that caperdrum sets on a call to an upstream, in addition to the caller's request.
type CallMetadata struct {
	Remaining   time.Duration // time until the deadline; zero for none
	Instance    wire.MemberID // the incarnation of the upstream that the call is addressed to
	Customer    string        // empty on public routes
	LastEventID string        // resume the stream after this event; empty for the whole stream
	Inputs      []string      // handles of the input results
	FetchFrom   string        // address of an engine that has shared parts of the prompt cached; empty to compute them
}

// ResponseInfo holds what an upstream states in the headers of a response.
type ResponseInfo struct {
	ID       string        // of the call that it belongs to
	NotRun   bool          // the upstream guarantees that the call has not run and never will
	Instance wire.MemberID // the incarnation that responded; empty if not stated
	Load     *Load         // nil if not stated
	Pause    time.Duration // how long the upstream accepts no calls from this process; zero if not stated
	Leaving  bool          // the upstream is leaving and accepts no further calls
	Limit    RequestLimit  // on the requests from all processes together
}

// Load is the load that a batching upstream reports, in requests.
type Load struct{ Running, Waiting, Slots int }

// Piece is one piece of a stage that an upstream is asked to compute.
type Piece struct {
	ID        string // of the call
	Stage     int
	Number    int
	Remaining time.Duration
	Key       string   // for stages that depend on no other
	Inputs    []string // handles of the inputs, for the other stages
}

// Failure is the reason why a piece was not computed.
type Failure string

// Failures of pieces.
const (
	Late      Failure = "late"       // no time was left when its turn came
	InputGone Failure = "input_gone" // an input result no longer exists
	NoRoom    Failure = "no_room"    // the upstream has no room for the result
	Failed    Failure = "failed"
)

// PieceResult is the outcome of a piece: a handle or a failure.
type PieceResult struct {
	Handle  string
	Failure Failure
}

// Room is the free memory for results that an upstream reports, in bytes. The true value is between Free and
// FreeMax, since some upstreams report whole units.
type Room struct {
	Free, FreeMax int64
	Incarnation   uint64 // reporting incarnation; zero if not stated
	Busy          bool   // the upstream is working on a call
}

// Protocol translates between caperdrum's terms and the headers and bodies that callers and upstreams use.
type Protocol interface {
	// ParseCall parses a caller's headers.
	ParseCall(h http.Header) (Call, error)
	// SetHeaders sets the headers of a call to an upstream. It removes the caller's key and headers that only
	// caperdrum may set.
	SetHeaders(h http.Header, t CallMetadata)
	// ParseResponse parses the headers of an upstream's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// RunPieces returns the path and body of a call that computes pieces.
	RunPieces(pieces []Piece) (path string, body []byte)
	// ParsePieceResults parses the response to RunPieces, one result for each piece.
	ParsePieceResults(body []byte) ([]PieceResult, error)
	// FreeResults returns the path and body of a call that releases results.
	FreeResults(handles []string) (path string, body []byte)
	// RoomPath returns the path at which an upstream reports its room for results.
	RoomPath() string
	// ParseRoom parses an upstream's report of its room for results.
	ParseRoom(body []byte) (*Room, error)
}
