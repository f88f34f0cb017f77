package commands

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"caperdrum.org/fake/standin"
)

// Standin runs a stand-in upstream.
type Standin struct {
	opts   standin.Options
	listen string
}

func (*Standin) Name() string     { return "standin" }
func (*Standin) Synopsis() string { return "run a small stand-in for an upstream" }
func (*Standin) Usage() string {
	return "standin -kind engine|encoder|retriever|reranker|plain -listen IP:PORT\n"
}

// SetFlags implements subcommands.Command.
func (s *Standin) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.opts.Kind, "kind", "plain", "kind of upstream")
	f.StringVar(&s.listen, "listen", "127.0.0.1:9000", "`address` to listen on")
	f.DurationVar(&s.opts.Delay, "delay", 2*time.Millisecond, "time until the first byte of an answer")
	f.DurationVar(&s.opts.TokenDelay, "token-delay", 2*time.Millisecond, "engine: time between tokens")
	f.IntVar(&s.opts.Tokens, "tokens", 16, "engine: tokens of an answer")
}

// Execute implements subcommands.Command.
func (s *Standin) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	l, err := net.Listen("tcp", s.listen)
	if err != nil {
		return failure(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
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
