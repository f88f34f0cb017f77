package upstream

import (
	"fmt"
	"strings"
)

// maxAttemptIDBytes limits the ids of callers' attempts that a call may name.
const maxAttemptIDBytes = 128

// StreamReference names the stream that a call continues, by the id of the caller's attempt that brought the
// stream's first event.
type StreamReference struct {
	Attempt string // empty if none is named
	Invalid string // the quoted values if they name no attempt, or more than one; empty otherwise
}

// ParseStreamReference parses the values of a header that names a stream. An id has at most 128 printable ASCII
// characters and neither spaces nor commas. A header that is absent or empty names none, and so does one that is
// invalid; values that are repeated count once.
func ParseStreamReference(values []string) StreamReference {
	attempt := ""
	for raw := range strings.SplitSeq(strings.Join(values, ","), ",") {
		id := strings.TrimSpace(raw)
		switch {
		case id == "" || id == attempt:
		case attempt != "" || !ValidAttemptID(id):
			return StreamReference{Invalid: quoteShort(values)}
		default:
			attempt = id
		}
	}
	return StreamReference{Attempt: attempt}
}

// ValidAttemptID reports whether callers can name the id.
func ValidAttemptID(id string) bool {
	return id != "" && len(id) <= maxAttemptIDBytes && !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' })
}

// quoteShort quotes values for a log line, each cut to the length of the longest valid one.
func quoteShort(values []string) string {
	short := make([]string, 0, 2)
	for _, v := range values[:min(len(values), 2)] {
		short = append(short, v[:min(len(v), maxAttemptIDBytes)])
	}
	return fmt.Sprintf("%q", short)
}
