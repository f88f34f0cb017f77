package requestlimit

import (
	"time"

	"caperdrum.org/api/wire"
)

// Denials record at which upstreams a process got no permit a moment ago, so that it does not ask for each
// request. Its zero value is ready to use. It is not safe for concurrent use.
type Denials struct{ byStart map[wire.Start]denial }

type denial struct {
	until      time.Time     // no permit is asked for until then
	retryAfter time.Duration // for callers
}

// Deny records that there was no permit for the upstream. Callers that cannot be served elsewhere should come
// back after retryAfter.
func (d *Denials) Deny(now time.Time, upstream wire.Start, wait, retryAfter time.Duration) {
	for start, x := range d.byStart {
		if !now.Before(x.until) {
			delete(d.byStart, start)
		}
	}
	if d.byStart == nil {
		d.byStart = map[wire.Start]denial{}
	}
	d.byStart[upstream] = denial{now.Add(wait), retryAfter}
}

// Denied reports whether a permit for the upstream should not be asked for now, and when callers should come
// back.
func (d *Denials) Denied(now time.Time, upstream wire.Start) (retryAfter time.Duration, denied bool) {
	x, known := d.byStart[upstream]
	return x.retryAfter, known && now.Before(x.until)
}
