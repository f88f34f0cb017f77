// Package planner decides which engines hold which models. The Planner is
// pure: time and everything seen come in, decisions go out. The Service of the
// same package runs it at the control leader.
package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// Spec is what the operators' text asks of one service.
type Spec struct {
	Service     string
	Artifacts   []wire.Artifact // that a warm engine holds, in loading order
	Role        string          // empty: any
	Scale       bool            // false: every engine stays warm
	Forecast    bool
	MinWarm     int
	IdleAfter   time.Duration
	WakeLead    time.Duration
	LoadTimeout time.Duration
	WeightBytes int64
	Deadline    time.Duration // smallest deadline of the pipelines that use the service
}

// Engine is one engine as its agent last reported it.
type Engine struct {
	ID       wire.MemberID
	Service  string
	State    wire.EngineState
	Running  uint64 // token of the order that its agent carries out
	Seen     uint64 // highest token that its agent has seen
	Settled  bool   // the agent has read the fence since its start
	Fence    uint64
	Last     state.OrderRecord
	InFlight int
	Queued   int
	Limit    int
	Arrivals int64 // since the plan before
}

// Input is everything that one plan depends on.
type Input struct {
	Now      time.Time
	Specs    []Spec // sorted by service
	Engines  []Engine
	Misses   map[string]int64    // attempts since the plan before that found no engine
	Forecast map[string][]uint32 // replicated, see state.ForecastSlot
}

// Plan is what should happen now.
type Plan struct {
	Issue    []state.OrderIssue // most urgent first
	End      []wire.OrderReport // orders that will get no report
	Forecast []state.ForecastSlot
	Targets  map[string]int // engines to keep warm
	Rollback *Rollback
}

// Rollback says that a version cannot be brought into service.
type Rollback struct {
	Service  string
	From, To wire.Artifact
}

const (
	targetUtilization     = 0.7  // share of an engine's limit that the working set plans with
	overloadUtilization   = 1.0  // share of the warm engines' limits above which a peak counts whole
	forecastUtilization   = 0.85 // the same for loading ahead of demand; what is seen then adds the rest
	defaultLimit          = 8
	failureBackoff        = time.Minute // after a failed load an engine is passed over this long, times the failures
	maxFailureBackoff     = 10 * time.Minute
	reportGrace           = 10 * time.Second // beyond an order's timeout
	rollbackAfterFailures = 2                // engines on which a new version failed before the old one is restored
)

// Planner remembers what hysteresis and retries need. It may be lost: a new
// one starts with the engines that are warm.
type Planner struct {
	services        map[string]*serviceHistory
	failures        map[failureKey]*loadFailures
	countedOutcomes map[wire.MemberID]uint64    // last token whose outcome was counted
	openOrders      map[wire.MemberID]openOrder // open orders and since when they are known
}

type failureKey struct {
	engine   wire.MemberID
	artifact wire.Artifact
}

type loadFailures struct {
	count int
	until time.Time
}

type openOrder struct {
	token uint64
	since time.Time
}

// NewPlanner returns a Planner without memory.
func NewPlanner() *Planner {
	return &Planner{services: map[string]*serviceHistory{}, failures: map[failureKey]*loadFailures{},
		countedOutcomes: map[wire.MemberID]uint64{}, openOrders: map[wire.MemberID]openOrder{}}
}

// Plan returns the decisions for the picture in.
func (p *Planner) Plan(in Input) Plan {
	out := Plan{Targets: map[string]int{}}
	p.recordOutcomes(in)
	p.dropObsoleteFailures(in.Specs)
	out.End = p.endUnreported(in)
	var wants []prioritizedOrder
	for _, spec := range in.Specs {
		engines := enginesOf(in.Engines, spec.Service)
		if len(engines) == 0 {
			continue
		}
		target, slots := p.targetEngines(in, spec, engines)
		out.Targets[spec.Service] = target
		out.Forecast = append(out.Forecast, slots...)
		wants = append(wants, p.reconcile(in, spec, engines, target)...)
		if out.Rollback == nil {
			out.Rollback = p.rollback(spec, engines)
		}
	}
	slices.SortStableFunc(wants, compareUrgency)
	for _, w := range wants {
		out.Issue = append(out.Issue, w.issue)
	}
	return out
}

// forgetFailures drops what failed of artifacts that are not wanted any more,
// so that a version which is wanted again later starts afresh.
func (p *Planner) dropObsoleteFailures(specs []Spec) {
	for key := range p.failures {
		wanted := slices.ContainsFunc(specs, func(s Spec) bool { return slices.Contains(s.Artifacts, key.artifact) })
		if !wanted {
			delete(p.failures, key)
		}
	}
}

func enginesOf(all []Engine, service string) []Engine {
	var out []Engine
	for _, e := range all {
		if e.Service == service && e.State.TakesOrders {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// want is an order with its urgency.
type prioritizedOrder struct {
	issue    state.OrderIssue
	waiting  bool // attempts wait for it
	deadline time.Duration
}

// compareWants puts orders that need no bytes first, since they cost the
// budget nothing, then loads that attempts wait for, then by deadline.
func compareUrgency(a, b prioritizedOrder) int {
	if free := cmp.Compare(min(a.issue.Order.Bytes, 1), min(b.issue.Order.Bytes, 1)); free != 0 {
		return free
	}
	if a.waiting != b.waiting {
		if a.waiting {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.deadline, b.deadline)
}

// target returns how many engines should be warm, and what was learned for
// the forecast. It rises at once and falls only after IdleAfter.
func (p *Planner) targetEngines(in Input, spec Spec, engines []Engine) (int, []state.ForecastSlot) {
	if !spec.Scale {
		return len(engines), nil
	}
	m := p.services[spec.Service]
	if m == nil {
		m = &serviceHistory{}
		p.services[spec.Service] = m
		m.recentNeed.push(in.Now, countWarm(engines), spec.IdleAfter)
	}
	load, limit := currentLoad(engines, in.Misses[spec.Service])
	m.smoothLoad(in.Now, load)
	need := enginesNeeded(load, limit, targetUtilization)
	if warm := countWarm(engines); load <= overloadUtilization*float64(limit*warm) {
		need = min(need, warm+1) // a short peak within what is warm calls for one more at most
	}
	var slots []state.ForecastSlot
	if spec.Forecast {
		seen := in.Forecast[spec.Service]
		need = max(need, enginesNeeded(forecastPeak(seen, in.Now, spec.WakeLead), limit, forecastUtilization))
		slots = m.updateForecast(in.Now, spec.Service, seen)
	}
	need = max(need, spec.MinWarm)
	return min(m.recentNeed.push(in.Now, need, spec.IdleAfter), len(engines)), slots
}

// demand returns the attempts in flight or waiting, and an engine's limit.
func currentLoad(engines []Engine, misses int64) (float64, int) {
	load, limit := float64(misses), 0
	arrivals := misses
	for _, e := range engines {
		load += float64(e.InFlight + e.Queued)
		arrivals += e.Arrivals
		limit = max(limit, e.Limit)
	}
	if arrivals > 0 {
		load = max(load, 1)
	}
	if limit == 0 {
		limit = defaultLimit
	}
	return load, limit
}

func enginesNeeded(load float64, limit int, used float64) int {
	return int(math.Ceil(load / (used * float64(limit))))
}

func countWarm(engines []Engine) int {
	n := 0
	for _, e := range engines {
		if len(e.State.Holds) > 0 {
			n++
		}
	}
	return n
}
