// Package daemon builds a process from a list of modules and runs it. Product daemon and adapters differ only
// in their modules.
package daemon

import (
	"context"
	"fmt"
	"io"
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
	"caperdrum.org/node/connlimit"
	"caperdrum.org/node/control"
	"caperdrum.org/node/controlclient"
	"caperdrum.org/node/debug"
	"caperdrum.org/node/discovery"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/gate"
	"caperdrum.org/node/gateway"
	"caperdrum.org/node/ingress"
	"caperdrum.org/node/internal/boottime"
	"caperdrum.org/node/kernel"
	"caperdrum.org/node/ledger"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/order"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/pipeline"
	"caperdrum.org/node/planner"
	"caperdrum.org/node/proxy"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/routing"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
	"caperdrum.org/node/stagework"
	"caperdrum.org/node/streamorigin"
	"caperdrum.org/node/upstream"
)

// Exit codes of the process.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// Options configure the process.
type Options struct {
	Settings *settings.Settings
	Logs     io.Writer
	// Protocol is the protocol spoken with upstreams; nil means upstream.Native.
	Protocol upstream.Protocol
	// Extra are modules in addition to those of the roles. They start last and stop first.
	Extra []kernel.Module
}

// entryGCPercent is the GOGC value of entries: the heap may grow to four times the live heap before a
// collection. An entry has a small live heap but much garbage (request buffers and headers). At 100, the
// collector took a quarter of the CPU time of a call.
const entryGCPercent = 300

// heapFraction is the share of the process's memory above which the collector runs more often, regardless of
// entryGCPercent. The rest is for the program, the C library and memory that the kernel holds for the
// process.
const heapFraction = 0.6

// configureGC sets GC percent and memory limit unless the environment does (GOGC, GOMEMLIMIT).
func configureGC(set *settings.Settings) {
	if os.Getenv("GOGC") == "" && (set.HasRole(settings.Entry) || set.HasRole(settings.Proxy)) {
		runtimedebug.SetGCPercent(entryGCPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" && set.Node.MemoryMB > 0 {
		runtimedebug.SetMemoryLimit(heapLimit(set.Node.MemoryMB))
	}
}

// heapLimit returns the memory limit of the collector in bytes. memory is what the process may use, in MB.
func heapLimit(memory int) int64 { return int64(heapFraction * float64(memory) * (1 << 20)) }

// Run runs the process until SIGTERM, SIGINT or a failure, and returns its exit code.
func Run(o Options) int {
	set := o.Settings
	configureGC(set)
	log, flush := logging.New(o.Logs, set.Node.Name, set.Node.LogLevel)
	defer flush()
	store, err := security.New(security.Files(set.TLS))
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v; name readable PEM files in [tls]\n", set.File, err)
		return ExitSettings
	}
	k := kernel.New(log)
	k.Provide(func() *settings.Settings { return set })
	k.Provide(func() logr.Logger { return log })
	k.Provide(func() *timeline.Ring { return timeline.NewRing(set.Node.Name, set.Node.VM, set.Node.TimelineEvents) })
	k.Provide(func() *security.Store { return store })
	k.Provide(connlimit.New)
	k.Provide(func() peer.Dialer { return store.Dial })
	k.Provide(func() *peer.Directory { return peer.NewDirectory(set.Peers.Control) })
	if o.Protocol == nil {
		o.Protocol = upstream.Native{}
	}
	k.Provide(func() upstream.Protocol { return o.Protocol })
	k.Provide(func() *upstream.Notices { return upstream.NewNotices(log, boottime.System()) })
	k.Provide(rollout.NewCounter)
	if err := k.Add(append(modulesOf(set), o.Extra...)...); err != nil {
		log.Error(err, "modules")
		return ExitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = k.Run(ctx, func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(context.Background(), set.Node.DrainTimeout)
	})
	if err != nil {
		log.Error(err, "failed")
		return ExitFailure
	}
	return ExitOK
}

// modulesOf lists the modules of the process's roles in start order. They stop in reverse order, so that the
// listeners for callers stop first.
func modulesOf(set *settings.Settings) []kernel.Module {
	modules := []kernel.Module{{Name: "reload", New: newReloader}, {Name: "debug", New: debug.New}}
	if set.HasRole(settings.Control) {
		modules = append(modules, kernel.Module{Name: "control", New: control.New}, kernel.Module{Name: "planner", New: planner.New})
		if set.Control.Admin != "" {
			modules = append(modules, kernel.Module{Name: "admin", New: admin.New})
		}
	}
	if set.HasRole(settings.Entry) || set.HasRole(settings.Agent) || set.HasRole(settings.Proxy) {
		modules = append(modules, kernel.Module{Name: "configsync", New: configsync.New})
	}
	if set.HasRole(settings.Agent) {
		modules = append(modules, kernel.Module{Name: "gate", New: gate.New}, kernel.Module{Name: "announce", New: announce.New}, kernel.Module{Name: "order", New: order.New})
	}
	if set.HasRole(settings.Entry) {
		modules = append(modules,
			kernel.Module{Name: "routing", New: routing.New},
			kernel.Module{Name: "demand", New: order.NewDemandReporter},
			kernel.Module{Name: "dispatch", New: dispatch.New},
			kernel.Module{Name: "admission", New: admission.New},
			kernel.Module{Name: "pipeline", New: pipeline.New},
			kernel.Module{Name: "ledger", New: ledger.New},
			kernel.Module{Name: "gateway", New: gateway.New})
	}
	if set.HasRole(settings.Proxy) {
		modules = append(modules,
			kernel.Module{Name: "discovery", New: discovery.New},
			kernel.Module{Name: "controlclient", New: controlclient.New},
			kernel.Module{Name: "stagework", New: stagework.New},
			kernel.Module{Name: "streamorigin", New: streamorigin.New},
			kernel.Module{Name: "ingress", New: ingress.New},
			kernel.Module{Name: "proxy", New: proxy.New})
	}
	return modules
}
