package upstream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// Headers of Native besides those of package wire.
const (
	headerPromptParts   = "Caperdrum-Prompt-Parts" // ID:TOKENS, comma-separated
	headerPieces        = "Caperdrum-Pieces"       // number of pieces in each stage, comma-separated
	headerPieceKey      = "Caperdrum-Piece-Key"
	headerInstance      = "Caperdrum-Instance" // in calls: the incarnation addressed; in responses: the one that responded
	headerCustomer      = "Caperdrum-Customer"
	headerInputs        = "Caperdrum-Inputs" // handles, comma-separated
	headerFetch         = "Caperdrum-Fetch-From"
	headerLeaving       = "Caperdrum-Leaving"
	headerLastEventID   = "Last-Event-Id"     // of server-sent events (WHATWG HTML)
	headerResumes       = "Caperdrum-Resumes" // id of the caller's attempt that brought the stream's first event
	headerAuthorization = "Authorization"

	pathPieces = "/v1/pieces"
	pathFree   = "/v1/pieces/free"
	pathRoom   = "/v1/pieces/room"
	bearer     = "Bearer "
)

// Native is caperdrum's own protocol on routes.
type Native struct{}

var _ Protocol = Native{}

// ParseCall implements Protocol.
func (Native) ParseCall(h http.Header) (Call, error) {
	c := Call{ID: h.Get(wire.HeaderRequestID), PieceKey: h.Get(headerPieceKey), LastEventID: h.Get(headerLastEventID), Resumes: ParseStreamReference(h.Values(headerResumes))}
	c.BearerKey, _ = strings.CutPrefix(h.Get(headerAuthorization), bearer)
	if raw := h.Get(wire.HeaderTimeout); raw != "" {
		wait, err := time.ParseDuration(raw)
		if err != nil || wait <= 0 {
			return c, fmt.Errorf("%s: %q is no duration; write one such as 2s", wire.HeaderTimeout, raw)
		}
		c.Timeout = wait
	}
	for _, part := range splitList(h.Get(headerPieces)) {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return c, fmt.Errorf("%s: %q is no number; write one a stage", headerPieces, part)
		}
		c.Pieces = append(c.Pieces, n)
	}
	for _, part := range splitList(h.Get(headerPromptParts)) {
		id, number, _ := strings.Cut(part, ":")
		tokens, err := strconv.ParseInt(number, 10, 64)
		if err != nil {
			return c, fmt.Errorf("%s: %q is no part; write ID:TOKENS", headerPromptParts, part)
		}
		c.Prefix = append(c.Prefix, PromptPart{ID: id, Tokens: tokens})
	}
	return c, nil
}

func splitList(raw string) []string {
	if raw == "" {
		return nil
	}
	parts := strings.Split(raw, ",")
	for i, p := range parts {
		parts[i] = strings.TrimSpace(p)
	}
	return parts
}

// SetHeaders implements Protocol.
func (Native) SetHeaders(h http.Header, t CallMetadata) {
	for _, name := range []string{headerAuthorization, headerInstance, headerCustomer, headerInputs, headerFetch, wire.HeaderTimeout} {
		h.Del(name)
	}
	if t.Remaining > 0 {
		h.Set(wire.HeaderTimeout, t.Remaining.String())
	}
	for name, value := range map[string]string{headerInstance: string(t.Instance), headerCustomer: t.Customer, headerLastEventID: t.LastEventID, headerInputs: strings.Join(t.Inputs, ","), headerFetch: t.FetchFrom} {
		if value != "" {
			h.Set(name, value)
		}
	}
}

// ParseResponse implements Protocol.
func (Native) ParseResponse(status int, h http.Header) ResponseInfo {
	notRun := verdict.Parse(h.Get(wire.HeaderVerdict)) == verdict.NotRun || status == http.StatusMisdirectedRequest
	return ResponseInfo{ID: h.Get(wire.HeaderRequestID), NotRun: notRun, Instance: wire.MemberID(h.Get(headerInstance)),
		Pause: ParseRetryAfter(status, h, time.Now()), Leaving: h.Get(headerLeaving) != "",
		Limit: ParseRequestLimit(h.Values(wire.HeaderRequestLimit))}
}

// nativePiece is a piece in the body of a call.
type nativePiece struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Number int      `json:"number"`
	LeftMs int64    `json:"left_ms"`
	Key    string   `json:"key,omitempty"`
	Inputs []string `json:"inputs,omitempty"`
}

// RunPieces implements Protocol.
func (Native) RunPieces(pieces []Piece) (string, []byte) {
	out := make([]nativePiece, len(pieces))
	for i, p := range pieces {
		out[i] = nativePiece{p.ID, p.Stage, p.Number, p.Remaining.Milliseconds(), p.Key, p.Inputs}
	}
	return pathPieces, encode(out)
}

// ParsePieceResults implements Protocol.
func (Native) ParsePieceResults(body []byte) ([]PieceResult, error) {
	var out []PieceResult
	err := json.Unmarshal(body, &out)
	return out, err
}

// FreeResults implements Protocol.
func (Native) FreeResults(handles []string) (string, []byte) { return pathFree, encode(handles) }

// RoomPath implements Protocol.
func (Native) RoomPath() string { return pathRoom }

// ParseRoom implements Protocol.
func (Native) ParseRoom(body []byte) (*Room, error) {
	var report struct {
		Free *int64 `json:"free"` // bytes
		Busy bool   `json:"busy"`
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, err
	}
	if report.Free == nil {
		return nil, fmt.Errorf("the report has no field free; send the number of free bytes")
	}
	return &Room{Free: *report.Free, FreeMax: *report.Free, Busy: report.Busy}, nil
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("upstream: " + err.Error()) // these types always marshal
	}
	return data
}
