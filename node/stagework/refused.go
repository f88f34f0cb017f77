package stagework

import (
	"maps"
	"time"
)

// maxRefusedCallers bounds how many callers are remembered: a minute of refusals at 270 a
// second. Further callers count as new ones.
const maxRefusedCallers = 1 << 14

// refusedCallers remembers the callers that were told to retry, by the key of their input, until
// their deadline: a retry has another call ID and may reach another process.
type refusedCallers map[string]time.Time

func (a refusedCallers) has(key string, now time.Time) bool {
	return now.Before(a[key])
}

func (a refusedCallers) add(key string, now, until time.Time) {
	if key == "" {
		return
	}
	if len(a) >= maxRefusedCallers {
		maps.DeleteFunc(a, func(_ string, until time.Time) bool { return !now.Before(until) })
	}
	if len(a) < maxRefusedCallers {
		a[key] = until
	}
}
