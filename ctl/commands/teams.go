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

	"caperdrum.org/api/strictini"
	"caperdrum.org/api/wire"
	"caperdrum.org/ctl/adminclient"
)

const adminTimeout = 10 * time.Second

// withClient calls do with a client and a timeout.
func (a *adminFlags) withClient(ctx context.Context, do func(context.Context, *adminclient.Client) error) subcommands.ExitStatus {
	cl, err := a.client()
	if err != nil {
		return usage(err)
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	if err := do(ctx, cl); err != nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}

// Teams lists, creates, changes and deletes teams.
type Teams struct {
	adminFlags
	role, services, pipelines, remove string
}

func (*Teams) Name() string     { return "teams" }
func (*Teams) Synopsis() string { return "list teams, or create, change or delete one" }
func (*Teams) Usage() string {
	return "teams [-role viewer|operator|administrator] [-services A,B] [-pipelines A,B] [NAME]\n  teams -delete NAME\n"
}

// SetFlags implements subcommands.Command.
func (t *Teams) SetFlags(f *flag.FlagSet) {
	t.adminFlags.SetFlags(f)
	f.StringVar(&t.role, "role", "viewer", "role of the named team")
	f.StringVar(&t.services, "services", "", "services an operator team may change, comma-separated")
	f.StringVar(&t.pipelines, "pipelines", "", "pipelines an operator team may change, comma-separated")
	f.StringVar(&t.remove, "delete", "", "`team` to delete with all its keys")
}

// Execute implements subcommands.Command.
func (t *Teams) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return t.withClient(ctx, func(ctx context.Context, cl *adminclient.Client) error {
		switch {
		case t.remove != "":
			return cl.DeleteTeam(ctx, t.remove)
		case f.NArg() == 1:
			return cl.PutTeam(ctx, wire.TeamInfo{Name: f.Arg(0), Role: wire.Role(t.role),
				Services: strictini.SplitList(t.services), Pipelines: strictini.SplitList(t.pipelines)})
		default:
			return printTeams(ctx, cl)
		}
	})
}

func printTeams(ctx context.Context, cl *adminclient.Client) error {
	teams, err := cl.Teams(ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "TEAM\tROLE\tSERVICES\tPIPELINES\tKEYS")
	for _, t := range teams {
		var keys []string
		for _, k := range t.Keys {
			text := k.ID
			if k.ExpiresAt != 0 {
				text += " until " + time.UnixMilli(k.ExpiresAt).Format(time.RFC3339)
			}
			keys = append(keys, text)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", t.Name, t.Role, strings.Join(t.Services, ","), strings.Join(t.Pipelines, ","), strings.Join(keys, ", "))
	}
	return w.Flush()
}

// Key creates and revokes keys.
type Key struct {
	adminFlags
	add, end string
	after    time.Duration
}

func (*Key) Name() string     { return "key" }
func (*Key) Synopsis() string { return "create a key for a team, or revoke one" }
func (*Key) Usage() string {
	return "key -add TEAM | key -end ID [-after 24h]\n  To rotate keys without interruption: add one, distribute it, end the old one.\n"
}

// SetFlags implements subcommands.Command.
func (k *Key) SetFlags(f *flag.FlagSet) {
	k.adminFlags.SetFlags(f)
	f.StringVar(&k.add, "add", "", "`team` to create a key for; the key is printed once")
	f.StringVar(&k.end, "end", "", "`id` of the key to revoke")
	f.DurationVar(&k.after, "after", 0, "how long the revoked key remains valid")
}

// Execute implements subcommands.Command.
func (k *Key) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if (k.add == "") == (k.end == "") {
		return usage(fmt.Errorf("set either -add or -end"))
	}
	return k.withClient(ctx, func(ctx context.Context, cl *adminclient.Client) error {
		if k.end != "" {
			return cl.RevokeKey(ctx, k.end, k.after)
		}
		key, err := cl.AddKey(ctx, k.add)
		if err == nil {
			fmt.Printf("%s\n", key.Key)
		}
		return err
	})
}

// Members prints the list of members.
type Members struct{ adminFlags }

func (*Members) Name() string     { return "members" }
func (*Members) Synopsis() string { return "show the members and their configuration versions" }
func (*Members) Usage() string    { return "members [-admin ADDRESSES]\n" }

// Execute implements subcommands.Command.
func (m *Members) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return m.withClient(ctx, func(ctx context.Context, cl *adminclient.Client) error {
		rows, err := cl.Members(ctx)
		if err == nil {
			printMembers(rows)
		}
		return err
	})
}

// History prints the latest configuration changes and their authors.
type History struct{ adminFlags }

func (*History) Name() string     { return "history" }
func (*History) Synopsis() string { return "show the latest changes: who changed what" }
func (*History) Usage() string    { return "history [-admin ADDRESSES]\n" }

// Execute implements subcommands.Command.
func (h *History) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return h.withClient(ctx, func(ctx context.Context, cl *adminclient.Client) error {
		rows, err := cl.History(ctx)
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "TIME\tNUMBER\tCHANGE\tTEAM\tRESULT\tSECTIONS")
		for _, c := range rows {
			result := "in force"
			if !c.Accepted {
				result = "rejected: " + c.Reason
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", time.UnixMilli(c.At).Format(time.RFC3339), c.Number, c.ChangeID, c.Author, result, strings.Join(c.Sections, " "))
		}
		return w.Flush()
	})
}
