package order

import (
	"expvar"
	"time"

	"caperdrum.org/api/wire"
)

// Cost of the upstream beside this agent, in seconds since the agent's start.
var (
	heldVar = expvar.NewFloat("upstream_held_seconds") // loaded, or under an order
	wakeVar = expvar.NewFloat("upstream_wake_seconds") // of these under an order
)

// meter adds up for how long the upstream was held. An upstream that takes no
// orders is always held.
type usageMeter struct {
	last         time.Time
	held, waking bool
}

// advance counts the time since the last call under the state of that call,
// and returns what it counted, in seconds.
func (m *usageMeter) advance(now time.Time, st wire.EngineState) (held, waking float64) {
	if !m.last.IsZero() {
		passed := now.Sub(m.last).Seconds()
		if m.held {
			held = passed
		}
		if m.waking {
			waking = passed
		}
	}
	m.last = now
	m.waking = st.TakesOrders && st.Busy
	m.held = !st.TakesOrders || m.waking || len(st.Holds) > 0
	return held, waking
}
