// Command caperdrumd is the daemon of caperdrum. It runs the roles that its settings file lists.
package main

import (
	"flag"
	"fmt"
	"os"

	"caperdrum.org/node/daemon"
	"caperdrum.org/node/settings"
)

// version is set by the linker.
var version = "development"

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("settings", "", "settings `file` (INI)")
	check := flag.Bool("check", false, "check the settings and exit")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println("caperdrumd", version)
		return daemon.ExitOK
	}
	if *path == "" || flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "usage: caperdrumd -settings FILE [-check]")
		return daemon.ExitSettings
	}
	set, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitSettings
	}
	if *check {
		return daemon.ExitOK
	}
	return daemon.Run(daemon.Options{Settings: set, Logs: os.Stderr})
}
