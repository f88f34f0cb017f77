// Package periodic calls a function at intervals.
package periodic

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Run calls f every interval, one call at a time, until ctx ends. A call that
// takes longer than the interval leaves calls out.
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
