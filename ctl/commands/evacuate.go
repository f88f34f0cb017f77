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

// Evacuate starts, ends and lists evacuations of data centres.
type Evacuate struct{ adminFlags }

func (*Evacuate) Name() string     { return "evacuate" }
func (*Evacuate) Synopsis() string { return "direct calls away from the upstreams of a data centre" }
func (*Evacuate) Usage() string {
	return "evacuate [-admin ADDRESSES] start DATA_CENTRE | end DATA_CENTRE | list\n  Running calls continue; no new calls are sent there until the evacuation ends.\n"
}

// Execute implements subcommands.Command.
func (e *Evacuate) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb, name := f.Arg(0), f.Arg(1)
	switch {
	case verb == "list" && f.NArg() == 1:
		return e.withClient(ctx, printEvacuations)
	case (verb == "start" || verb == "end") && f.NArg() == 2:
		return e.withClient(ctx, func(ctx context.Context, cl *adminclient.Client) error {
			result, err := cl.Evacuate(ctx, name, verb == "start")
			if err == nil {
				fmt.Printf("%s: %s, revision %d\n", name, evacuationState(result.Evacuation), result.Evacuation.Revision)
			}
			return err
		})
	}
	return usage(fmt.Errorf("expected start or end with a data centre, or list"))
}

func printEvacuations(ctx context.Context, cl *adminclient.Client) error {
	list, err := cl.Evacuations(ctx)
	if err != nil {
		return err
	}
	writeEvacuations(list)
	return nil
}

func writeEvacuations(e wire.Evacuations) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "DATA CENTRE\tSTATE\tSINCE\tREVISION")
	for _, x := range e.List {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", x.DataCenter, evacuationState(x), time.UnixMilli(x.Since).Format(time.RFC3339), x.Revision)
	}
	w.Flush()
}

func evacuationState(e wire.Evacuation) string {
	if e.Evacuated {
		return "evacuated"
	}
	return "in service"
}
