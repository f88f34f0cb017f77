package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/planner"
	"caperdrum.org/node/state"
)

var (
	model1 = wire.Artifact{Model: "m", Version: "1"}
	model2 = wire.Artifact{Model: "m", Version: "2"}
	origin = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)
)

func spec() planner.Spec {
	return planner.Spec{Service: "llm", Artifacts: []wire.Artifact{model1}, Scale: true, MinWarm: 1, IdleAfter: 10 * time.Minute,
		LoadTimeout: time.Minute, WeightBytes: 100, Deadline: time.Second}
}

// fleet simulates a control leader with replicated state, and engines that carry out their orders when finish
// is called. Agents report without delay.
type fleet struct {
	machine *state.Machine
	planner *planner.Planner
	now     time.Time
	spec    planner.Spec
	engines map[wire.MemberID]*fakeEngine
	ids     []wire.MemberID
	issued  int
	fails   map[failureKey]bool
}

type failureKey struct {
	engine  wire.MemberID
	version string
}

type fakeEngine struct {
	holds, cached []wire.Artifact
	open          *wire.Order
	seen          uint64
	load          int
	stuck         bool
	forgot        bool              // lost its models since its last report
	outcome       *wire.OrderReport // not reported yet
	reported      planner.Engine    // the last report to the leader
}

func newFleet(n int, sp planner.Spec) *fleet {
	f := &fleet{machine: state.New(), planner: planner.NewPlanner(), now: origin, spec: sp, engines: map[wire.MemberID]*fakeEngine{}, fails: map[failureKey]bool{}}
	for i := range n {
		id := wire.MemberID(fmt.Sprintf("e%02d", i))
		f.ids = append(f.ids, id)
		f.engines[id] = &fakeEngine{}
	}
	return f
}

type fataler interface{ Fatalf(string, ...any) }

func (f *fleet) apply(t fataler, c *state.OrderCommand) []state.IssueResult {
	data, err := state.Command{Orders: c}.Encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	res, err := f.machine.Apply(data)
	if err != nil {
		t.Fatalf("apply: %v", err)
	}
	return res.Orders
}

func (f *fleet) input(misses int64) planner.Input {
	v := f.machine.View()
	in := planner.Input{Now: f.now, Specs: []planner.Spec{f.spec}, Forecast: v.Forecast, Misses: map[string]int64{"llm": misses}}
	for _, id := range f.ids {
		pe := f.engines[id].reported
		pe.Fence, pe.Last = v.Fences[id], v.Orders[id]
		in.Engines = append(in.Engines, pe)
	}
	return in
}

// plan makes one plan from the reported states, and replicates it.
func (f *fleet) plan(t fataler, misses int64) planner.Plan {
	p := f.planner.Plan(f.input(misses))
	for _, i := range p.Issue {
		if e := f.engines[i.Order.Upstream]; i.Order.Kind == wire.OrderLoad && !e.forgot && slices.Contains(e.holds, i.Order.Artifact) {
			t.Fatalf("%s is ordered to load an artifact that it holds", i.Order.Upstream)
		}
	}
	res := f.apply(t, &state.OrderCommand{Epoch: 1, Issue: p.Issue, End: p.End, Forecast: p.Forecast})
	for i, r := range res {
		if r.Refused != "" {
			t.Fatalf("order %+v refused: %s", p.Issue[i].Order, r.Refused)
		}
		f.issued++
	}
	return p
}

// poll is one complete exchange between an agent and the leader.
func (f *fleet) poll(t fataler, id wire.MemberID) {
	e := f.engines[id]
	if e.outcome != nil {
		f.apply(t, &state.OrderCommand{Epoch: 1, End: []wire.OrderReport{*e.outcome}})
		e.outcome = nil
	}
	e.forgot = false
	e.reported = planner.Engine{ID: id, Service: "llm", Synced: true, Seen: e.seen, Limit: 10, InFlight: e.load,
		State: wire.EngineState{TakesOrders: true, Holds: slices.Clone(e.holds), Cached: slices.Clone(e.cached)}}
	if e.open != nil {
		e.reported.Running = e.open.Token
	}
	v := f.machine.View()
	rec := v.Orders[id]
	switch {
	case rec.State != wire.OrderOpen:
		e.seen = max(e.seen, v.Fences[id])
	case rec.Order.Token > e.seen && e.open == nil:
		e.open, e.seen = &rec.Order, rec.Order.Token
	}
}

func (f *fleet) pollAll(t fataler) {
	for _, id := range f.ids {
		f.poll(t, id)
	}
}

// finish lets the engines complete their orders.
func (f *fleet) finish() {
	for _, id := range f.ids {
		e := f.engines[id]
		if e.open == nil || e.stuck {
			continue
		}
		o := e.open
		e.open = nil
		report := wire.OrderReport{Upstream: id, Token: o.Token, State: wire.OrderDone}
		switch {
		case o.Kind == wire.OrderUnload:
			e.holds = slices.DeleteFunc(e.holds, func(a wire.Artifact) bool { return a == o.Artifact })
		case f.fails[failureKey{id, o.Artifact.Version}]:
			report.State = wire.OrderFailed
		default:
			e.holds = append(e.holds, o.Artifact)
			e.cached = append(e.cached, o.Artifact)
		}
		e.outcome = &report
	}
}

func (f *fleet) round(t fataler, misses int64) planner.Plan {
	f.now = f.now.Add(time.Second)
	f.pollAll(t)
	p := f.plan(t, misses)
	f.pollAll(t)
	f.finish()
	f.pollAll(t)
	return p
}

func (f *fleet) warm(a wire.Artifact) int {
	n := 0
	for _, e := range f.engines {
		if slices.Contains(e.holds, a) {
			n++
		}
	}
	return n
}

// settle runs rounds without faults until the planner issues no more orders.
func (f *fleet) settle(t fataler) {
	quiet := 0
	for range 2000 {
		before := f.issued
		f.round(t, 0)
		if quiet++; f.issued != before {
			quiet = 0
		}
		if quiet > 700 { // longer than IdleAfter and the backoff after failures
			return
		}
	}
	t.Fatalf("the planner keeps issuing orders")
}

// needFor returns how many engines with a limit of 10 a load requires: one per 7 attempts, but at most one
// more than are warm while those are not full.
func needFor(f *fleet, load int) int {
	need, warm := (load+6)/7, f.warm(model1)
	if load <= 10*warm {
		need = min(need, warm+1)
	}
	return max(need, 1)
}

// TestHysteresis compares the target with the maximum over the trailing window, and checks that the target
// does not rise to the same level twice within IdleAfter.
func TestHysteresis(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(8, spec())
		type sample struct {
			at   time.Time
			need int
		}
		var needs []sample
		crossed := map[int]time.Time{}
		last := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 2, 5, 30, 300}).Draw(t, "seconds")) * time.Second)
			load := rapid.IntRange(0, 70).Draw(t, "load")
			f.engines["e00"].load = load
			need := needFor(f, load)
			needs = append(needs, sample{f.now, need})
			want := 0
			for _, s := range needs {
				if f.now.Sub(s.at) <= f.spec.IdleAfter {
					want = max(want, s.need)
				}
			}
			f.now = f.now.Add(-time.Second)
			got := f.round(t, 0).Targets["llm"]
			if got != min(want, 8) {
				t.Fatalf("target %d, want %d", got, want)
			}
			for level := last + 1; level <= got; level++ {
				if at, ok := crossed[level]; ok && f.now.Sub(at) <= f.spec.IdleAfter {
					t.Fatalf("level %d was reached twice within %s", level, f.now.Sub(at))
				}
				crossed[level] = f.now
			}
			last = got
		}
	})
}

// TestReconcile mixes changes of leader, engines that lose their models, failed loads and agents that lose an
// order. Afterwards the fleet must converge to the wanted state, and a new leader must not issue orders
// there.
func TestReconcile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 6).Draw(t, "engines"), spec())
		pick := func(t *rapid.T) *fakeEngine { return f.engines[rapid.SampledFrom(f.ids).Draw(t, "engine")] }
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(t *rapid.T) {
				f.now = f.now.Add(time.Second)
				f.plan(t, int64(rapid.IntRange(0, 40).Draw(t, "misses")))
			},
			"carry out":     func(*rapid.T) { f.finish() },
			"poll":          func(t *rapid.T) { f.poll(t, rapid.SampledFrom(f.ids).Draw(t, "engine")) },
			"poll all":      func(t *rapid.T) { f.pollAll(t) },
			"new leader":    func(*rapid.T) { f.planner = planner.NewPlanner() },
			"forget":        func(t *rapid.T) { e := pick(t); e.holds, e.cached, e.forgot = nil, nil, true },
			"agent restart": func(t *rapid.T) { f.restart(pick(t)) },
			"load":          func(t *rapid.T) { pick(t).load = rapid.IntRange(0, 20).Draw(t, "attempts") },
			"fail": func(t *rapid.T) {
				id := rapid.SampledFrom(f.ids).Draw(t, "engine")
				f.fails[failureKey{id, "1"}] = rapid.Bool().Draw(t, "fails")
			},
		})
		clear(f.fails)
		total := 0
		for _, e := range f.engines {
			total += e.load
		}
		f.settle(t)
		want := min(max((total+6)/7, 1), len(f.ids))
		if got := f.warm(model1); got != want {
			t.Fatalf("%d engines are warm, want %d", got, want)
		}
		before := f.issued
		f.planner = planner.NewPlanner()
		f.settle(t)
		if f.issued != before {
			t.Fatalf("a new leader issued %d orders to a converged fleet", f.issued-before)
		}
	})
}

// restart loses the agent's state; it reads the fence before it continues.
func (f *fleet) restart(e *fakeEngine) {
	e.open, e.outcome = nil, nil
	for _, id := range f.ids {
		if f.engines[id] == e {
			e.seen = f.machine.View().Fences[id]
		}
	}
}

// TestLostOrderIsRepeatedSoon checks that an order which a restarted agent does not know ends at the next
// plan, not at its timeout.
func TestLostOrderIsRepeatedSoon(t *testing.T) {
	f := newFleet(1, spec())
	f.pollAll(t)
	f.plan(t, 0)
	f.pollAll(t)
	f.restart(f.engines["e00"])
	for range 3 {
		f.round(t, 0)
	}
	if f.warm(model1) != 1 {
		t.Fatalf("still cold after 3 rounds: %+v", f.machine.View().Orders)
	}
}

// TestStuckLoadIsRetriedElsewhere checks that an order ends after its timeout, and that another engine gets
// the load while the stuck one gets no new orders.
func TestStuckLoadIsRetriedElsewhere(t *testing.T) {
	f := newFleet(2, spec())
	f.engines["e00"].stuck = true
	for range 120 {
		f.round(t, 1)
	}
	if len(f.engines["e01"].holds) == 0 {
		t.Fatal("the load was not retried at the other engine")
	}
	if tokens := f.machine.View().Fences["e00"]; tokens != 1 {
		t.Fatalf("the stuck engine got another order, token %d", tokens)
	}
}

// TestRollout checks that every engine changes to the new version, and that no more than one engine of four
// is interrupted at a time.
func TestRollout(t *testing.T) {
	sp := spec()
	sp.Scale = false
	f := newFleet(4, sp)
	f.settle(t)
	f.spec.Artifacts = []wire.Artifact{model2}
	for range 100 {
		f.now = f.now.Add(time.Second)
		f.pollAll(t)
		f.plan(t, 0)
		f.pollAll(t)
		interrupted := 0
		for _, e := range f.engines {
			if len(e.holds) == 0 || e.open != nil && e.open.Kind != wire.OrderLoad {
				interrupted++
			}
		}
		if interrupted > 1 {
			t.Fatalf("%d engines of 4 are interrupted at once", interrupted)
		}
		f.finish()
	}
	if f.warm(model2) != 4 || f.warm(model1) != 0 {
		t.Fatalf("%d engines hold the new version and %d the old one", f.warm(model2), f.warm(model1))
	}
}

// TestRollback checks that a version which cannot be loaded is given up after two engines failed, while the
// old one keeps serving on all engines.
func TestRollback(t *testing.T) {
	sp := spec()
	sp.Scale = false
	f := newFleet(4, sp)
	f.settle(t)
	f.spec.Artifacts = []wire.Artifact{model2}
	for _, id := range f.ids {
		f.fails[failureKey{id, "2"}] = true
	}
	for range 100 {
		if r := f.round(t, 0).Rollback; r != nil {
			if r.From != model2 || r.To != model1 || f.warm(model1) != 4 {
				t.Fatalf("rollback %+v with %d engines on the old version", r, f.warm(model1))
			}
			retryRollout(t, f)
			return
		}
	}
	t.Fatal("no rollback was proposed")
}

// retryRollout checks that, after a rollback and a repair of the version, it is rolled out without regard to
// the old failures.
func retryRollout(t *testing.T, f *fleet) {
	f.spec.Artifacts = []wire.Artifact{model1}
	f.round(t, 0)
	clear(f.fails)
	f.spec.Artifacts = []wire.Artifact{model2}
	for range 100 {
		if r := f.round(t, 0).Rollback; r != nil {
			t.Fatalf("rolled back for old failures: %+v", r)
		}
	}
	if f.warm(model2) != 4 {
		t.Fatalf("%d engines hold the repaired version", f.warm(model2))
	}
}

// TestForecastLoadsEnginesBeforeABurst checks that engines are warm before a burst that was seen on the day before.
func TestForecastLoadsEnginesBeforeABurst(t *testing.T) {
	sp := spec()
	sp.Forecast, sp.WakeLead = true, 5*time.Minute
	f := newFleet(8, sp)
	const burst = 9 * 60 // minute of the day
	for minute := range 2 * 24 * 60 {
		f.now = origin.Add(time.Duration(minute) * time.Minute)
		ofDay := minute % (24 * 60)
		f.engines["e00"].load = 0
		if ofDay >= burst && ofDay < burst+30 {
			f.engines["e00"].load = 40
		}
		f.round(t, 0)
		// 40 attempts at a limit of 10: 5 engines are loaded ahead, at 85 % of their limit, and a 6th once
		// the burst is seen, at 70 %.
		if got := f.warm(model1); minute == 24*60+burst-1 && got != 5 || minute == 24*60+burst+1 && got != 6 {
			t.Fatalf("%d engines are warm at minute %d", got, minute)
		}
		if ofDay == burst-10 && f.warm(model1) != 1 {
			t.Fatalf("%d engines are warm outside the burst", f.warm(model1))
		}
	}
}

func TestMostUrgentDeadlineFirst(t *testing.T) {
	slow, quick := spec(), spec()
	slow.Service, slow.Deadline = "drafts", time.Minute
	quick.Service = "quotes"
	in := planner.Input{Now: origin, Specs: []planner.Spec{slow, quick}}
	for _, service := range []string{"drafts", "quotes"} {
		in.Engines = append(in.Engines, planner.Engine{ID: wire.MemberID(service), Service: service, Synced: true, State: wire.EngineState{TakesOrders: true}})
	}
	p := planner.NewPlanner().Plan(in)
	if len(p.Issue) != 2 || p.Issue[0].Order.Upstream != "quotes" {
		t.Fatalf("orders %+v", p.Issue)
	}
}
