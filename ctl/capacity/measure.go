package capacity

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/node/configsync"
)

// Options configure a measurement.
type Options struct {
	Daemon    string // path of caperdrumd
	Sizes     []int  // numbers of members to measure with a small configuration
	TextSizes []int  // numbers of members to measure with a configuration of Customers customers
	Customers int
	Progress  func(string)
}

const (
	settleTime             = 2 * time.Second // time after a start until buffers and leases are in steady state
	idleTime               = 5 * time.Second
	smallConfigCustomers   = 100 // customers
	changeCount            = 12
	largeConfigChangeCount = 6
	restartCount           = 8
	changeInterval         = 300 * time.Millisecond
	restartInterval        = 100 * time.Millisecond
)

// Measurement is the result of the measurement.
type Measurement struct {
	MeasuredAt time.Time `json:"when"`
	Cores      int       `json:"cores"`
	Sizes      []Sample  `json:"sizes"`
	Texts      []Sample  `json:"texts"` // few members, large configuration
}

// MeasureSizes replaces the samples with a small configuration. It calls save after each sample, since the
// run may be interrupted.
func (o Options) MeasureSizes(ctx context.Context, m *Measurement, save func() error) error {
	m.MeasuredAt, m.Sizes = time.Now().UTC(), nil
	return o.measure(ctx, &m.Sizes, o.Sizes, smallConfigCustomers, save)
}

// MeasureTexts replaces the samples with a large configuration.
func (o Options) MeasureTexts(ctx context.Context, m *Measurement, save func() error) error {
	m.Texts = nil
	return o.measure(ctx, &m.Texts, o.TextSizes, o.Customers, save)
}

func (o Options) measure(ctx context.Context, out *[]Sample, sizes []int, customers int, save func() error) error {
	for _, n := range sizes {
		s, err := o.run(ctx, n, customers)
		if err != nil {
			return errors.Annotatef(err, "%d members, %d customers", n, customers)
		}
		*out = append(*out, *s)
		if err := save(); err != nil {
			return err
		}
	}
	return nil
}

// clusterRun is the measurement of one cluster with its members.
type clusterRun struct {
	cluster   *cluster
	members   *members
	leader    *process
	followers []*process
	sample    *Sample
}

func (o Options) run(ctx context.Context, n, customers int) (*Sample, error) {
	c, err := startCluster(ctx, o.Daemon)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return nil, err
	}
	r := &clusterRun{cluster: c, members: &members{}, sample: &Sample{Members: n, Customers: customers}}
	defer func() { r.members.stop() }()
	if r.leader, r.followers, err = c.roles(ctx); err != nil {
		return nil, err
	}
	for _, p := range c.control {
		r.members.controlAddresses = append(r.members.controlAddresses, p.peer)
	}
	steps := []func(context.Context) error{r.start, r.measureIdle, r.measureChanges, r.measureRestarts, r.checkSameLeader}
	if customers == smallConfigCustomers {
		steps = append(steps, r.measureFollowersOnly, r.checkSameLeader)
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	r.sample.Load = loadAverages()
	o.Progress(fmt.Sprintf("%+v", *r.sample))
	return r.sample, nil
}

func (r *clusterRun) start(ctx context.Context) error {
	if _, err := r.cluster.apply(ctx, configWithCustomers(r.sample.Customers, 0, 1)); err != nil {
		return err
	}
	before := heapInUse()
	if err := r.members.start(ctx, r.sample.Members); err != nil {
		return err
	}
	time.Sleep(settleTime)
	r.sample.Heap = heapInUse() - before
	return nil
}

func (r *clusterRun) measureIdle(context.Context) (err error) {
	r.sample.Idle, err = r.phase(0, func() error { time.Sleep(idleTime); return nil })
	return err
}

func (r *clusterRun) measureChanges(ctx context.Context) (err error) {
	n := changeCount
	if r.sample.Customers > smallConfigCustomers {
		n = largeConfigChangeCount
	}
	var texts []string
	for i := range n {
		texts = append(texts, configWithCustomers(r.sample.Customers, i, 2))
	}
	var times []float64
	r.sample.Changes, err = r.phase(n, func() error {
		for _, text := range texts {
			version, err := r.cluster.apply(ctx, text)
			if err != nil {
				return err
			}
			accepted := time.Now()
			if err := waitFor(ctx, "a change to come into force", func() bool {
				return r.members.allMatch(func(v *configsync.View) bool { return v.Version >= version })
			}); err != nil {
				return err
			}
			for _, m := range r.members.list {
				if at, ok := m.inForceSince.Load(version); ok {
					times = append(times, max(0, at.(time.Time).Sub(accepted).Seconds()*1000))
				}
			}
			time.Sleep(changeInterval)
		}
		return nil
	})
	if err != nil {
		return err
	}
	slices.Sort(times)
	r.sample.InForce50, r.sample.InForce99 = times[len(times)/2], times[len(times)*99/100]
	r.sample.LeaderRSS, err = readRSS(r.leader.cmd.Process.Pid)
	return err
}

func (r *clusterRun) measureRestarts(ctx context.Context) (err error) {
	r.sample.Restarts, err = r.phase(restartCount, func() error {
		for i := range restartCount {
			if err := r.members.restart(ctx, i%r.sample.Members); err != nil {
				return err
			}
			time.Sleep(restartInterval)
		}
		return nil
	})
	return err
}

// measureFollowersOnly measures the idle cost with all members at the followers, so that the leader only
// handles their renewals. Relays would behave like these followers.
func (r *clusterRun) measureFollowersOnly(ctx context.Context) (err error) {
	r.members.stop()
	r.members = &members{}
	for _, p := range r.followers {
		r.members.controlAddresses = append(r.members.controlAddresses, p.peer)
	}
	if err := r.members.start(ctx, r.sample.Members); err != nil {
		return err
	}
	time.Sleep(settleTime)
	r.sample.Aside, err = r.phase(0, func() error { time.Sleep(idleTime); return nil })
	return err
}

// checkSameLeader fails if the leader changed, because that would mix the costs of leader and followers.
func (r *clusterRun) checkSameLeader(ctx context.Context) error {
	leader, _, err := r.cluster.roles(ctx)
	if err == nil && leader != r.leader {
		err = errors.New("capacity: the leader changed during the run")
	}
	return err
}

func (r *clusterRun) phase(events int, body func() error) (Phase, error) {
	before, err := r.usage()
	if err != nil {
		return Phase{}, err
	}
	began := time.Now()
	if err := body(); err != nil {
		return Phase{}, err
	}
	p, err := r.usage()
	if err != nil {
		return Phase{}, err
	}
	p.Seconds, p.Events = time.Since(began).Seconds(), events
	p.Leader = p.Leader.minus(before.Leader)
	p.Follower = p.Follower.minus(before.Follower)
	p.Members = p.Members.minus(before.Members)
	return p, nil
}

func (u Usage) minus(o Usage) Usage { return Usage{CPU: u.CPU - o.CPU, Bytes: u.Bytes - o.Bytes} }

func (r *clusterRun) usage() (p Phase, err error) {
	if p.Leader, err = readUsage(r.leader.cmd.Process.Pid); err != nil {
		return p, err
	}
	for _, f := range r.followers {
		u, err := readUsage(f.cmd.Process.Pid)
		if err != nil {
			return p, err
		}
		p.Follower.CPU += u.CPU / float64(len(r.followers))
		p.Follower.Bytes += u.Bytes / float64(len(r.followers))
	}
	p.Members = Usage{CPU: ownCPU(), Bytes: float64(r.members.bytes.Load())}
	return p, nil
}

// configWithCustomers returns a configuration with n customers, one of which, changed, has another share.
func configWithCustomers(n, changed, share int) string {
	var text strings.Builder
	text.WriteString("[service:llm]\nkind = engine\nrepeatable = true\n")
	for i := range n {
		s := 1
		if i == changed {
			s = share
		}
		fmt.Fprintf(&text, "[customer:customer-with-a-name-%06d]\nshare = %d\nrate = 1000\n# kept for length\n", i, s)
	}
	return text.String()
}
