package commands

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// Version prints the version.
type Version struct{ Version string }

func (*Version) Name() string           { return "version" }
func (*Version) Synopsis() string       { return "print the version" }
func (*Version) Usage() string          { return "version\n" }
func (*Version) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (v *Version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("caperdrum", v.Version)
	return subcommands.ExitSuccess
}
