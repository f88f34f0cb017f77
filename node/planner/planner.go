// Package planner decides which engines hold which models. The Planner is deterministic: its input contains
// the time and everything observed, its output the decisions. The Service runs it at the control leader.
package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// Spec is what the configuration requires of one service.
type Spec struct {
	Service     string
	Artifacts   []wire.Artifact // artifacts that a warm engine holds, in loading order
	Role        string          // required engine role; empty means any
	Scale       bool            // false keeps every engine warm
	Forecast    bool
	MinWarm     int
	IdleAfter   time.Duration
	WakeLead    time.Duration
	LoadTimeout time.Duration
	WeightBytes int64
	Deadline    time.Duration // shortest deadline of the pipelines that use the service
}

// Engine is the state of one engine by its agent's last report.
type Engine struct {
	ID       wire.MemberID
	Service  string
	State    wire.EngineState
	Running  uint64 // token of the order that its agent is executing; zero means none
	Seen     uint64 // highest token that its agent has seen
	Synced   bool   // the agent has read the fence since its start, and its order reports are replicated
	Fence    uint64
	Last     state.OrderRecord
	InFlight int
	Queued   int
	Limit    int
	Arrivals int64 // since the previous plan
}

// Input holds everything on which a plan depends.
type Input struct {
	Now      time.Time
	Specs    []Spec // sorted by service
	Engines  []Engine
	Misses   map[string]int64    // by service: attempts since the previous plan that found no engine
	Forecast map[string][]uint32 // by service: replicated values, see state.ForecastSlot
}

// Plan holds the decisions to replicate.
type Plan struct {
	Issue    []state.OrderIssue // most urgent first
	End      []wire.OrderReport // outcomes of orders that no agent will report
	Forecast []state.ForecastSlot
	Targets  map[string]int // by service: number of engines to keep warm
	Rollback *Rollback
}

// Rollback proposes to restore an artifact because its new version cannot be loaded.
type Rollback struct {
	Service  string
	From, To wire.Artifact
}

const (
	targetUtilization     = 0.7  // of the engines' limits at which the number of engines is planned
	overloadUtilization   = 1.0  // of the warm engines' limits, above which a peak may add more than one engine
	forecastUtilization   = 0.85 // of the limits of engines loaded ahead of demand; observed demand adds the rest
	defaultLimit          = 8
	failureBackoff        = time.Minute // time per failure for which an engine is skipped after failed loads
	maxFailureBackoff     = 10 * time.Minute
	reportGrace           = 10 * time.Second // time after an order's timeout until it counts as failed
	rollbackAfterFailures = 2                // engines on which a new version must fail before the old one is restored
)

// Planner keeps the state for hysteresis and retries. The state need not survive a change of leader: a new
// Planner starts from the engines that are warm.
type Planner struct {
	services        map[string]*serviceHistory
	failures        map[failureKey]*loadFailures
	countedOutcomes map[wire.MemberID]uint64    // token of the last order whose outcome was recorded
	openOrders      map[wire.MemberID]openOrder // open orders, with the time when this planner first saw them
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

// NewPlanner returns a Planner without history.
func NewPlanner() *Planner {
	return &Planner{services: map[string]*serviceHistory{}, failures: map[failureKey]*loadFailures{},
		countedOutcomes: map[wire.MemberID]uint64{}, openOrders: map[wire.MemberID]openOrder{}}
}

// Plan returns the decisions for one input. Times must not decrease between calls.
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

// dropObsoleteFailures drops the failures of artifacts that are no longer wanted, so that a version which is
// wanted again later is retried without backoff.
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

// prioritizedOrder is an order with the data that decides its urgency.
type prioritizedOrder struct {
	issue    state.OrderIssue
	waiting  bool // attempts are waiting for it
	deadline time.Duration
}

// compareUrgency sorts orders that transfer no bytes first, as they need no budget, then loads for which
// attempts are waiting, then by deadline.
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

// targetEngines returns how many engines should be warm, and the changes to the forecast. The number rises at
// once and falls only after IdleAfter.
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
		need = min(need, warm+1) // a short peak within the warm engines' limits adds at most one engine
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

// currentLoad returns the attempts in flight or waiting, and the limit of one engine.
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
