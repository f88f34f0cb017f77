package state

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
)

// rolloutMachine sends rollout orders and decisions that arrive late, twice or never.
type rolloutMachine struct {
	t       *rapid.T
	machine *Machine
	now     int64
	known   [3]uint64 // revision known to each process
	orders  []wire.RolloutOrder
	steps   []wire.RolloutStep
	decided map[uint64]wire.RolloutState // final state by rollout order
}

func (o *rolloutMachine) apply(c Command) Result { return applyAt(o.t, o.machine, o.now, c) }

func (o *rolloutMachine) current() wire.Rollout { return o.machine.View().Rollouts.Of("desk") }

// Send lets a process receive an order. The revision it knows, which may be outdated, is the base.
func (o *rolloutMachine) Send(t *rapid.T) {
	base := o.known[rapid.IntRange(0, 2).Draw(t, "process")]
	target := rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "target")
	o.orders = append(o.orders, wire.RolloutOrder{Service: "desk", Target: target, Span: 10 * time.Second, Base: base})
}

// Arrive applies one of the orders, which may arrive again later.
func (o *rolloutMachine) Arrive(t *rapid.T) {
	if len(o.orders) == 0 {
		t.Skip("none in transit")
	}
	before, order := o.current(), rapid.SampledFrom(o.orders).Draw(t, "order")
	res := o.apply(Command{StartRollout: &order}).Rollout
	after := o.current()
	switch {
	case res.Refusal != wire.RolloutAccepted, !res.Changed:
		if fmt.Sprint(after) != fmt.Sprint(before) {
			t.Fatalf("%+v changed %+v to %+v", order, before, after)
		}
		if !res.Changed && res.Refusal == wire.RolloutAccepted && after.Target != order.Target {
			t.Fatalf("%+v was acknowledged, but %+v is in force", order, after)
		}
	case before.Running():
		t.Fatalf("%+v replaced the running %+v", order, before)
	case before.Revision != order.Base:
		t.Fatalf("%+v was overtaken by %+v but took effect", order, before)
	}
}

// Decide lets a leader decide, based on the revision it knows.
func (o *rolloutMachine) Decide(t *rapid.T) {
	state := rapid.SampledFrom([]wire.RolloutState{wire.RolloutRunning, wire.RolloutCompleted, wire.RolloutRolledBack}).Draw(t, "state")
	o.steps = append(o.steps, wire.RolloutStep{Service: "desk", Base: o.current().Revision, State: state, Share: 0.05})
}

// Step applies one of the decisions, possibly of an earlier leader.
func (o *rolloutMachine) Step(t *rapid.T) {
	if len(o.steps) == 0 {
		t.Skip("none in transit")
	}
	step := rapid.SampledFrom(o.steps).Draw(t, "step")
	before := o.current()
	res := o.apply(Command{StepRollout: &step}).Rollout
	if res.Changed != (before.Running() && before.Revision == step.Base) {
		t.Fatalf("%+v on %+v: %+v", step, before, res)
	}
	if after := o.current(); res.Changed && !after.Running() {
		o.decided[after.Order] = after.State
	}
}

// Learn updates the revision that a process knows.
func (o *rolloutMachine) Learn(t *rapid.T) {
	o.known[rapid.IntRange(0, 2).Draw(t, "process")] = o.current().Revision
}

// Pass advances the time.
func (o *rolloutMachine) Pass(t *rapid.T) { o.now += rapid.Int64Range(0, 8000).Draw(t, "ms") }

// Restart replaces the machine by one restored from its snapshot.
func (o *rolloutMachine) Restart(t *rapid.T) {
	before := fmt.Sprint(o.machine.View().Rollouts)
	data, err := o.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	o.machine = New()
	if err := o.machine.Restore(data); err != nil {
		t.Fatal(err)
	}
	if after := fmt.Sprint(o.machine.View().Rollouts); after != before {
		t.Fatalf("%s became %s", before, after)
	}
}

// Check verifies that final decisions do not change.
func (o *rolloutMachine) Check(t *rapid.T) {
	r := o.current()
	if state, decided := o.decided[r.Order]; decided && r.State != state {
		t.Fatalf("%+v was %s", r, state)
	}
}

func TestRolloutOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &rolloutMachine{t: t, machine: New(), now: 1000, decided: map[uint64]wire.RolloutState{}}
		old := wire.AnnouncedUpstream("i-1", "desk", "10.0.0.1:80", "north", false)
		old.Version = "v1"
		o.apply(Command{Join: []wire.Member{old}})
		t.Repeat(rapid.StateMachineActions(o))
	})
}

// TestRolloutToTheOnlyServingVersion starts a rollout to the only version that serves: there is nothing to replace.
func TestRolloutToTheOnlyServingVersion(t *testing.T) {
	m := New()
	one := wire.AnnouncedUpstream("i-1", "desk", "10.0.0.1:80", "north", false)
	one.Version = "v1"
	if res := m.startRollout(&wire.RolloutOrder{Service: "desk", Target: "v1", Span: time.Second}); res.Rollout.State != wire.RolloutRunning {
		t.Fatalf("without upstreams: %+v", res)
	}
	m = New()
	m.addMember(one)
	if res := m.startRollout(&wire.RolloutOrder{Service: "desk", Target: "v1", Span: time.Second}); res.Rollout.State != wire.RolloutCompleted {
		t.Fatalf("%+v", res)
	}
}

// TestReplacedVersionsOfARollout checks which versions are listed as replaced at the start and at the end.
func TestReplacedVersionsOfARollout(t *testing.T) {
	m := New()
	for i, version := range []string{"v1", "v2", "v0", "v1"} {
		x := wire.AnnouncedUpstream(wire.MemberID(fmt.Sprint("i-", i)), "desk", "10.0.0.1:80", "north", false)
		x.Version = version
		m.addMember(x)
		if i == 1 {
			m.startRollout(&wire.RolloutOrder{Service: "desk", Target: "v2", Span: time.Second})
		}
	}
	if got := fmt.Sprint(m.s.Rollouts.Of("desk").Replaced); got != "[v1]" {
		t.Fatalf("at the start: %s", got)
	}
	m.stepRollout(&wire.RolloutStep{Service: "desk", Base: 1, State: wire.RolloutCompleted, Share: 1})
	r := m.s.Rollouts.Of("desk")
	if got := fmt.Sprint(r.Replaced); got != "[v0 v1]" {
		t.Fatalf("at the end: %s", got)
	}
	for version, excluded := range map[string]bool{"v0": true, "v1": true, "v2": false, "v3": false} {
		if r.Excludes(version) != excluded {
			t.Errorf("%s excluded: %t", version, !excluded)
		}
	}
}
