// Command caperdrum is the command-line tool for operators and developers.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"caperdrum.org/ctl/commands"
)

// version is set by the linker.
var version = "development"

func main() {
	showVersion := flag.Bool("version", false, "print the version and exit")
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&commands.Version{Version: version}, "")
	for _, c := range []subcommands.Command{&commands.Init{}, &commands.Get{}, &commands.Apply{}, &commands.Diff{}, &commands.Validate{}, &commands.Status{}, &commands.Members{},
		&commands.History{}, &commands.Timeline{}, &commands.Evacuate{}, &commands.Rollout{}, &commands.Quarantine{}, &commands.Teams{}, &commands.Key{}} {
		subcommands.Register(c, "operate")
	}
	for _, c := range []subcommands.Command{&commands.Standin{}, &commands.WeightStore{}, &commands.Demo{}, &commands.Bench{}} {
		subcommands.Register(c, "testing and measurement")
	}
	flag.Parse()
	if *showVersion {
		fmt.Println("caperdrum", version)
		return
	}
	os.Exit(int(subcommands.Execute(context.Background())))
}
