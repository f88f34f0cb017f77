package planner

import (
	"cmp"
	"slices"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// rolloutFraction bounds how many of a service's wanted engines change their artifacts at the same time: one
// in so many, but at least one.
const rolloutFraction = 4

// reconcile compares the reported state of the engines with the wanted one and returns at most one order per
// engine.
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
	changing := 0 // wanted engines that hold artifacts and have an order, open or new
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

// acceptsOrder reports whether the engine can get a new order: its report is newer than the last order, and
// no order is open in the replicated state, at its agent or at the engine itself.
func acceptsOrder(e Engine) bool {
	return e.Synced && e.Seen >= e.Fence && e.Last.State != wire.OrderOpen && e.Running == 0 && !e.State.Busy
}

// orderFor returns the engine's next order, or nil.
func (p *Planner) orderFor(now time.Time, spec Spec, e Engine, wanted, othersWarm bool) *wire.Order {
	if !wanted {
		if len(e.State.Holds) == 0 || !othersWarm {
			return nil // until the wanted engines are warm, this may be the only one that serves
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

// firstMissing returns the first wanted artifact that the engine does not hold, or nil.
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

// nextToUnload returns an adapter before a model, as adapters depend on their model.
func nextToUnload(held []wire.Artifact) wire.Artifact {
	for _, a := range held {
		if a.Adapter != "" {
			return a
		}
	}
	return held[0]
}

// rank sorts engines by how soon and how cheaply they can serve: warm ones, loading ones, those that
// hold other artifacts, those with cached weights, the rest. Engines whose last load failed come last. At
// equal cost busy engines come first, so that an unload interrupts as few attempts as possible.
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

// recordOutcomes counts failed loads, each order once.
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

// endUnreported returns outcomes for the open orders that will get no report: the agent has seen the token
// but is not executing the order, or the timeout has passed.
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
		case e.Synced && e.Seen >= token && e.Running != token:
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

// rollback proposes to restore the version that engines still hold if the wanted one failed on several
// engines and runs on none.
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
