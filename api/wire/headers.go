// Package wire defines the messages and header names that caperdrum's processes,
// its command and its callers exchange.
package wire

// Headers between callers and an entry.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderCustomer       = "X-Customer-Id"
	HeaderTimeout        = "X-Request-Timeout" // Go duration, counted from receipt of the request at the entry
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderVerdict        = "X-Verdict"
	HeaderConfigVersion  = "X-Config-Version"
	HeaderReplayed       = "X-Idempotent-Replayed" // "true" if the answer is a recorded one
	HeaderRetryAfter     = "Retry-After"           // whole seconds, RFC 9110 section 10.2.3
	// HeaderRequestLimit names how many requests per second an upstream takes from all processes together;
	// without it there is no limit.
	HeaderRequestLimit = "Caperdrum-Request-Limit"
)

// Headers between an entry and a gate. The Trailer names are HTTP trailers: an answer
// without them is incomplete.
const (
	HeaderAttempt           = "Caperdrum-Attempt"
	HeaderStage             = "Caperdrum-Stage"
	HeaderIncarnation       = "Caperdrum-Incarnation"
	HeaderClaimed           = "Caperdrum-Claimed"   // "true" if an idempotency key is claimed for the attempt
	HeaderBudget            = "Caperdrum-Budget-Ms" // milliseconds until the attempt's deadline
	HeaderClass             = "Caperdrum-Class"
	HeaderShare             = "Caperdrum-Share"
	HeaderRepeatable        = "Caperdrum-Repeatable" // "true" if the attempt may be abandoned and run elsewhere
	HeaderService           = "Caperdrum-Service"
	HeaderPath              = "Caperdrum-Path"
	HeaderMethod            = "Caperdrum-Method"
	HeaderLoad              = "Caperdrum-Load" // queued/running/limit
	HeaderGateConfigVersion = "Caperdrum-Config-Version"
	HeaderClock             = "Caperdrum-Clock" // hybrid logical clock timestamp, hexadecimal
	HeaderUpstreamStatus    = "Caperdrum-Upstream-Status"
	HeaderError             = "Caperdrum-Error" // present if the body is a verdict.Error
	TrailerEnd              = "Caperdrum-End"   // EndWhole or a verdict.Code
	TrailerLength           = "Caperdrum-Length"
	TrailerSum              = "Caperdrum-Sum" // xxhash64 of the body, hexadecimal
	TrailerLoad             = "Caperdrum-Load-After"
	EndWhole                = "whole"
	ChatStreamEnd           = "data: [DONE]"
	ContentEventStream      = "text/event-stream"
)

// MaxResponseHeadBytes bounds the head of a response that a client of this system reads from an upstream. It is twice what
// the users' platform allows in the head of a request, parts of which a response repeats. A gate adds to it what it says itself.
const MaxResponseHeadBytes = 32 << 10

// MaxRequestHeadBytes bounds the head of a request to a listener of this system.
const MaxRequestHeadBytes = 64 << 10
