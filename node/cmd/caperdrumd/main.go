// Command caperdrumd is caperdrum's daemon. It plays the roles that its
// settings file names.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	runtimedebug "runtime/debug"
	"syscall"

	"github.com/go-logr/logr"

	"caperdrum.org/api/timeline"
	"caperdrum.org/node/admin"
	"caperdrum.org/node/admission"
	"caperdrum.org/node/announce"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/control"
	"caperdrum.org/node/debug"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/gate"
	"caperdrum.org/node/gateway"
	"caperdrum.org/node/kernel"
	"caperdrum.org/node/ledger"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/order"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/pipeline"
	"caperdrum.org/node/planner"
	"caperdrum.org/node/routing"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
)

// version is set by the linker.
var version = "development"

// Exit statuses.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("settings", "", "settings `file` (INI)")
	check := flag.Bool("check", false, "check the settings and exit")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println("caperdrumd", version)
		return exitOK
	}
	if *path == "" || flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "usage: caperdrumd -settings FILE [-check]")
		return exitSettings
	}
	set, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		return exitOK
	}
	return serve(set)
}

// entryGCPercent lets an entry's heap grow to four times what is live before
// it is collected. An entry's live heap is small and its garbage, a request's
// buffers and headers, is not: at 100 the collector took a quarter of the
// processor time of a call.
const entryGCPercent = 300

// tuneCollector leaves a value from the environment (GOGC) in force.
func tuneCollector(set *settings.Settings) {
	if os.Getenv("GOGC") == "" && set.Has(settings.Entry) {
		runtimedebug.SetGCPercent(entryGCPercent)
	}
}

func serve(set *settings.Settings) int {
	tuneCollector(set)
	log := logging.New(os.Stderr, set.Node.Name, set.Node.LogLevel)
	store, err := security.New(security.Files(set.TLS))
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v; name readable PEM files in [tls]\n", set.File, err)
		return exitSettings
	}
	k := kernel.New(log)
	k.Supply(func() *settings.Settings { return set })
	k.Supply(func() logr.Logger { return log })
	k.Supply(func() *timeline.Ring { return timeline.NewRing(set.Node.Name, set.Node.VM, set.Node.Timeline) })
	k.Supply(func() *security.Store { return store })
	k.Supply(func() peer.Dialer { return store.Dial })
	if err := k.Add(modulesOf(set)...); err != nil {
		log.Error(err, "modules")
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = k.Run(ctx, func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(context.Background(), set.Node.DrainTimeout)
	})
	if err != nil {
		log.Error(err, "failed")
		return exitFailure
	}
	return exitOK
}

// modulesOf lists the modules of the process's roles in starting order; they
// stop in the reverse order, so what callers reach stops first.
func modulesOf(set *settings.Settings) []kernel.Module {
	modules := []kernel.Module{{Name: "debug", New: debug.New}}
	if set.Has(settings.Control) {
		modules = append(modules, kernel.Module{Name: "control", New: control.New}, kernel.Module{Name: "planner", New: planner.New}, kernel.Module{Name: "admin", New: admin.New})
	}
	if set.Has(settings.Entry) || set.Has(settings.Agent) {
		modules = append(modules, kernel.Module{Name: "configsync", New: configsync.New})
	}
	if set.Has(settings.Agent) {
		modules = append(modules, kernel.Module{Name: "gate", New: gate.New}, kernel.Module{Name: "announce", New: announce.New}, kernel.Module{Name: "order", New: order.New})
	}
	if set.Has(settings.Entry) {
		modules = append(modules,
			kernel.Module{Name: "routing", New: routing.New},
			kernel.Module{Name: "demand", New: order.NewDemand},
			kernel.Module{Name: "dispatch", New: dispatch.New},
			kernel.Module{Name: "admission", New: admission.New},
			kernel.Module{Name: "pipeline", New: pipeline.New},
			kernel.Module{Name: "ledger", New: ledger.New},
			kernel.Module{Name: "gateway", New: gateway.New})
	}
	return modules
}
