package commands

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"caperdrum.org/api/strictini"
	"caperdrum.org/fake/standin"
)

// Standin runs stand-ins for upstreams.
type Standin struct {
	opts   standin.Options
	config string
}

func (*Standin) Name() string     { return "standin" }
func (*Standin) Synopsis() string { return "run stand-ins for upstreams" }
func (*Standin) Usage() string {
	return "standin -kind engine|encoder|retriever|reranker|plain -listen IP:PORT\n" +
		"standin -config FILE\n  Runs every [standin:NAME] of the file; [control] listen = IP:PORT serves the control API for all of them.\n"
}

// SetFlags implements subcommands.Command.
func (s *Standin) SetFlags(f *flag.FlagSet) {
	o := &s.opts
	f.StringVar(&s.config, "config", "", "INI `file` with any number of stand-ins")
	f.StringVar(&o.Kind, "kind", "plain", "kind of upstream")
	f.StringVar(&o.Listen, "listen", "127.0.0.1:9000", "`address` to listen on")
	f.DurationVar(&o.Delay, "delay", 2*time.Millisecond, "time until the first byte of a response")
	f.DurationVar(&o.TokenDelay, "token-delay", 2*time.Millisecond, "engine: time between tokens")
	f.DurationVar(&o.SequenceDelay, "sequence-delay", 0, "engine: additional time per step for each running sequence")
	f.DurationVar(&o.PrefillDelay, "prefill-delay", 0, "engine: additional time per step for each prompt token computed")
	f.IntVar(&o.Tokens, "tokens", 16, "engine: tokens of a response")
	f.IntVar(&o.MaxBatch, "max-batch", 0, "engine: maximum number of concurrent sequences")
	f.IntVar(&o.Concurrency, "concurrency", 0, "other kinds: maximum number of concurrent calls; 0 means unlimited")
	f.Float64Var(&o.Sigma, "sigma", 0, "other kinds: sigma of the log-normal service time")
	f.Int64Var(&o.Seed, "seed", 1, "seed of the random number generator")
	f.Float64Var(&o.Fault.Slow, "slow", 0, "fault: factor for all times")
	f.BoolVar(&o.Fault.Silent, "silent", false, "fault: accept requests and never respond")
	f.Float64Var(&o.Fault.Error, "error", 0, "fault: share of requests answered with status 500")
	f.Float64Var(&o.Fault.Cut, "cut", 0, "fault: share of responses truncated in the middle")
	f.BoolVar(&o.Models.Enabled, "orders", false, "engine: serve only with a model that an order loaded")
	f.BoolVar(&o.Models.IgnoreTokens, "ignore-tokens", false, "engine: do not check fencing tokens")
	f.DurationVar(&o.Models.LoadTime, "load-time", 200*time.Millisecond, "engine: time of a model load in addition to the transfer")
	f.StringVar(&o.Models.Store, "weight-store", "", "engine: `address` of a weight store")
	f.StringVar(&o.Models.FailLoads, "fail-loads", "", "engine: `version` whose loads fail")
}

// Execute implements subcommands.Command.
func (s *Standin) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if s.config != "" {
		return s.runFromConfig(ctx)
	}
	l, err := net.Listen("tcp", s.opts.Listen)
	if err != nil {
		return failure(err)
	}
	server := &http.Server{Handler: standin.New(s.opts).Handler()}
	go func() {
		<-ctx.Done()
		server.Shutdown(context.Background())
	}()
	if err := server.Serve(l); err != http.ErrServerClosed {
		return failure(err)
	}
	return subcommands.ExitSuccess
}

// standinControl is the section [control] of the configuration file.
type standinControl struct {
	Listen string `ini:"listen" required:"true"`
}

const standinSection = "standin:"

func (s *Standin) runFromConfig(ctx context.Context) subcommands.ExitStatus {
	control, items, err := readStandins(s.config)
	if err != nil {
		return usage(err)
	}
	host := standin.NewHost()
	defer host.Close()
	for name, o := range items {
		if err := host.Add(name, o.Listen, o); err != nil {
			return failure(err)
		}
	}
	l, err := net.Listen("tcp", control.Listen)
	if err != nil {
		return failure(err)
	}
	if err := host.Serve(ctx, l); err != nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}

func readStandins(path string) (standinControl, map[string]standin.Options, error) {
	var control standinControl
	data, err := os.ReadFile(path)
	if err != nil {
		return control, nil, err
	}
	f, err := strictini.Parse(path, data)
	if err != nil {
		return control, nil, err
	}
	items := map[string]standin.Options{}
	for _, section := range f.Sections() {
		name, ok := strings.CutPrefix(section, standinSection)
		switch {
		case section == "control":
			f.Decode(section, &control)
		case ok:
			var o standin.Options
			f.Decode(section, &o)
			items[name] = o
		default:
			f.Fail(section, "", "unknown section ["+section+"]", "use control or standin:NAME")
		}
	}
	return control, items, f.Err()
}
