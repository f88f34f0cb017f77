// Package wire holds the messages and header names that caperdrum's processes,
// its command and its callers exchange.
package wire

// Headers between callers and an entry.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderCustomer       = "X-Customer-Id"
	HeaderTimeout        = "X-Request-Timeout" // Go duration, from the entry's receipt of the request
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderVerdict        = "X-Verdict"
	HeaderConfigVersion  = "X-Config-Version"
	HeaderReplayed       = "X-Idempotent-Replayed" // "true" on a recorded answer
	HeaderRetryAfter     = "Retry-After"           // whole seconds, RFC 9110 section 10.2.3
)

// Headers between an entry and a gate. The End headers are trailers: an answer
// without them was cut.
const (
	HeaderAttempt      = "Caperdrum-Attempt"
	HeaderStage        = "Caperdrum-Stage"
	HeaderIncarnation  = "Caperdrum-Incarnation"
	HeaderClaimed      = "Caperdrum-Claimed"   // "true" when an idempotency key is claimed for the attempt
	HeaderBudget       = "Caperdrum-Budget-Ms" // milliseconds until the attempt is worthless
	HeaderClass        = "Caperdrum-Class"
	HeaderShare        = "Caperdrum-Share"
	HeaderRepeatable   = "Caperdrum-Repeatable" // "true" when the attempt may be abandoned and run elsewhere
	HeaderService      = "Caperdrum-Service"
	HeaderPath         = "Caperdrum-Path"
	HeaderMethod       = "Caperdrum-Method"
	HeaderLoad         = "Caperdrum-Load" // queued/running/limit
	HeaderVersion      = "Caperdrum-Config-Version"
	HeaderClock        = "Caperdrum-Clock" // hybrid logical clock, hexadecimal
	HeaderStatus       = "Caperdrum-Upstream-Status"
	HeaderError        = "Caperdrum-Error" // present when the body is a verdict.Error
	TrailerEnd         = "Caperdrum-End"   // "whole" or a verdict.Code
	TrailerLength      = "Caperdrum-Length"
	TrailerSum         = "Caperdrum-Sum" // xxhash64 of the body, hexadecimal
	TrailerLoad        = "Caperdrum-Load-After"
	EndWhole           = "whole"
	EndStreamOfChat    = "data: [DONE]"
	ContentEventStream = "text/event-stream"
)
