package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/schollz/progressbar/v3"

	"caperdrum.org/ctl/adminclient"
)

// Config says what to measure and on which system.
type Config struct {
	Deployment   Deployment
	Scenarios    []Scenario
	Policies     []Policy
	ConfigText   string // operators' configuration, which the policies modify
	Repeats      int
	Seed         uint64
	Entries      []string // addresses
	Admin        *adminclient.Client
	Control      string // control address of the stand-ins
	EntryPIDFile string // holds the process ID of the entry to kill; if empty, scenarios that need it are skipped
	Progress     io.Writer
}

// Bench runs the scenarios and collects their results.
type Bench struct {
	config   Config
	system   *system
	standins *standinControl
	sender   *httpSender
	results  map[string]*Result
	order    []*Result
	runTag   string // unique prefix of the request IDs of this measurement
	runs     int
}

// New returns a Bench for a running system.
func New(c Config) *Bench {
	b := newBalancer(c.Entries)
	agents := 0
	for _, p := range c.Deployment.Pools {
		agents += p.Count
	}
	return &Bench{config: c, standins: newStandinControl(c.Control), sender: newSender(b), results: map[string]*Result{}, runTag: uuid.NewString()[:tagLength],
		system: &system{admin: c.Admin, balancer: b, agents: agents}}
}

// Run measures every scenario under every policy, once per repeat. Every other repeat runs the policies in
// reverse order, so that a drift of the machine affects all of them alike. In the same repeat all policies
// get the same schedule.
func (b *Bench) Run(ctx context.Context) ([]*Result, error) {
	b.sender.balancer.watch(ctx)
	for _, sc := range b.config.Scenarios {
		if sc.KillEntry > 0 && b.config.EntryPIDFile == "" {
			fmt.Fprintf(b.config.Progress, "%s: skipped, no process ID file of an entry to kill was given\n", sc.Name)
			continue
		}
		for repeat := range b.config.Repeats {
			for i := range b.config.Policies {
				n := i
				if repeat%2 == 1 {
					n = len(b.config.Policies) - 1 - i
				}
				if err := b.runOnce(ctx, sc, b.config.Policies[n], b.config.Seed+uint64(repeat)); err != nil {
					return b.finish(), fmt.Errorf("%s under %s: %w", sc.Name, b.config.Policies[n].Name, err)
				}
			}
		}
	}
	return b.finish(), nil
}

func (b *Bench) finish() []*Result {
	for _, r := range b.order {
		r.computeQuantiles()
	}
	return b.order
}

func (b *Bench) result(sc Scenario, p Policy) *Result {
	key := sc.Name + " " + p.Name
	if b.results[key] == nil {
		b.results[key] = newResult(sc, p.Name)
		b.order = append(b.order, b.results[key])
	}
	return b.results[key]
}

const (
	tagLength  = 8
	settleTime = 300 * time.Millisecond // time for work that was cancelled at the end of the run
	startDelay = 200 * time.Millisecond // time before the first request
)

func (b *Bench) runOnce(ctx context.Context, sc Scenario, p Policy, seed uint64) error {
	if err := b.prepare(ctx, sc, p); err != nil {
		return err
	}
	b.runs++
	plan := Plan{Deployment: b.config.Deployment, Scenario: sc, Seed: seed, Tag: fmt.Sprintf("%s-%03d", b.runTag, b.runs), Rates: NominalRates(b.config.Deployment, sc, b.config.Seed)}
	schedule := plan.Schedule()
	markFitting(plan, schedule)
	r := b.result(sc, p)
	before := b.system.counters(ctx)
	outcomes := b.load(ctx, sc, p, schedule, r)
	if err := ctx.Err(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	t, err := b.standins.truth(ctx)
	if err != nil {
		return err
	}
	r.check(outcomes, t)
	b.system.counters(ctx).addDeltas(before, r.Counters)
	_, ideal := idealCacheHits(b.config.Deployment, t.generatedRequests(schedule))
	r.Runs++
	r.Hits += (t.cacheHitRatio() - r.Hits) / float64(r.Runs)
	r.Ideal += (ideal - r.Ideal) / float64(r.Runs)
	r.Seconds += (totalDuration(sc.Profile) - sc.Warmup).Seconds()
	return b.standins.reset(ctx)
}

func (b *Bench) prepare(ctx context.Context, sc Scenario, p Policy) error {
	if err := b.standins.reset(ctx); err != nil {
		return err
	}
	text, err := p.Apply(b.config.ConfigText)
	if err != nil {
		return err
	}
	if err := b.system.apply(ctx, text); err != nil {
		return err
	}
	if err := b.system.waitReady(ctx); err != nil {
		return err
	}
	if sc.LoadLag > 0 {
		return b.standins.loadLag(ctx, sc.LoadLag)
	}
	return nil
}

// load runs the schedule and injects the faults of the scenario at their times.
func (b *Bench) load(ctx context.Context, sc Scenario, p Policy, schedule []*Request, r *Result) []Outcome {
	bar := progressbar.NewOptions(len(schedule), progressbar.OptionSetWriter(b.config.Progress), progressbar.OptionSetDescription(sc.Name+" / "+p.Name),
		progressbar.OptionShowCount(), progressbar.OptionThrottle(time.Second/4), progressbar.OptionClearOnFinish())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	time.Sleep(startDelay)
	for _, f := range sc.Faults {
		go b.inject(ctx, f)
	}
	if sc.KillEntry > 0 {
		go b.killEntry(ctx, sc.KillEntry)
	}
	var mu sync.Mutex
	outcomes := make([]Outcome, 0, len(schedule))
	Run(ctx, clockwork.NewRealClock(), schedule, b.sender, func(o Outcome) {
		mu.Lock()
		defer mu.Unlock()
		outcomes = append(outcomes, o)
		r.count(o)
		bar.Add(1)
	})
	bar.Finish()
	return outcomes
}

func (b *Bench) inject(ctx context.Context, f TimedFault) {
	if !sleepContext(ctx, f.At) {
		return
	}
	for _, name := range f.targets(b.config.Deployment) {
		if err := b.standins.fault(ctx, name, f.Fault); err != nil {
			fmt.Fprintf(b.config.Progress, "fault at %s not injected: %v\n", name, err)
		}
	}
}

// killEntry sends SIGKILL to the entry whose process ID is in the file. The process that started the entry
// restarts it.
func (b *Bench) killEntry(ctx context.Context, at time.Duration) {
	if !sleepContext(ctx, at) {
		return
	}
	data, err := os.ReadFile(b.config.EntryPIDFile)
	if err == nil {
		var pid int
		if pid, err = strconv.Atoi(strings.TrimSpace(string(data))); err == nil {
			err = syscall.Kill(pid, syscall.SIGKILL)
		}
	}
	if err != nil {
		fmt.Fprintf(b.config.Progress, "entry not killed: %v\n", err)
	}
}
