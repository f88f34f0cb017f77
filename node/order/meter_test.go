package order

import (
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

func TestMeter(t *testing.T) {
	loaded := []wire.Artifact{{Model: "m"}}
	rows := []struct {
		name         string
		state        wire.EngineState
		held, waking float64
	}{
		{"takes no orders", wire.EngineState{}, 2, 0},
		{"parked", wire.EngineState{TakesOrders: true}, 0, 0},
		{"loading", wire.EngineState{TakesOrders: true, Busy: true}, 2, 2},
		{"loaded", wire.EngineState{TakesOrders: true, Holds: loaded}, 2, 0},
		{"loading another model", wire.EngineState{TakesOrders: true, Holds: loaded, Busy: true}, 2, 2},
	}
	var m usageMeter
	now := time.Unix(0, 0)
	m.advance(now, rows[0].state)
	for i, row := range rows {
		now = now.Add(2 * time.Second)
		next := rows[(i+1)%len(rows)].state
		if held, waking := m.advance(now, next); held != row.held || waking != row.waking {
			t.Errorf("%s: held %v waking %v, want %v %v", row.name, held, waking, row.held, row.waking)
		}
	}
}
