package stagework

import (
	"math"
	"time"
)

// rateWindow is the time constant of the decay. It spans several calls of an upstream, which take up to half a second
// each, and is shorter than the time that callers have, so that they are judged by the present load.
const rateWindow = 2 * time.Second

// rate is an exponentially decaying count of events. Its zero value is ready to use.
type rate struct {
	events float64
	at     time.Time
}

// count adds an event.
func (r *rate) count(now time.Time) {
	r.decay(now)
	r.events++
}

// lately is the decayed number of events.
func (r *rate) lately(now time.Time) float64 {
	r.decay(now)
	return r.events
}

func (r *rate) decay(now time.Time) {
	r.events *= math.Exp(-now.Sub(r.at).Seconds() / rateWindow.Seconds())
	r.at = now
}
