// Package periodic calls a function at regular intervals.
package periodic

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Run calls f every interval, one call at a time, until ctx ends. Ticks during a call that takes longer than
// the interval are dropped.
func Run(ctx context.Context, clock clockwork.Clock, interval time.Duration, f func()) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			f()
		}
	}
}
