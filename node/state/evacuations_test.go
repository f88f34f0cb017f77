package state

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
)

// sentOrder is an order in transit. Its base is the revision known to the process that received it; acked is
// the number of orders for its data centre acknowledged by then.
type sentOrder struct {
	order wire.EvacuationOrder
	acked int
}

// evacuationMachine sends evacuation orders that arrive late, twice or never.
type evacuationMachine struct {
	t            *rapid.T
	machine      *Machine
	now          int64
	views        [3]wire.Evacuations // what each process knows
	inFlight     []sentOrder
	acknowledged map[string]bool // last acknowledged order by data centre
	acked        map[string]int
}

func (o *evacuationMachine) apply(c Command) Result { return applyAt(o.t, o.machine, o.now, c) }

// applyAt applies a command at the given time of the leader's clock.
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

// Send lets a process receive an order. Its view, which may be outdated, gives the base.
func (o *evacuationMachine) Send(t *rapid.T) {
	dc := rapid.SampledFrom([]string{"north", "south"}).Draw(t, "data centre")
	view := o.views[rapid.IntRange(0, len(o.views)-1).Draw(t, "process")]
	order := wire.EvacuationOrder{DataCenter: dc, Evacuate: rapid.Bool().Draw(t, "out"), Base: view.Of(dc).Revision}
	// An operator sends an order only after the answers to the earlier ones: if the process knows less than
	// those answers, the order is overtaken.
	o.inFlight = append(o.inFlight, sentOrder{order, o.acked[dc]})
}

// Arrive applies one of the orders in transit, which may arrive again later.
func (o *evacuationMachine) Arrive(t *rapid.T) {
	if len(o.inFlight) == 0 {
		t.Skip("none in transit")
	}
	k := rapid.IntRange(0, len(o.inFlight)-1).Draw(t, "order")
	sent := o.inFlight[k]
	dc := sent.order.DataCenter
	res := o.apply(Command{Evacuate: &sent.order}).Evacuation
	now := o.machine.View().Evacuations.Of(dc)
	if res.Evacuation != now {
		t.Fatalf("the answer is %+v, the state is %+v", res.Evacuation, now)
	}
	if res.Overtaken {
		if now.Evacuated != o.acknowledged[dc] {
			t.Fatalf("an overtaken order changed %s", dc)
		}
		return
	}
	if now.Evacuated != sent.order.Evacuate {
		t.Fatalf("%+v was acknowledged, but %s is %+v", sent.order, dc, now)
	}
	if res.Changed && o.acked[dc] != int(sent.order.Base) {
		t.Fatalf("%+v undid an order that was acknowledged after it was received", sent.order)
	}
	o.acknowledged[dc] = now.Evacuated
	o.acked[dc]++
}

// Learn updates a process's view.
func (o *evacuationMachine) Learn(t *rapid.T) {
	o.views[rapid.IntRange(0, len(o.views)-1).Draw(t, "process")] = o.machine.View().Evacuations
}

// Restart replaces the machine by one restored from its snapshot.
func (o *evacuationMachine) Restart(t *rapid.T) {
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
func (o *evacuationMachine) Check(t *rapid.T) {
	o.now++
	for dc, out := range o.acknowledged {
		if got := o.machine.View().Evacuations.Of(dc); got.Evacuated != out {
			t.Fatalf("%s: acknowledged %t, is %+v", dc, out, got)
		}
	}
}

// TestNoDelayedOrderUndoesAnAcknowledgedOne checks orders that are delayed, repeated or received by processes
// with outdated views.
func TestNoDelayedOrderUndoesAnAcknowledgedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &evacuationMachine{t: t, machine: New(), acknowledged: map[string]bool{}, acked: map[string]int{}}
		t.Repeat(rapid.StateMachineActions(o))
	})
}

// TestEvacuationOrderSequence checks the results of a fixed sequence of orders.
func TestEvacuationOrderSequence(t *testing.T) {
	o := &evacuationMachine{machine: New()}
	for i, c := range []struct {
		name      string
		out       bool
		base      uint64
		overtaken bool
		changed   bool
		revision  uint64
	}{
		{"an end without an evacuation is acknowledged", false, 0, false, false, 1},
		{"a start with an older base is overtaken", true, 0, true, false, 1},
		{"a start", true, 1, false, true, 2},
		{"the same start, resent", true, 1, false, false, 3},
		{"an end with a base before the second answer", false, 2, true, false, 3},
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
