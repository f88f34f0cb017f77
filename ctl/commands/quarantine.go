package commands

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"caperdrum.org/api/wire"
	"caperdrum.org/ctl/adminclient"
)

// Quarantine lists quarantined calls, which crash upstreams, and releases them.
type Quarantine struct{ adminFlags }

func (*Quarantine) Name() string     { return "quarantine" }
func (*Quarantine) Synopsis() string { return "list or release calls that crash upstreams" }
func (*Quarantine) Usage() string {
	return "quarantine [-admin ADDRESSES] list | lift FINGERPRINT\n  The response to a rejected call contains its fingerprint. lift also deletes the crash history of the call.\n"
}

// Execute implements subcommands.Command.
func (q *Quarantine) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb, name := f.Arg(0), f.Arg(1)
	switch {
	case verb == "list" && f.NArg() == 1:
		return q.withClient(ctx, printQuarantine)
	case verb == "lift" && f.NArg() == 2 && name != "":
		return q.withClient(ctx, func(ctx context.Context, cl *adminclient.Client) error {
			err := cl.LiftQuarantine(ctx, wire.Fingerprint(name))
			if err == nil {
				fmt.Println(name + ": lifted")
			}
			return err
		})
	}
	return usage(fmt.Errorf("expected list, or lift with a fingerprint"))
}

func printQuarantine(ctx context.Context, cl *adminclient.Client) error {
	list, err := cl.Quarantine(ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FINGERPRINT\tKIND\tSTATE\tSINCE\tCUSTOMER\tROUTE\tBYTES\tPART\tUPSTREAMS")
	for _, e := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", e.Call.Fingerprint, e.Call.Kind.Name(), e.State, time.UnixMilli(e.Since).Format(time.RFC3339), e.Call.Customer, e.Call.Route, e.Call.Bytes, partName(e.Call), startNames(e.Upstreams))
	}
	return w.Flush()
}

// partName names a part and the service to whose upstreams prompts with it are sent; it is empty for calls.
func partName(c wire.CallSummary) string {
	if c.Kind != wire.SuspectPart {
		return ""
	}
	return c.Service + "/" + c.Part
}

func startNames(starts []wire.Start) string {
	var ids []string
	for _, s := range starts {
		ids = append(ids, string(s.ID))
	}
	return strings.Join(ids, " ")
}
