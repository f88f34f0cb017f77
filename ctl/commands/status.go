package commands

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/ctl/adminclient"
)

// Init bootstraps a new cluster.
type Init struct {
	adminFlags
	voters  int
	saveKey string
	timeout time.Duration
}

func (*Init) Name() string     { return "init" }
func (*Init) Synopsis() string { return "initialize a new cluster, once, on empty data folders" }
func (*Init) Usage() string {
	return "init [-admin ADDRESSES] [-voters N]\n  The first address becomes the first voter; the others join automatically.\n"
}

// SetFlags implements subcommands.Command.
func (i *Init) SetFlags(f *flag.FlagSet) {
	i.adminFlags.SetFlags(f)
	f.IntVar(&i.voters, "voters", 3, "number of voters to wait for")
	f.StringVar(&i.saveKey, "save-key", "", "`file` to write the administrators' key to, instead of printing it")
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
	reply, err := retryInit(ctx, cl)
	if err != nil {
		return failure(err)
	}
	if err := i.showKey(reply.Key.Key); err != nil {
		return failure(err)
	}
	cl = cl.WithKey(reply.Key.Key)
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

// showKey saves or prints the initial administrators' key, which can't be read again.
func (i *Init) showKey(key string) error {
	if i.saveKey != "" {
		return os.WriteFile(i.saveKey, []byte(key+"\n"), keyFileMode)
	}
	fmt.Printf("administrators' key, shown once: %s\n", key)
	return nil
}

const keyFileMode = 0o600

// retryInit retries while the control process is not reachable yet.
func retryInit(ctx context.Context, cl *adminclient.Client) (wire.InitReply, error) {
	for {
		reply, err := cl.Init(ctx)
		var refusal *adminclient.Refusal
		if err == nil || errors.As(err, &refusal) || ctx.Err() != nil {
			return reply, err
		}
		time.Sleep(pollInterval)
	}
}

// Status prints the status of the control processes, the members and the costs.
type Status struct{ adminFlags }

func (*Status) Name() string { return "status" }
func (*Status) Synopsis() string {
	return "show the control processes, the members and the cost by service and stage"
}
func (*Status) Usage() string { return "status [-admin ADDRESSES]\n" }

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
	if err := printEvacuations(ctx, cl); err != nil {
		return failure(err)
	}
	gatherCost(ctx, cl, members).print(os.Stdout)
	if !ok {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func printControl(rows []adminclient.ControlStatus) bool {
	var failed []adminclient.ControlStatus
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "CONTROL\tSTATE\tTERM\tCOMMIT\tAPPLIED\tVOTERS\tVERSION\tSTAMP AGE\tLEDGER\tREPAIR")
	for _, r := range rows {
		if r.Err != nil {
			failed = append(failed, r)
			continue
		}
		s := r.Status
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%d\t%s\n", s.ID, s.State, s.Term, s.Commit, s.Applied, len(s.Voters),
			s.ConfigVersion, s.StampAge.Round(time.Millisecond), s.LedgerEntries, s.Repair)
	}
	w.Flush()
	for _, r := range failed {
		fmt.Printf("%s: %s\n", r.Address, statusFailure(r.Err))
	}
	return len(failed) == 0
}

// statusFailure describes why a control process returned no status. A process without replicated state knows
// no keys and rejects them all.
func statusFailure(err error) string {
	var refusal *adminclient.Refusal
	if errors.As(err, &refusal) && refusal.Status == http.StatusUnauthorized {
		return "rejected the key: it is invalid, or this process has no state yet"
	}
	return "not reached: " + err.Error()
}

func printMembers(rows []wire.MemberStatus) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tROLE\tVM\tDATA CENTRE\tSERVICE\tVERSION\tLAST SEEN\tLEAVING\tMILLICORES")
	for _, m := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%v\t%s\n", m.ID, m.Role, m.VM, m.DataCenter, m.Service, m.ConfigVersion, lastSeen(m.LastSeen), m.Leaving, millicores(m.Millicores))
	}
	w.Flush()
}

// millicores formats a member's share of a core; an unknown one is empty.
func millicores(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func lastSeen(age time.Duration) string {
	if age < 0 {
		return "not yet"
	}
	return age.Round(time.Millisecond).String()
}
