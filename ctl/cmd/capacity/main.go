// Command capacity measures what control costs per member and writes the
// tables of docs/CAPACITY.md and its plots from that. It starts and ends its
// own caperdrumd processes on loopback.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"

	"caperdrum.org/ctl/capacity"
)

func main() {
	daemon := flag.String("daemon", "bin/caperdrumd", "`path` of caperdrumd")
	docs := flag.String("docs", "docs", "`folder` of CAPACITY.md")
	keep := flag.Bool("keep", false, "use the figures of the last run, in capacity.json, and measure nothing")
	quick := flag.Bool("quick", false, "small sizes only; writes nothing")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, *daemon, *docs, *keep, *quick); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, daemon, docs string, keep, quick bool) error {
	figures := filepath.Join(docs, "capacity.json")
	if keep {
		m, err := capacity.Load(figures)
		if err != nil {
			return err
		}
		return capacity.Write(docs, m)
	}
	o := capacity.Options{Daemon: daemon, Sizes: []int{10, 50, 200, 500, 1000}, TextSizes: []int{2, 12}, Customers: 25_000,
		Progress: func(s string) { fmt.Fprintln(os.Stderr, s) }}
	if quick {
		o.Sizes, o.TextSizes = []int{5, 20}, []int{2, 4}
	}
	m, err := o.Measure(ctx)
	if err != nil || quick {
		return err
	}
	m.Cores = runtime.NumCPU()
	if err := m.Save(figures); err != nil {
		return err
	}
	return capacity.Write(docs, m)
}
