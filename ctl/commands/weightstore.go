package commands

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"caperdrum.org/fake/weightstore"
)

// WeightStore runs a stand-in weight store.
type WeightStore struct {
	listen string
	rate   int64
}

func (*WeightStore) Name() string     { return "weightstore" }
func (*WeightStore) Synopsis() string { return "run a rate-limited stand-in for a weight store" }
func (*WeightStore) Usage() string    { return "weightstore -listen IP:PORT -rate BYTES\n" }

// SetFlags implements subcommands.Command.
func (s *WeightStore) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.listen, "listen", "127.0.0.1:9100", "`address` to listen on")
	f.Int64Var(&s.rate, "rate", 64<<20, "total `bytes` per second over all readers")
}

// Execute implements subcommands.Command.
func (s *WeightStore) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	l, err := net.Listen("tcp", s.listen)
	if err != nil {
		return failure(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Handler: weightstore.New(s.rate).Handler()}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(l); err != http.ErrServerClosed {
		return failure(err)
	}
	return subcommands.ExitSuccess
}
