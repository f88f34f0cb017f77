package stagework

import (
	"maps"
	"time"
)

// sentAwayMost bounds how many callers are remembered: a minute of refusals at
// 270 a second. Those above it count as new ones.
const sentAwayMost = 1 << 14

// sentAway remembers the callers that were told to come back, by the key of their
// input, until their deadline: a caller's next try has another id and may reach
// another process.
type sentAway map[string]time.Time

func (a sentAway) has(key string, now time.Time) bool {
	return now.Before(a[key])
}

func (a sentAway) add(key string, now, until time.Time) {
	if key == "" {
		return
	}
	if len(a) >= sentAwayMost {
		maps.DeleteFunc(a, func(_ string, until time.Time) bool { return !now.Before(until) })
	}
	if len(a) < sentAwayMost {
		a[key] = until
	}
}
