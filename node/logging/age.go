package logging

import (
	"math"
	"time"
)

// Never is the age of an event that has not happened yet.
const Never = time.Duration(math.MaxInt64)

// Age formats an age for a log line. Never is "none".
func Age(d time.Duration) string {
	if d == Never {
		return "none"
	}
	return d.String()
}
