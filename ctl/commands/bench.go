package commands

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"caperdrum.org/api/strictini"
	"caperdrum.org/ctl/bench"
)

// Bench measures a running system under load and faults.
type Bench struct {
	adminFlags
	deployment, scenarios, policies, text string
	entries, control, net, prepare        string
	pidFile, json, plot, show             string
	measure                               time.Duration
	repeats                               int
	seed                                  uint64
	details                               bool
}

func (*Bench) Name() string     { return "bench" }
func (*Bench) Synopsis() string { return "measure a running system under load and faults" }
func (*Bench) Usage() string {
	return "bench -prepare DIR [-deployment NAME] -text FILE\n  Writes a deployment on loopback; scripts/bench.sh starts it.\n" +
		"bench -show FILE.json\n  Prints an earlier report.\n" +
		"bench -entries A,B -admin A,B -standins A -text FILE [-scenario all] [-policies predicted,round-robin]\n" +
		"  Runs the scenarios against a running system whose upstreams are the stand-ins of the deployment.\n"
}

// SetFlags implements subcommands.Command.
func (b *Bench) SetFlags(f *flag.FlagSet) {
	b.adminFlags.SetFlags(f)
	f.StringVar(&b.deployment, "deployment", "argyris", "size and mix of load: argyris or blomsterhallen")
	f.StringVar(&b.scenarios, "scenario", "main", "names, comma-separated; main is a short selection, all is all")
	f.StringVar(&b.policies, "policies", "predicted,round-robin", "variants of the configuration to compare: text, a routing policy, or NAME[KEY=VALUE;...]")
	f.StringVar(&b.text, "text", "", "operators' configuration that the policies modify")
	f.StringVar(&b.entries, "entries", "", "`addresses` of the entries, comma-separated")
	f.StringVar(&b.control, "standins", "", "control `address` of the stand-ins")
	f.StringVar(&b.net, "net", "127.1", "first two bytes of the loopback addresses that -prepare assigns")
	f.StringVar(&b.prepare, "prepare", "", "write a deployment into this `directory` and exit")
	f.StringVar(&b.pidFile, "entry-pid-file", "", "`file` with the process id of the entry to kill in the scenario entry-killed")
	f.StringVar(&b.json, "json", "", "write the report to this `file`")
	f.StringVar(&b.plot, "plot", "", "write a bar chart to these `files`, .svg or .png, comma-separated")
	f.StringVar(&b.show, "show", "", "print the report of this JSON `file` and exit")
	f.DurationVar(&b.measure, "measure", 8*time.Second, "measured time of each run, without warm-up")
	f.IntVar(&b.repeats, "repeats", 1, "how often each scenario runs under each policy")
	f.Uint64Var(&b.seed, "seed", 1, "seed of the generated load")
	f.BoolVar(&b.details, "details", false, "also print flows, customers, costs and causes of failures")
}

// Execute implements subcommands.Command.
func (b *Bench) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := bench.ByName(b.deployment)
	if err != nil {
		return usage(err)
	}
	if b.show != "" {
		return b.showReport()
	}
	text, err := os.ReadFile(b.text)
	if err != nil {
		return usage(fmt.Errorf("cannot read the operators' configuration, see -text: %w", err))
	}
	if b.prepare != "" {
		if err := bench.Prepare(b.prepare, d, bench.Layout{Net: b.net}, string(text), b.seed); err != nil {
			return failure(err)
		}
		return subcommands.ExitSuccess
	}
	c, err := b.config(d, string(text))
	if err != nil {
		return usage(err)
	}
	return b.run(ctx, c)
}

func (b *Bench) config(d bench.Deployment, text string) (bench.Config, error) {
	c := bench.Config{Deployment: d, ConfigText: text, Repeats: b.repeats, Seed: b.seed, Entries: strictini.SplitList(b.entries),
		Control: b.control, EntryPIDFile: b.pidFile, Progress: os.Stderr}
	if len(c.Entries) == 0 || c.Control == "" {
		return c, fmt.Errorf("set -entries, -admin and -standins, or run scripts/bench.sh")
	}
	var err error
	if c.Admin, err = b.client(); err != nil {
		return c, err
	}
	if c.Scenarios, err = bench.Choose(bench.Scenarios(b.measure), b.scenarios); err != nil {
		return c, err
	}
	c.Policies, err = bench.ParsePolicies(b.policies)
	return c, err
}

// run measures and reports. Results from before a failure are reported too.
func (b *Bench) run(ctx context.Context, c bench.Config) subcommands.ExitStatus {
	results, err := bench.New(c).Run(ctx)
	report := &bench.Report{At: time.Now(), Deployment: c.Deployment.Name, Seed: c.Seed, Repeats: c.Repeats, Results: results}
	if werr := b.print(report, c.Deployment); werr != nil {
		return failure(werr)
	}
	if err != nil {
		return failure(err)
	}
	for _, r := range results {
		if r.Wrong+r.Doubled+r.Phantom+r.FalseNotRun > 0 {
			return failure(fmt.Errorf("a guarantee was violated: see WRONG, DOUBLED and FALSE NOT-RUN"))
		}
	}
	return subcommands.ExitSuccess
}

func (b *Bench) showReport() subcommands.ExitStatus {
	report, err := bench.ReadJSON(b.show)
	if err != nil {
		return failure(err)
	}
	d, err := bench.ByName(report.Deployment)
	if err == nil {
		err = b.print(report, d)
	}
	if err != nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}

func (b *Bench) print(r *bench.Report, d bench.Deployment) error {
	r.WriteTable(os.Stdout, d)
	if b.details {
		r.WriteDetails(os.Stdout)
	}
	if b.json != "" {
		if err := r.WriteJSON(b.json); err != nil {
			return err
		}
	}
	for _, path := range strictini.SplitList(b.plot) {
		if err := r.WritePlot(path, d); err != nil {
			return err
		}
	}
	return nil
}
