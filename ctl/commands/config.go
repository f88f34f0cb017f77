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

// Validate checks a text without any process running.
type Validate struct{}

func (*Validate) Name() string             { return "validate" }
func (*Validate) Synopsis() string         { return "check an operators' text" }
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

// Diff shows what a text would change.
type Diff struct{ adminFlags }

func (*Diff) Name() string     { return "diff" }
func (*Diff) Synopsis() string { return "compare a text with the one in force" }
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

// Apply hands a text over and waits until it is in force.
type Apply struct {
	adminFlags
	number   uint64
	changeID string
	timeout  time.Duration
}

func (*Apply) Name() string     { return "apply" }
func (*Apply) Synopsis() string { return "put a text in force and wait until every process has it" }
func (*Apply) Usage() string {
	return "apply [-admin ADDRESSES] [-number N] [-change-id ID] FILE\n" +
		"  A lost answer is no reason to worry: the same -change-id again gets the first answer.\n"
}

// SetFlags implements subcommands.Command.
func (a *Apply) SetFlags(f *flag.FlagSet) {
	a.adminFlags.SetFlags(f)
	f.Uint64Var(&a.number, "number", 0, "number of the change; default the version in force plus one")
	f.StringVar(&a.changeID, "change-id", "", "name of the change, the same for every resend; default random")
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
		fmt.Printf("refused: %s; version %d is in force, by change %s\n%s", res.Reason, res.Version, res.Winner, res.Diff)
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

// waitInForce waits until every member reports the version, and names those
// that lag when time runs out. It says so once when all that are heard from
// have it, and waits on for the others: until their leases end, they may run.
func waitInForce(ctx context.Context, cl *adminclient.Client, version uint64) subcommands.ExitStatus {
	started := time.Now()
	var members, behind []wire.MemberStatus
	all := map[wire.MemberID]bool{}
	told := false
	for {
		rows, err := cl.Members(ctx)
		if err == nil {
			members, behind = rows, lagging(rows, version)
			for _, m := range rows {
				all[m.ID] = true
			}
			if len(behind) == 0 {
				fmt.Printf("in force on %d of %d after %s\n", len(members), len(all), time.Since(started).Round(time.Millisecond))
				printGone(all, members)
				return subcommands.ExitSuccess
			}
			if !told && onlySilent(rows, behind) {
				told = true
				fmt.Printf("in force on %d of %d after %s, all that are heard from; waiting for the others or the end of their leases\n",
					len(members)-len(behind), len(all), time.Since(started).Round(time.Millisecond))
				printBehind(behind)
			}
		}
		select {
		case <-ctx.Done():
			fmt.Printf("in force on %d of %d\n", len(members)-len(behind), len(all))
			printBehind(behind)
			printGone(all, members)
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
		fmt.Printf("  %s on %s: %s; %s\n", m.ID, m.VM, version, why(m))
	}
}

// onlySilent reports whether some members are heard from and all that lag are
// not. Just after a change of the leader, one that works may be among these.
func onlySilent(rows, behind []wire.MemberStatus) bool {
	for _, m := range behind {
		if m.LastSeen >= 0 && m.LastSeen <= silentAfter {
			return false
		}
	}
	return len(behind) < len(rows)
}

// silentAfter is the age of a renewal that a working process does not reach.
const silentAfter = 1500 * time.Millisecond

// why says what keeps a member from the latest version.
func why(m wire.MemberStatus) string {
	switch {
	case m.LastSeen < 0:
		return "the leader has not heard from it yet"
	case m.Fault != "":
		return "it cannot take the text over: " + m.Fault
	case m.LastSeen > silentAfter:
		return fmt.Sprintf("silent for %s: stalled, cut off or dead", m.LastSeen.Round(time.Millisecond))
	default:
		return fmt.Sprintf("it renewed its lease %s ago and has not taken the text over yet", m.LastSeen.Round(time.Millisecond))
	}
}

// printGone names those that were members while the change was awaited and are
// none any more. They may still run with an older version.
func printGone(all map[wire.MemberID]bool, members []wire.MemberStatus) {
	for _, m := range members {
		delete(all, m.ID)
	}
	for _, id := range slices.Sorted(maps.Keys(all)) {
		fmt.Printf("  %s: not a member any more; its lease ended or it left\n", id)
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
