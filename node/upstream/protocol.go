// Package upstream calls announced upstreams directly over HTTP/1.1. It sends
// each request at most once: what may be repeated is for its callers to decide,
// by the verdict of the error.
package upstream

import (
	"net/http"
	"time"

	"caperdrum.org/api/wire"
)

// Call is what a caller's headers say of a call on a route.
type Call struct {
	ID        string        // of this try of the caller; every answer to it carries it
	Key       string        // bearer key; empty when there is none
	Wait      time.Duration // for which the caller waits; zero when it does not say
	Prefix    []PromptPart  // parts of the prompt in order, shared ones first
	Pieces    []int         // of each stage of the route; nil when it does not say
	PieceKey  string        // names the input of stages that follow no other
	LastEvent string        // the last event of the stream that the caller has
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Told is what caperdrum tells an upstream of a call, beside what the caller
// sent.
type Told struct {
	Left      time.Duration // until the call is worthless
	Instance  wire.MemberID // the start of the upstream that it is meant for
	Customer  string        // empty on public routes
	LastEvent string        // the stream goes on after it; empty for a whole one
	Inputs    []string      // handles of the results that it is made of
	FetchFrom string        // address of an engine that keeps shared parts of the prompt; empty: they are read
}

// Answer is what an upstream's headers say of its answer.
type Answer struct {
	ID       string        // of the call that it answers
	NotRun   bool          // the upstream promises that the call has not run and never will
	Instance wire.MemberID // the start that answered, if it says so
	Load     *Load         // nil when it does not say
	Pause    time.Duration // for which the upstream wants no calls of this process; zero when it does not say
	Leaving  bool          // the upstream leaves: it wants no further calls
}

// Load is what a batching upstream tells of itself.
type Load struct{ Running, Waiting, Slots int }

// Piece is one piece of a stage that an upstream is asked for.
type Piece struct {
	ID     string // of the call
	Stage  int
	Number int
	Left   time.Duration
	Key    string   // for stages that follow no other
	Inputs []string // handles, for the others
}

// Failure says why a piece was not made.
type Failure string

// Failures of pieces.
const (
	Late      Failure = "late"       // no time was left at its turn
	InputGone Failure = "input_gone" // a result that it is made of is gone
	NoRoom    Failure = "no_room"    // the upstream has no room for the result
	Failed    Failure = "failed"
)

// PieceResult is what became of a piece: a handle or a failure.
type PieceResult struct {
	Handle  string
	Failure Failure
}

// Room is what an upstream that makes pieces says of its room for results, in bytes:
// between Free and FreeMost of it are free, since some report it in whole units.
type Room struct {
	Free, FreeMost int64
	Started        uint64 // incarnation of the start that reports; zero where it does not say
	Busy           bool   // it works on a call
}

// Protocol translates between caperdrum's terms and the headers and bodies
// that callers and upstreams speak.
type Protocol interface {
	// Call reads a caller's headers.
	Call(h http.Header) (Call, error)
	// Tell writes to the headers of a call that go to an upstream, and takes out
	// those that only caperdrum may set and the caller's key.
	Tell(h http.Header, t Told)
	// Answer reads the headers of an upstream's answer.
	Answer(status int, h http.Header) Answer
	// RunPieces returns the path and body of a call for pieces.
	RunPieces(pieces []Piece) (path string, body []byte)
	// PieceResults reads the answer to RunPieces, one result for each piece.
	PieceResults(body []byte) ([]PieceResult, error)
	// FreeResults returns the path and body of a call that gives results up.
	FreeResults(handles []string) (path string, body []byte)
	// RoomPath is the path at which an upstream that makes pieces reports its room.
	RoomPath() string
	// Room reads an upstream's report of its room.
	Room(body []byte) (*Room, error)
}
