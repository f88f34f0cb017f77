// Command capacity measures the cost of the control plane per member and generates the tables and plots of
// docs/CAPACITY.md from it. It starts and stops its own caperdrumd processes on loopback.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"

	"github.com/juju/errors"

	"caperdrum.org/ctl/capacity"
)

func main() {
	daemon := flag.String("daemon", "bin/caperdrumd", "`path` of caperdrumd")
	docs := flag.String("docs", "docs", "`directory` of CAPACITY.md")
	part := flag.String("part", "", "what to measure: `sizes` or texts; if empty, only write the tables from the last measurement")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *daemon, *docs, *part); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run stores the measurement in capacity.json next to the page.
func run(ctx context.Context, daemon, docs, part string) error {
	figures := filepath.Join(docs, "capacity.json")
	m, err := capacity.Load(figures)
	if err != nil && (part == "" || !errors.Is(err, os.ErrNotExist)) {
		return err
	}
	m.Cores = runtime.NumCPU()
	save := func() error { return m.Save(figures) }
	o := capacity.Options{Daemon: daemon, Sizes: []int{10, 50, 200, 500, 1000}, TextSizes: []int{2, 12}, Customers: 25_000,
		Progress: func(s string) { fmt.Fprintln(os.Stderr, s) }}
	switch part {
	case "sizes":
		return o.MeasureSizes(ctx, m, save)
	case "texts":
		return o.MeasureTexts(ctx, m, save)
	}
	return capacity.Write(docs, m)
}
