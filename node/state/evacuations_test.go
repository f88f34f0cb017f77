package state

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
)

// sentOrder is an operator's order on its way, with the revision that the process knew which
// received it, and how many orders for its data centre had been acknowledged by then.
type sentOrder struct {
	order wire.EvacuationOrder
	acked int
}

// operators give orders for data centres that arrive late, twice or never.
type operators struct {
	t       *rapid.T
	machine *Machine
	now     int64
	views   [3]wire.Evacuations // what each process knows
	under   []sentOrder
	last    map[string]bool // what was acknowledged last
	acked   map[string]int
}

func (o *operators) apply(c Command) Result { return applyAt(o.t, o.machine, o.now, c) }

// applyAt has a machine execute a command at a time of the leader's clock.
func applyAt(t *rapid.T, m *Machine, now int64, c Command) Result {
	c.Now = now
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	r, err := m.Apply(data)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Send has one of the processes receive an order, with what it knows, which may be old.
func (o *operators) Send(t *rapid.T) {
	dc := rapid.SampledFrom([]string{"north", "south"}).Draw(t, "data centre")
	view := o.views[rapid.IntRange(0, len(o.views)-1).Draw(t, "process")]
	order := wire.EvacuationOrder{DataCenter: dc, Evacuate: rapid.Bool().Draw(t, "out"), Base: view.Of(dc).Revision}
	// An operator sends an order after the answers to the ones before: a process that knows
	// less than they say receives it as one that is overtaken.
	o.under = append(o.under, sentOrder{order, o.acked[dc]})
}

// Arrive lets any order on its way take effect; it may arrive again later.
func (o *operators) Arrive(t *rapid.T) {
	if len(o.under) == 0 {
		t.Skip("none under way")
	}
	k := rapid.IntRange(0, len(o.under)-1).Draw(t, "order")
	sent := o.under[k]
	dc := sent.order.DataCenter
	res := o.apply(Command{Evacuate: &sent.order}).Evacuation
	now := o.machine.View().Evacuations.Of(dc)
	if res.Evacuation != now {
		t.Fatalf("answers %+v, is %+v", res.Evacuation, now)
	}
	if res.Overtaken {
		if now.Evacuated != o.last[dc] {
			t.Fatalf("an overtaken order changed %s", dc)
		}
		return
	}
	if now.Evacuated != sent.order.Evacuate {
		t.Fatalf("%+v is acknowledged, %s is %+v", sent.order, dc, now)
	}
	if res.Changed && o.acked[dc] != int(sent.order.Base) {
		t.Fatalf("%+v undoes what was acknowledged after it was received", sent.order)
	}
	o.last[dc] = now.Evacuated
	o.acked[dc]++
}

// Learn brings a process up to date.
func (o *operators) Learn(t *rapid.T) {
	o.views[rapid.IntRange(0, len(o.views)-1).Draw(t, "process")] = o.machine.View().Evacuations
}

// Restart replaces the machine by its snapshot.
func (o *operators) Restart(t *rapid.T) {
	data, err := o.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	before := fmt.Sprint(o.machine.View().Evacuations)
	o.machine = New()
	if err := o.machine.Restore(data); err != nil {
		t.Fatal(err)
	}
	if after := fmt.Sprint(o.machine.View().Evacuations); after != before {
		t.Fatalf("%s became %s", before, after)
	}
}

// Check is called after each step.
func (o *operators) Check(t *rapid.T) {
	o.now++
	for dc, out := range o.last {
		if got := o.machine.View().Evacuations.Of(dc); got.Evacuated != out {
			t.Fatalf("%s: acknowledged %t, is %+v", dc, out, got)
		}
	}
}

// TestNoDelayedOrderUndoesAnAcknowledgedOne plays orders that are delayed, repeated and
// received by processes that know less.
func TestNoDelayedOrderUndoesAnAcknowledgedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &operators{t: t, machine: New(), last: map[string]bool{}, acked: map[string]int{}}
		t.Repeat(rapid.StateMachineActions(o))
	})
}

// TestOrdersInARow lists what becomes of single orders.
func TestOrdersInARow(t *testing.T) {
	o := &operators{machine: New()}
	for i, c := range []struct {
		name      string
		out       bool
		base      uint64
		overtaken bool
		changed   bool
		revision  uint64
	}{
		{"an end that finds nothing is acknowledged", false, 0, false, false, 1},
		{"a start from before it is overtaken", true, 0, true, false, 1},
		{"a start", true, 1, false, true, 2},
		{"the same start, sent again", true, 1, false, false, 3},
		{"an end from before the second answer", false, 2, true, false, 3},
		{"an end", false, 3, false, true, 4},
		{"the first start, delayed", true, 0, true, false, 4},
		{"a second start", true, 4, false, true, 5},
		{"the end before it, delayed", false, 3, true, false, 5},
	} {
		o.now = int64(i)
		r := o.apply(Command{Evacuate: &wire.EvacuationOrder{DataCenter: "north", Evacuate: c.out, Base: c.base}}).Evacuation
		if r.Overtaken != c.overtaken || r.Changed != c.changed || r.Evacuation.Revision != c.revision {
			t.Errorf("%s: %+v", c.name, *r)
		}
	}
}
