package commands

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"caperdrum.org/ctl/adminclient"
)

// Get prints the operators' configuration in force.
type Get struct{ adminFlags }

func (*Get) Name() string     { return "get" }
func (*Get) Synopsis() string { return "print the configuration in force; its version goes to stderr" }
func (*Get) Usage() string    { return "get [-admin ADDRESSES]\n" }

// Execute implements subcommands.Command.
func (g *Get) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return g.withClient(ctx, func(ctx context.Context, cl *adminclient.Client) error {
		current, err := cl.Config(ctx)
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "version %d\n", current.Version)
		_, err = os.Stdout.WriteString(current.Text)
		return err
	})
}
