package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ParseRetryAfter parses the header Retry-After (RFC 9110, section 10.2.3) of a response with status 429 or 503: a
// number of seconds, possibly with a fraction, or a date. It returns zero for anything else.
func ParseRetryAfter(status int, h http.Header, now time.Time) time.Duration {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0
	}
	raw := strings.TrimSpace(h.Get("Retry-After"))
	if raw == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(raw, 64); err == nil {
		if math.IsNaN(seconds) || seconds <= 0 {
			return 0
		}
		return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	if at, err := http.ParseTime(raw); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}
