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
	"github.com/juju/errors"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/ctl/adminclient"
)

// Init forms a new cluster.
type Init struct {
	adminFlags
	voters  int
	timeout time.Duration
}

func (*Init) Name() string     { return "init" }
func (*Init) Synopsis() string { return "form a new cluster, once, on empty data folders" }
func (*Init) Usage() string {
	return "init [-admin ADDRESSES] [-voters N]\n  The first address becomes the first voter; the others join by themselves.\n"
}

// SetFlags implements subcommands.Command.
func (i *Init) SetFlags(f *flag.FlagSet) {
	i.adminFlags.SetFlags(f)
	f.IntVar(&i.voters, "voters", 3, "voters to wait for")
	f.DurationVar(&i.timeout, "timeout", 30*time.Second, "how long to wait")
}

// Execute implements subcommands.Command.
func (i *Init) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, err := i.client()
	if err != nil {
		return usage(err)
	}
	ctx, cancel := context.WithTimeout(ctx, i.timeout)
	defer cancel()
	if err := retryInit(ctx, cl); err != nil {
		return failure(err)
	}
	for ctx.Err() == nil {
		for _, st := range cl.Status(ctx) {
			if st.Err == nil && st.Status.State == "leader" && len(st.Status.Voters) >= i.voters {
				fmt.Printf("cluster formed: %d voters, leader %s\n", len(st.Status.Voters), st.Status.ID)
				return subcommands.ExitSuccess
			}
		}
		time.Sleep(pollInterval)
	}
	return failure(fmt.Errorf("fewer than %d voters after %s: see caperdrum status", i.voters, i.timeout))
}

// retryInit waits for a control process that is still starting.
func retryInit(ctx context.Context, cl *adminclient.Client) error {
	for {
		_, err := cl.Init(ctx)
		var refusal *adminclient.Refusal
		if err == nil || errors.As(err, &refusal) || ctx.Err() != nil {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// Status prints what the control processes report.
type Status struct{ adminFlags }

func (*Status) Name() string     { return "status" }
func (*Status) Synopsis() string { return "show the control processes and the members" }
func (*Status) Usage() string    { return "status [-admin ADDRESSES]\n" }

// Execute implements subcommands.Command.
func (s *Status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, err := s.client()
	if err != nil {
		return usage(err)
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	ok := printControl(cl.Status(ctx))
	members, err := cl.Members(ctx)
	if err != nil {
		return failure(err)
	}
	printMembers(members)
	if !ok {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func printControl(rows []adminclient.ControlStatus) bool {
	ok := true
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "CONTROL\tSTATE\tTERM\tCOMMIT\tAPPLIED\tVOTERS\tVERSION\tSTAMP AGE\tLEDGER\tREPAIR")
	for _, r := range rows {
		if r.Err != nil {
			ok = false
			fmt.Fprintf(w, "%s\tunreached: %v\n", r.Address, r.Err)
			continue
		}
		s := r.Status
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%d\t%s\n", s.ID, s.State, s.Term, s.Commit, s.Applied, len(s.Voters),
			s.ConfigVersion, s.StampAge.Round(time.Millisecond), s.LedgerEntries, s.Repair)
	}
	w.Flush()
	return ok
}

func printMembers(rows []wire.MemberStatus) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tROLE\tVM\tDATA CENTRE\tSERVICE\tVERSION\tLAST SEEN\tLEAVING")
	for _, m := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%v\n", m.ID, m.Role, m.VM, m.DataCenter, m.Service, m.ConfigVersion, m.LastSeen.Round(time.Millisecond), m.Leaving)
	}
	w.Flush()
}

// Timeline merges the events of all processes.
type Timeline struct {
	adminFlags
	request, customer, vm, kind string
	since                       time.Duration
	also                        string
}

func (*Timeline) Name() string     { return "timeline" }
func (*Timeline) Synopsis() string { return "show the events of all processes in one order" }
func (*Timeline) Usage() string    { return "timeline [-admin ADDRESSES] [-request ID] [-since 1m]\n" }

// SetFlags implements subcommands.Command.
func (t *Timeline) SetFlags(f *flag.FlagSet) {
	t.adminFlags.SetFlags(f)
	f.StringVar(&t.request, "request", "", "only events of this request `id`")
	f.StringVar(&t.customer, "customer", "", "only events of this customer")
	f.StringVar(&t.vm, "vm", "", "only events of this VM")
	f.StringVar(&t.kind, "kind", "", "only events of this kind")
	f.DurationVar(&t.since, "since", 0, "only events of this last while")
	f.StringVar(&t.also, "also", "", "further debug `addresses`, such as those of control processes, comma-separated")
}

// Execute implements subcommands.Command.
func (t *Timeline) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, err := t.client()
	if err != nil {
		return usage(err)
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	events, unreached, err := t.collect(ctx, cl)
	if err != nil {
		return failure(err)
	}
	printEvents(events)
	for _, a := range unreached {
		fmt.Printf("not reached: %s\n", a)
	}
	return subcommands.ExitSuccess
}

func printEvents(events []timeline.Event) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, e := range events {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.At.Time().Format("15:04:05.000"), e.Process, e.Kind, e.Request, strings.TrimSpace(e.Detail))
	}
	w.Flush()
}
