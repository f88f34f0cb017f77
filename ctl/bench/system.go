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

// system is the running system under measurement.
type system struct {
	admin    *adminclient.Client
	balancer *balancer
	agents   int
	text     string // in force
}

const (
	applyTimeout = 20 * time.Second
	readyWait    = 30 * time.Second
	poll         = 50 * time.Millisecond
)

// apply puts a text in force everywhere, unless it is already.
func (s *system) apply(ctx context.Context, text string) error {
	if text == s.text {
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
		return fmt.Errorf("the text was refused: %s", res.Reason)
	}
	s.text = text
	return s.await(ctx, "the text in force", func(m wire.MemberStatus) bool { return m.ConfigVersion >= res.Version })
}

// ready waits until every agent takes work and every entry is ready.
func (s *system) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	if err := s.await(ctx, "every upstream in service", func(m wire.MemberStatus) bool { return !m.Leaving }); err != nil {
		return err
	}
	for s.balancer.readyCount() < len(s.balancer.entries) {
		if !pause(ctx, poll) {
			return fmt.Errorf("only %d of %d entries are ready", s.balancer.readyCount(), len(s.balancer.entries))
		}
	}
	return nil
}

func (s *system) await(ctx context.Context, what string, ok func(wire.MemberStatus) bool) error {
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
		if !pause(ctx, poll) {
			return fmt.Errorf("no %s: %d of %d agents, missing %s (%v)", what, agents, s.agents, missing, err)
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// counterWords are parts of the names of the metrics that a report shows.
var counterWords = []string{"retries", "hedge", "resum", "eject", "brownout", "stage_upstream_seconds", heldSeconds}

// heldSeconds is how long an agent's upstream was loaded.
const heldSeconds = "upstream_held_seconds"

// counters are the metrics of each entry, and those of each agent under its
// service, by name.
type counters map[wire.MemberID]map[string]float64

// since adds to sum what the counters grew by. Those of an entry that was
// started meanwhile began at zero.
func (c counters) since(before counters, sum map[string]float64) {
	for id, vars := range c {
		for name, v := range vars {
			if old := before[id][name]; old <= v {
				v -= old
			}
			sum[name] += v
		}
	}
}

func (s *system) counters(ctx context.Context) counters {
	out := counters{}
	rows, err := s.admin.Members(ctx)
	if err != nil {
		return out // a report without counters; the stand-ins have the costs
	}
	for _, m := range rows {
		vars := map[string]float64{}
		s.addVars(ctx, m.Debug, vars)
		if held, ok := vars[heldSeconds]; ok { // an agent's: loaded time counts as the service's cost
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
		return // an entry that was killed
	}
	for name, raw := range vars {
		for _, w := range counterWords {
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
