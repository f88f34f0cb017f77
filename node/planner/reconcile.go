package planner

import (
	"cmp"
	"slices"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// changeShare is the part of a service's serving engines, one in so many, that
// a roll-out changes at a time.
const rolloutFraction = 4

// reconcile compares what the engines report with what they should hold and
// returns at most one order per engine.
func (p *Planner) reconcile(in Input, spec Spec, engines []Engine, target int) []prioritizedOrder {
	ranked := p.rank(in.Now, spec, engines)
	warm := 0
	for _, e := range ranked[:target] {
		if firstMissing(spec, e) == nil {
			warm++
		}
	}
	waiting := in.Misses[spec.Service] > 0
	for _, e := range engines {
		waiting = waiting || e.Queued > 0
	}
	changing := 0 // wanted engines that serve and are told to change
	for _, e := range ranked[:target] {
		if e.Last.State == wire.OrderOpen && len(e.State.Holds) > 0 {
			changing++
		}
	}
	var out []prioritizedOrder
	for i, e := range ranked {
		if !acceptsOrder(e) {
			continue
		}
		order := p.orderFor(in.Now, spec, e, i < target, warm >= target)
		if order == nil {
			continue
		}
		if i < target && len(e.State.Holds) > 0 {
			if changing >= max(1, target/rolloutFraction) {
				continue
			}
			changing++
		}
		order.Upstream, order.Timeout = e.ID, spec.LoadTimeout
		out = append(out, prioritizedOrder{issue: state.OrderIssue{After: e.Fence, Order: *order}, waiting: waiting, deadline: spec.Deadline})
	}
	return out
}

// ready reports whether the engine can be told something: its report is newer
// than the last order, and nothing is open in the state, at its agent or at
// the engine itself.
func acceptsOrder(e Engine) bool {
	return e.Settled && e.Seen >= e.Fence && e.Last.State != wire.OrderOpen && e.Running == 0 && !e.State.Busy
}

// orderFor returns what the engine should do next, or nil.
func (p *Planner) orderFor(now time.Time, spec Spec, e Engine, wanted, othersWarm bool) *wire.Order {
	if !wanted {
		if len(e.State.Holds) == 0 || !othersWarm {
			return nil // it may be all that serves until the wanted ones are warm
		}
		return &wire.Order{Kind: wire.OrderUnload, Artifact: nextToUnload(e.State.Holds)}
	}
	if spec.Role != "" && e.State.Role != spec.Role {
		return &wire.Order{Kind: wire.OrderSetRole, Role: spec.Role}
	}
	if a := firstMissing(spec, e); a != nil {
		if f := p.failures[failureKey{e.ID, *a}]; f != nil && now.Before(f.until) {
			return nil
		}
		order := &wire.Order{Kind: wire.OrderLoad, Artifact: *a, Bytes: spec.WeightBytes}
		if slices.Contains(e.State.Cached, *a) {
			order.Bytes = 0
		}
		return order
	}
	if extra := unwanted(spec, e); len(extra) > 0 {
		return &wire.Order{Kind: wire.OrderUnload, Artifact: nextToUnload(extra)}
	}
	return nil
}

// missing returns the first artifact that a warm engine lacks.
func firstMissing(spec Spec, e Engine) *wire.Artifact {
	for _, a := range spec.Artifacts {
		if !slices.Contains(e.State.Holds, a) {
			return &a
		}
	}
	return nil
}

func unwanted(spec Spec, e Engine) []wire.Artifact {
	var out []wire.Artifact
	for _, a := range e.State.Holds {
		if !slices.Contains(spec.Artifacts, a) {
			out = append(out, a)
		}
	}
	return out
}

// lastHeld returns an adapter before a model, since the model carries it.
func nextToUnload(held []wire.Artifact) wire.Artifact {
	for _, a := range held {
		if a.Adapter != "" {
			return a
		}
	}
	return held[0]
}

// rank sorts engines by how soon and how cheaply they serve: warm ones, those
// that are loading or hold a part, those with the weights at hand, the rest.
// Engines that failed lately come last. Busy ones go before idle ones, so
// that an unload cuts off the fewest attempts.
func (p *Planner) rank(now time.Time, spec Spec, engines []Engine) []Engine {
	out := slices.Clone(engines)
	slices.SortStableFunc(out, func(a, b Engine) int {
		if c := cmp.Compare(p.warmupCost(now, spec, a), p.warmupCost(now, spec, b)); c != 0 {
			return c
		}
		return cmp.Compare(b.InFlight+b.Queued, a.InFlight+a.Queued)
	})
	return out
}

const (
	costWarm = iota
	costLoading
	costOtherVersion
	costCached
	costCold
	costFailed
)

func (p *Planner) warmupCost(now time.Time, spec Spec, e Engine) int {
	a := firstMissing(spec, e)
	if a == nil {
		return costWarm
	}
	if f := p.failures[failureKey{e.ID, *a}]; f != nil && now.Before(f.until) {
		return costFailed
	}
	switch {
	case e.Last.State == wire.OrderOpen && e.Last.Order.Kind == wire.OrderLoad:
		return costLoading
	case len(e.State.Holds) > 0:
		return costOtherVersion
	case slices.Contains(e.State.Cached, *a):
		return costCached
	default:
		return costCold
	}
}

// learnOutcomes counts failed loads, once per order.
func (p *Planner) recordOutcomes(in Input) {
	for _, e := range in.Engines {
		last := e.Last
		if last.State == wire.OrderOpen || last.Order.Token == 0 || p.countedOutcomes[e.ID] == last.Order.Token {
			continue
		}
		p.countedOutcomes[e.ID] = last.Order.Token
		if last.Order.Kind != wire.OrderLoad {
			continue
		}
		key := failureKey{e.ID, last.Order.Artifact}
		if last.State != wire.OrderFailed {
			delete(p.failures, key)
			continue
		}
		f := p.failures[key]
		if f == nil {
			f = &loadFailures{}
			p.failures[key] = f
		}
		f.count++
		f.until = in.Now.Add(min(time.Duration(f.count)*failureBackoff, maxFailureBackoff))
	}
}

// overdue ends the orders that will get no report: the agent saw the token and
// does not run it, or the timeout has passed.
func (p *Planner) endUnreported(in Input) []wire.OrderReport {
	var out []wire.OrderReport
	open := map[wire.MemberID]openOrder{}
	for _, e := range in.Engines {
		if e.Last.State != wire.OrderOpen {
			continue
		}
		token := e.Last.Order.Token
		first := p.openOrders[e.ID]
		if first.token != token {
			first = openOrder{token, in.Now}
		}
		open[e.ID] = first
		report := wire.OrderReport{Upstream: e.ID, Token: token}
		switch {
		case e.Settled && e.Seen >= token && e.Running != token:
			report.State, report.Detail = wire.OrderInterrupted, "the agent does not run it"
		case in.Now.Sub(first.since) > e.Last.Order.Timeout+reportGrace:
			report.State, report.Detail = wire.OrderFailed, "no report in time"
		default:
			continue
		}
		out = append(out, report)
	}
	p.openOrders = open
	return out
}

// rollback proposes the version that engines still hold when the wanted one
// failed on several engines and runs on none.
func (p *Planner) rollback(spec Spec, engines []Engine) *Rollback {
	for _, a := range spec.Artifacts {
		failed := 0
		var old *wire.Artifact
		for _, e := range engines {
			if slices.Contains(e.State.Holds, a) {
				failed = 0
				break
			}
			if p.failures[failureKey{e.ID, a}] != nil {
				failed++
			}
			for _, h := range e.State.Holds {
				if h.Model == a.Model && h.Adapter == a.Adapter {
					old = &h
				}
			}
		}
		if old != nil && failed >= min(rollbackAfterFailures, len(engines)) {
			return &Rollback{Service: spec.Service, From: a, To: *old}
		}
	}
	return nil
}
