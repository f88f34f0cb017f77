// Package verdict states whether a request may have run, for every attempt that did not
// end in a complete answer. The verdict decides what may be retried: a call that is not
// idempotent may be retried only after NotRun.
package verdict

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Verdict is what is known about the execution of one attempt.
type Verdict uint8

const (
	// MayHaveRun, the zero value, means that the attempt may have run.
	MayHaveRun Verdict = iota
	// NotRun guarantees that the attempt did not run and never will.
	NotRun
	// Ran means that the attempt ran, with or without a complete answer.
	Ran
)

var names = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the name used in headers, logs and bodies.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Parse parses the name that String returns. An unknown name is MayHaveRun, the
// only verdict that can never cause a second run.
func Parse(s string) Verdict {
	for v, name := range names {
		if name == s {
			return Verdict(v)
		}
	}
	return MayHaveRun
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(b []byte) error {
	*v = Parse(string(b))
	return nil
}

// Code is the machine-readable cause of a failed request.
type Code string

// Codes that callers and operators see.
const (
	CodeInvalidRequest      Code = "invalid_request"
	CodeNotFound            Code = "not_found"
	CodeTooLarge            Code = "body_too_large"
	CodeOverloaded          Code = "overloaded"
	CodeDeadlineUnreachable Code = "deadline_unreachable"
	CodeDeadlineExceeded    Code = "deadline_exceeded"
	CodeNoEndpoint          Code = "no_endpoint"
	CodeUpstreamLeaving     Code = "upstream_leaving"
	CodeTombstoned          Code = "attempt_tombstoned"
	CodeIncarnationChanged  Code = "incarnation_changed"
	CodeKeyConflict         Code = "idempotency_key_conflict"
	CodeKeyInProgress       Code = "idempotency_key_in_progress"
	CodeOutcomeLost         Code = "outcome_lost" // final: the call with this key ran or may have run, and its answer is lost
	CodeNoQuorum            Code = "no_quorum"
	CodeLedgerFull          Code = "ledger_full"
	CodeUpstreamFailed      Code = "upstream_failed"
	CodeAnswerCut           Code = "answer_cut"
	CodeConfigStale         Code = "configuration_stale"
	CodeShuttingDown        Code = "shutting_down"
	CodeCustomerLimit       Code = "customer_limit"
	CodeQuarantined         Code = "quarantined"    // calls with this fingerprint crash the upstreams that run them
	CodeStreamUnknown       Code = "stream_unknown" // it is not known where the stream that the call continues began
)

// Error is the failure of a request or attempt together with its verdict.
type Error struct {
	Verdict    Verdict       `json:"verdict"`
	Code       Code          `json:"code"`
	Message    string        `json:"message"`
	Status     int           `json:"status"`                // HTTP status for the caller
	RetryAfter time.Duration `json:"retry_after,omitempty"` // nanoseconds; zero if there is no point in retrying
}

// New returns an Error with the HTTP status of its code. The message is formatted as by
// fmt.Sprintf.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...), Status: statusOf(code)}
}

// WithRetryAfter sets the time after which the caller should retry, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Verdict)
}

func statusOf(c Code) int {
	switch c {
	case CodeInvalidRequest:
		return http.StatusBadRequest
	case CodeNotFound:
		return http.StatusNotFound
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeKeyConflict:
		return http.StatusUnprocessableEntity
	case CodeKeyInProgress, CodeTombstoned, CodeIncarnationChanged:
		return http.StatusConflict
	case CodeCustomerLimit:
		return http.StatusTooManyRequests
	case CodeUpstreamFailed, CodeAnswerCut, CodeOutcomeLost:
		return http.StatusBadGateway
	case CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// From returns the Error in err's chain. If there is none, it returns one with verdict
// MayHaveRun, code CodeUpstreamFailed and err's message.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, CodeUpstreamFailed, "%s", err.Error())
}

// Of returns the verdict of err: Ran if err is nil, MayHaveRun if err has no verdict.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	return From(err).Verdict
}
