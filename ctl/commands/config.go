package commands

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/ctl/adminclient"
)

// Validate checks a configuration without calling any process.
type Validate struct{}

func (*Validate) Name() string             { return "validate" }
func (*Validate) Synopsis() string         { return "check the operators' configuration" }
func (*Validate) Usage() string            { return "validate FILE\n" }
func (*Validate) SetFlags(f *flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*Validate) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := readText(f)
	if err != nil {
		return usage(err)
	}
	c, err := optext.Parse(f.Arg(0), []byte(text))
	if err != nil {
		return usage(err)
	}
	fmt.Printf("valid: %d services, %d pipelines, %d customers, %d data centres\n", len(c.Services), len(c.Pipelines), len(c.Customers), len(c.DataCenters))
	return subcommands.ExitSuccess
}

// Diff shows what a configuration would change.
type Diff struct{ adminFlags }

func (*Diff) Name() string     { return "diff" }
func (*Diff) Synopsis() string { return "compare a configuration with the one in force" }
func (*Diff) Usage() string    { return "diff [-admin ADDRESSES] FILE\n" }

// Execute implements subcommands.Command.
func (d *Diff) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := readText(f)
	if err != nil {
		return usage(err)
	}
	cl, err := d.client()
	if err != nil {
		return usage(err)
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	res, err := cl.Diff(ctx, text)
	if err != nil {
		return failure(err)
	}
	fmt.Printf("version in force: %d\n%s", res.Version, res.Diff)
	return subcommands.ExitSuccess
}

// Apply proposes a configuration and waits until it is in force on all members.
type Apply struct {
	adminFlags
	number   uint64
	changeID string
	timeout  time.Duration
}

func (*Apply) Name() string     { return "apply" }
func (*Apply) Synopsis() string { return "apply a configuration and wait until every process has it" }
func (*Apply) Usage() string {
	return "apply [-admin ADDRESSES] [-number N] [-change-id ID] FILE\n" +
		"  If the response is lost, run it again with the same -change-id to get the result.\n"
}

// SetFlags implements subcommands.Command.
func (a *Apply) SetFlags(f *flag.FlagSet) {
	a.adminFlags.SetFlags(f)
	f.Uint64Var(&a.number, "number", 0, "number of the change; default the version in force plus one")
	f.StringVar(&a.changeID, "change-id", "", "ID of the change, the same for every resend; default random")
	f.DurationVar(&a.timeout, "timeout", 20*time.Second, "how long to wait")
}

// Execute implements subcommands.Command.
func (a *Apply) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := readText(f)
	if err != nil {
		return usage(err)
	}
	if _, err := optext.Parse(f.Arg(0), []byte(text)); err != nil {
		return usage(err)
	}
	cl, err := a.client()
	if err != nil {
		return usage(err)
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	change, err := a.change(ctx, cl, text)
	if err != nil {
		return failure(err)
	}
	res, err := cl.Apply(ctx, change)
	if err != nil {
		return failure(err)
	}
	if !res.Accepted {
		fmt.Printf("rejected: %s; version %d is in force, by change %s\n%s", res.Reason, res.Version, res.Winner, res.Diff)
		return subcommands.ExitFailure
	}
	fmt.Printf("accepted: version %d, change %s\n", res.Version, change.ChangeID)
	return waitInForce(ctx, cl, res.Version)
}

func (a *Apply) change(ctx context.Context, cl *adminclient.Client, text string) (wire.ChangeRequest, error) {
	c := wire.ChangeRequest{Number: a.number, Text: text, ChangeID: a.changeID}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	if c.Number == 0 {
		current, err := cl.Config(ctx)
		if err != nil {
			return c, err
		}
		c.Number = current.Version + 1
	}
	return c, nil
}

const pollInterval = 50 * time.Millisecond

// waitInForce waits until every member reports the version. On a timeout it lists the members that lag. When
// all members that the leader hears from have the version it says so once, and waits for the others until
// their leases expire, since they may still run.
func waitInForce(ctx context.Context, cl *adminclient.Client, version uint64) subcommands.ExitStatus {
	started := time.Now()
	var members, behind []wire.MemberStatus
	all := map[wire.MemberID]bool{}
	reported := false
	for {
		rows, err := cl.Members(ctx)
		if err == nil {
			members, behind = rows, lagging(rows, version)
			for _, m := range rows {
				all[m.ID] = true
			}
			if len(behind) == 0 {
				fmt.Printf("in force on %d of %d after %s\n", len(members), len(all), time.Since(started).Round(time.Millisecond))
				printDeparted(all, members)
				return subcommands.ExitSuccess
			}
			if !reported && onlySilent(rows, behind) {
				reported = true
				fmt.Printf("in force on %d of %d after %s, on all reachable members; waiting for the others or the end of their leases\n",
					len(members)-len(behind), len(all), time.Since(started).Round(time.Millisecond))
				printBehind(behind)
			}
		}
		select {
		case <-ctx.Done():
			fmt.Printf("in force on %d of %d\n", len(members)-len(behind), len(all))
			printBehind(behind)
			printDeparted(all, members)
			return subcommands.ExitFailure
		case <-time.After(pollInterval):
		}
	}
}

func printBehind(behind []wire.MemberStatus) {
	for _, m := range behind {
		version := fmt.Sprintf("version %d", m.ConfigVersion)
		if m.LastSeen < 0 {
			version = "version not known"
		}
		fmt.Printf("  %s on %s: %s; %s\n", m.ID, m.VM, version, lagReason(m))
	}
}

// onlySilent reports whether only silent members lag and at least one member does not. Just after a leader
// change a working member may seem silent.
func onlySilent(rows, behind []wire.MemberStatus) bool {
	for _, m := range behind {
		if m.LastSeen >= 0 && m.LastSeen <= silentAfter {
			return false
		}
	}
	return len(behind) < len(rows)
}

// silentAfter is the age of the last lease renewal above which a member counts as silent. A working process
// renews more often.
const silentAfter = 1500 * time.Millisecond

// lagReason describes why a member does not have the latest version.
func lagReason(m wire.MemberStatus) string {
	switch {
	case m.LastSeen < 0:
		return "the leader has not heard from it yet"
	case m.Fault != "":
		return "it cannot apply the configuration: " + m.Fault
	case m.LastSeen > silentAfter:
		return fmt.Sprintf("silent for %s: stalled, disconnected or dead", m.LastSeen.Round(time.Millisecond))
	default:
		return fmt.Sprintf("it renewed its lease %s ago and has not applied the configuration yet", m.LastSeen.Round(time.Millisecond))
	}
}

// printDeparted lists the members that disappeared while waiting. They may still run with an older version.
func printDeparted(all map[wire.MemberID]bool, members []wire.MemberStatus) {
	for _, m := range members {
		delete(all, m.ID)
	}
	for _, id := range slices.Sorted(maps.Keys(all)) {
		fmt.Printf("  %s: no longer a member; it left or its lease expired\n", id)
	}
}

func lagging(rows []wire.MemberStatus, version uint64) []wire.MemberStatus {
	var out []wire.MemberStatus
	for _, m := range rows {
		if m.ConfigVersion < version {
			out = append(out, m)
		}
	}
	return out
}
