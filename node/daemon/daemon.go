// Package daemon builds and runs one process from a list of modules. The
// product's daemon and an adapter's differ in their modules only.
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
	"caperdrum.org/node/control"
	"caperdrum.org/node/controlclient"
	"caperdrum.org/node/debug"
	"caperdrum.org/node/discovery"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/gate"
	"caperdrum.org/node/gateway"
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
	"caperdrum.org/node/upstream"
)

// Exit statuses of a process.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// Options say how a process is built.
type Options struct {
	Settings *settings.Settings
	Logs     io.Writer
	// Protocol is spoken on routes; nil is upstream.Native.
	Protocol upstream.Protocol
	// Extra are modules beside those of the roles. They start last, and stop
	// first.
	Extra []kernel.Module
}

// entryGCPercent lets an entry's heap grow to four times what is live before
// it is collected. An entry's live heap is small and its garbage, a request's
// buffers and headers, is not: at 100 the collector took a quarter of the
// processor time of a call.
const entryGCPercent = 300

// heapPart is the part of the process's memory above which the collector runs
// more often, whatever entryGCPercent says. The rest is for the program, the C
// library and bytes that the kernel holds for the process.
const heapPart = 0.6

// tuneCollector leaves values from the environment (GOGC, GOMEMLIMIT) in force.
func tuneCollector(set *settings.Settings) {
	if os.Getenv("GOGC") == "" && (set.HasRole(settings.Entry) || set.HasRole(settings.Proxy)) {
		runtimedebug.SetGCPercent(entryGCPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" && set.Node.MemoryMB > 0 {
		runtimedebug.SetMemoryLimit(heapLimit(set.Node.MemoryMB))
	}
}

// heapLimit returns the limit for the collector in bytes, of a process that may
// use that many MB.
func heapLimit(memory int) int64 { return int64(heapPart * float64(memory) * (1 << 20)) }

// Run runs the process until it is told to stop, and returns its exit status.
func Run(o Options) int {
	set := o.Settings
	tuneCollector(set)
	log, flush := logging.New(o.Logs, set.Node.Name, set.Node.LogLevel)
	defer flush()
	store, err := security.New(security.Files(set.TLS))
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v; name readable PEM files in [tls]\n", set.File, err)
		return ExitSettings
	}
	k := kernel.New(log)
	k.Supply(func() *settings.Settings { return set })
	k.Supply(func() logr.Logger { return log })
	k.Supply(func() *timeline.Ring { return timeline.NewRing(set.Node.Name, set.Node.VM, set.Node.TimelineEvents) })
	k.Supply(func() *security.Store { return store })
	k.Supply(func() peer.Dialer { return store.Dial })
	k.Supply(func() *peer.Directory { return peer.NewDirectory(set.Peers.Control) })
	if o.Protocol == nil {
		o.Protocol = upstream.Native{}
	}
	k.Supply(func() upstream.Protocol { return o.Protocol })
	k.Supply(func() *upstream.Notices { return upstream.NewNotices(log, boottime.System()) })
	k.Supply(rollout.NewCounter)
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

// modulesOf lists the modules of the process's roles in starting order; they
// stop in the reverse order, so what callers reach stops first.
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
			kernel.Module{Name: "proxy", New: proxy.New})
	}
	return modules
}
