package commands

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"caperdrum.org/api/wire"
	"caperdrum.org/ctl/adminclient"
)

// cost is the sum of the cost metrics of all processes since their starts.
type cost struct {
	services  map[string]*serviceCost
	stages    map[string]*stageCost
	unreached []string // debug addresses that did not respond
}

// serviceCost is in seconds, summed over all upstreams of a service.
type serviceCost struct {
	upstreams                 int
	held, waking, attemptsRan float64
}

// stageCost is in seconds, summed over all attempts of a stage.
type stageCost struct{ calls, used, wasted float64 }

// gatherCost reads the metrics of all members.
func gatherCost(ctx context.Context, cl *adminclient.Client, members []wire.MemberStatus) *cost {
	addresses := make([]string, len(members))
	for i, m := range members {
		addresses[i] = m.Debug
	}
	return sumCost(members, cl.Vars(ctx, addresses))
}

// sumCost adds up the metrics of the members. members and vars have the same order.
func sumCost(members []wire.MemberStatus, vars []adminclient.Vars) *cost {
	c := &cost{services: map[string]*serviceCost{}, stages: map[string]*stageCost{}}
	for i, v := range vars {
		if v.Err != nil {
			c.unreached = append(c.unreached, v.Address)
			continue
		}
		if service := members[i].Service; service != "" {
			s := entryFor(c.services, service)
			s.upstreams++
			s.held += v.Number("upstream_held_seconds")
			s.waking += v.Number("upstream_wake_seconds")
			s.attemptsRan += v.Number("gate_busy_seconds")
		}
		for stage, n := range v.Numbers("stage_calls") {
			entryFor(c.stages, stage).calls += n
		}
		for stage, n := range v.Numbers("stage_upstream_seconds") {
			entryFor(c.stages, stage).used += n
		}
		for stage, n := range v.Numbers("stage_wasted_seconds") {
			entryFor(c.stages, stage).wasted += n
		}
	}
	return c
}

func entryFor[T any](m map[string]*T, key string) *T {
	if m[key] == nil {
		m[key] = new(T)
	}
	return m[key]
}

func (c *cost) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tUPSTREAMS\tHELD s\tWAKING s\tATTEMPTS RAN s")
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[name]
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\n", name, s.upstreams, s.held, s.waking, s.attemptsRan)
	}
	w.Flush()
	fmt.Fprintln(w, "STAGE\tATTEMPTS\tTIME s\tWASTED s")
	for _, name := range slices.Sorted(maps.Keys(c.stages)) {
		s := c.stages[name]
		fmt.Fprintf(w, "%s\t%.0f\t%.1f\t%.1f\n", name, s.calls, s.used, s.wasted)
	}
	w.Flush()
	for _, a := range c.unreached {
		fmt.Fprintf(out, "cost not counted: %s did not answer\n", a)
	}
}
