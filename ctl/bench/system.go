package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"caperdrum.org/api/wire"
	"caperdrum.org/ctl/adminclient"
)

// system is the running system under test.
type system struct {
	admin        *adminclient.Client
	balancer     *balancer
	agents       int
	activeConfig string // empty until apply has succeeded once
}

const (
	applyTimeout       = 20 * time.Second
	systemReadyTimeout = 30 * time.Second
	pollInterval       = 50 * time.Millisecond
)

// apply puts a configuration in force on every member, unless it already is.
func (s *system) apply(ctx context.Context, text string) error {
	if text == s.activeConfig {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	current, err := s.admin.Config(ctx)
	if err != nil {
		return err
	}
	res, err := s.admin.Apply(ctx, wire.ChangeRequest{Number: current.Version + 1, Text: text, ChangeID: uuid.NewString(), Author: "bench"})
	if err != nil {
		return err
	}
	if !res.Accepted {
		return fmt.Errorf("the configuration was rejected: %s", res.Reason)
	}
	s.activeConfig = text
	return s.waitForMembers(ctx, "the configuration in force", func(m wire.MemberStatus) bool { return m.ConfigVersion >= res.Version })
}

// waitReady waits until every agent accepts work and every entry is ready.
func (s *system) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, systemReadyTimeout)
	defer cancel()
	if err := s.waitForMembers(ctx, "upstreams in service", func(m wire.MemberStatus) bool { return !m.Leaving }); err != nil {
		return err
	}
	for s.balancer.readyCount() < len(s.balancer.entries) {
		if !sleepContext(ctx, pollInterval) {
			return fmt.Errorf("only %d of %d entries are ready", s.balancer.readyCount(), len(s.balancer.entries))
		}
	}
	return nil
}

func (s *system) waitForMembers(ctx context.Context, what string, ok func(wire.MemberStatus) bool) error {
	for {
		rows, err := s.admin.Members(ctx)
		agents, missing := 0, ""
		for _, m := range rows {
			if m.Service != "" {
				agents++
			}
			if !ok(m) {
				missing = string(m.ID)
			}
		}
		if err == nil && missing == "" && agents >= s.agents {
			return nil
		}
		if !sleepContext(ctx, pollInterval) {
			return fmt.Errorf("timed out waiting for %s: %d of %d agents, missing %s (%v)", what, agents, s.agents, missing, err)
		}
	}
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// counterNameParts are parts of the names of the metrics that a report includes.
var counterNameParts = []string{"retries", "hedge", "resum", "eject", "brownout", "stage_upstream_seconds", heldSeconds}

// heldSeconds is the metric for how long the upstream of an agent had a model loaded or was under an order.
const heldSeconds = "upstream_held_seconds"

// countersByMember are metrics by member and name. Metrics of agents that count for their service have the
// service in their name.
type countersByMember map[wire.MemberID]map[string]float64

// addDeltas adds the increase of the counters to sum. Counters of a process that was restarted in between
// started from zero.
func (c countersByMember) addDeltas(before countersByMember, sum map[string]float64) {
	for id, vars := range c {
		for name, v := range vars {
			if old := before[id][name]; old <= v {
				v -= old
			}
			sum[name] += v
		}
	}
}

func (s *system) counters(ctx context.Context) countersByMember {
	out := countersByMember{}
	rows, err := s.admin.Members(ctx)
	if err != nil {
		return out // the report has no counters then; costs are taken from the stand-ins
	}
	for _, m := range rows {
		vars := map[string]float64{}
		s.addVars(ctx, m.Debug, vars)
		if held, ok := vars[heldSeconds]; ok { // of an agent: counted as cost of its service
			delete(vars, heldSeconds)
			vars[heldSeconds+"/"+m.Service] = held
		}
		out[m.ID] = vars
	}
	return out
}

func (s *system) addVars(ctx context.Context, address string, out map[string]float64) {
	vars, err := s.admin.ProcessVars(ctx, address)
	if err != nil {
		return // the entry was killed
	}
	for name, raw := range vars {
		for _, w := range counterNameParts {
			if strings.Contains(name, w) {
				addNumbers(name, raw, out)
				break
			}
		}
	}
}

func addNumbers(name string, raw json.RawMessage, out map[string]float64) {
	var one float64
	if json.Unmarshal(raw, &one) == nil {
		out[name] += one
		return
	}
	var many map[string]float64
	if json.Unmarshal(raw, &many) == nil {
		for k, v := range many {
			out[name+"/"+k] += v
		}
	}
}
