package order

import (
	"expvar"
	"time"

	"caperdrum.org/api/wire"
)

// Cost of this agent's upstream in seconds since the agent's start.
var (
	heldVar = expvar.NewFloat("upstream_held_seconds") // a model is loaded or an order is being executed
	wakeVar = expvar.NewFloat("upstream_wake_seconds") // the part of it in which an order is being executed
)

// usageMeter measures how long the upstream is held. An upstream that takes no orders is always held.
type usageMeter struct {
	last         time.Time
	held, waking bool
}

// advance returns the seconds since the last call that count as held and as waking, by the engine state
// passed to that call.
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
