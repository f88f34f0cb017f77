package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"caperdrum.org/ctl/adminclient"
)

// stageCost is what one stage cost, over all entries.
type stageCost struct {
	calls  int     // attempts that reached an upstream
	held   float64 // seconds that attempts held an upstream
	wasted float64 // the part of held whose answer was not used
}

// stageCosts are costs by pipeline and stage.
type stageCosts map[string]*stageCost

// costVars are the entries' metrics of cost, each a map by stage, and where
// their figures go.
var costVars = map[string]func(*stageCost, float64){
	"stage_calls":            func(c *stageCost, v float64) { c.calls += int(v) },
	"stage_upstream_seconds": func(c *stageCost, v float64) { c.held += v },
	"stage_wasted_seconds":   func(c *stageCost, v float64) { c.wasted += v },
}

// add adds the metrics of one entry. Other metrics are passed over.
func (s stageCosts) add(vars map[string]json.RawMessage) error {
	for name, put := range costVars {
		byStage := map[string]float64{}
		if err := json.Unmarshal(vars[name], &byStage); err != nil {
			return errors.Annotatef(err, "metric %s", name)
		}
		for stage, v := range byStage {
			if s[stage] == nil {
				s[stage] = &stageCost{}
			}
			put(s[stage], v)
		}
	}
	return nil
}

func (s stageCosts) print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "STAGE\tCALLS\tHELD\tWASTED")
	for _, stage := range slices.Sorted(maps.Keys(s)) {
		c := s[stage]
		fmt.Fprintf(t, "%s\t%d\t%.3f s\t%.3f s\n", stage, c.calls, c.held, c.wasted)
	}
	return t.Flush()
}

// collectCosts sums the costs of all entries that the system knows.
func collectCosts(ctx context.Context, admin *adminclient.Client) (stageCosts, error) {
	members, err := admin.Members(ctx)
	if err != nil {
		return nil, err
	}
	costs := stageCosts{}
	for _, m := range members {
		if !strings.Contains(m.Role, "entry") {
			continue
		}
		vars, err := admin.Vars(ctx, m.Debug)
		if err != nil {
			return nil, errors.Annotatef(err, "metrics of %s", m.ID)
		}
		if err := costs.add(vars); err != nil {
			return nil, errors.Annotatef(err, "%s", m.ID)
		}
	}
	return costs, nil
}

// demoStages are the stages of the pipeline that the demo calls.
var demoStages = []string{"quote/encode", "quote/retrieve", "quote/rerank", "quote/generate"}

// cost prints the cost of each stage and checks that every stage of the
// pipeline that the demo used was counted, once a call at least.
func (r *demoRun) cost(ctx context.Context) error {
	costs, err := collectCosts(ctx, r.admin)
	if err != nil {
		return err
	}
	if err := costs.print(os.Stdout); err != nil {
		return err
	}
	for _, stage := range demoStages {
		c := costs[stage]
		if c == nil || c.calls < killRequests || c.held <= 0 {
			return fmt.Errorf("the cost of stage %s is not counted: %+v", stage, c)
		}
	}
	return nil
}
