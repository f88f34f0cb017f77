package commands

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"caperdrum.org/api/wire"
	"caperdrum.org/ctl/adminclient"
)

// Rollout shifts the calls of a service to upstreams of another version.
type Rollout struct {
	adminFlags
	span time.Duration
}

func (*Rollout) Name() string     { return "rollout" }
func (*Rollout) Synopsis() string { return "shift the calls of a service to another version" }
func (*Rollout) Usage() string {
	return "rollout [-admin ADDRESSES] [-span DURATION] list | start SERVICE VERSION | status SERVICE | abort SERVICE\n" +
		"  A limited share of the calls goes to the version at first. It gets all of them at the end of the span, or\n  none if its results are worse than those of the other versions.\n"
}

// SetFlags implements subcommands.Command.
func (r *Rollout) SetFlags(f *flag.FlagSet) {
	r.adminFlags.SetFlags(f)
	f.DurationVar(&r.span, "span", 10*time.Minute, "maximum duration of the rollout")
}

// Execute implements subcommands.Command.
func (r *Rollout) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb, service := f.Arg(0), f.Arg(1)
	switch {
	case verb == "list" && f.NArg() == 1:
		return r.withClient(ctx, func(ctx context.Context, cl *adminclient.Client) error {
			list, err := cl.Rollouts(ctx)
			if err == nil {
				writeRollouts(list.List...)
			}
			return err
		})
	case verb == "status" && f.NArg() == 2:
		return r.withClient(ctx, func(ctx context.Context, cl *adminclient.Client) error { return printRollout(ctx, cl, service) })
	case verb == "start" && f.NArg() == 3:
		return r.withClient(ctx, func(ctx context.Context, cl *adminclient.Client) error {
			result, err := cl.StartRollout(ctx, service, f.Arg(2), r.span)
			return writeResult(result, err)
		})
	case verb == "abort" && f.NArg() == 2:
		return r.withClient(ctx, func(ctx context.Context, cl *adminclient.Client) error {
			result, err := cl.AbortRollout(ctx, service)
			return writeResult(result, err)
		})
	}
	return usage(fmt.Errorf("expected list, start SERVICE VERSION, status SERVICE or abort SERVICE"))
}

func writeResult(result wire.RolloutResult, err error) error {
	if err == nil {
		writeRollouts(result.Rollout)
	}
	return err
}

func printRollout(ctx context.Context, cl *adminclient.Client, service string) error {
	list, err := cl.Rollouts(ctx)
	if err != nil {
		return err
	}
	r := list.Of(service)
	if r.Order == 0 {
		return fmt.Errorf("service %s never had a rollout", service)
	}
	writeRollouts(r)
	return nil
}

func writeRollouts(list ...wire.Rollout) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tTARGET\tSTATE\tSHARE\tSTARTED\tSPAN\tBY\tREASON")
	for _, r := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%s\t%s\t%s\t%s\n", r.Service, r.Target, r.State, r.Share, time.UnixMilli(r.Started).Format(time.RFC3339), r.Span, r.Author, r.Reason)
	}
	w.Flush()
}
