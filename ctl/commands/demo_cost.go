package commands

import (
	"context"
	"fmt"
	"os"
)

// demoStages are the stages of the pipeline that the demo calls.
var demoStages = []string{"quote/encode", "quote/retrieve", "quote/rerank", "quote/generate"}

// cost prints the cost of each stage and checks that every stage of the demo's pipeline was counted, at least
// once per call.
func (r *demoRun) cost(ctx context.Context) error {
	members, err := r.admin.Members(ctx)
	if err != nil {
		return err
	}
	c := gatherCost(ctx, r.admin, members)
	c.print(os.Stdout)
	for _, stage := range demoStages {
		s := c.stages[stage]
		if s == nil || s.calls < killRequests || s.used <= 0 {
			return fmt.Errorf("the cost of stage %s was not counted: %+v", stage, s)
		}
	}
	return nil
}
