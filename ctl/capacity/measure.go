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

// Options of a measurement.
type Options struct {
	Daemon    string // path of caperdrumd
	Sizes     []int  // numbers of members, with a small text
	TextSizes []int  // numbers of members, with a text of Customers
	Customers int
	Progress  func(string)
}

const (
	settle          = 2 * time.Second // after a start, until buffers and leases are steady
	idleTime        = 5 * time.Second
	smallText       = 100 // customers
	changes         = 12
	textChanges     = 6
	restarts        = 8
	betweenChanges  = 300 * time.Millisecond
	betweenRestarts = 100 * time.Millisecond
)

// Measurement is all that a run measured.
type Measurement struct {
	When  time.Time `json:"when"`
	Cores int       `json:"cores"`
	Sizes []Sample  `json:"sizes"`
	Texts []Sample  `json:"texts"` // few members, large text
}

// MeasureSizes replaces the samples with a small text. It calls save after
// each, since a run may be ended early.
func (o Options) MeasureSizes(ctx context.Context, m *Measurement, save func() error) error {
	m.When, m.Sizes = time.Now().UTC(), nil
	return o.measure(ctx, &m.Sizes, o.Sizes, smallText, save)
}

// MeasureTexts replaces the samples with a large text.
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

// run is one cluster with its members.
type run struct {
	c         *cluster
	ms        *members
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
	r := &run{c: c, ms: &members{}, sample: &Sample{Members: n, Customers: customers}}
	defer func() { r.ms.stop() }()
	if r.leader, r.followers, err = c.roles(ctx); err != nil {
		return nil, err
	}
	for _, p := range c.control {
		r.ms.control = append(r.ms.control, p.peer)
	}
	steps := []func(context.Context) error{r.start, r.idle, r.changes, r.restarts, r.sameLeader}
	if customers == smallText {
		steps = append(steps, r.aside, r.sameLeader)
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

func (r *run) start(ctx context.Context) error {
	if _, err := r.c.apply(ctx, customers(r.sample.Customers, 0, 1)); err != nil {
		return err
	}
	before := heap()
	if err := r.ms.start(ctx, r.sample.Members); err != nil {
		return err
	}
	time.Sleep(settle)
	r.sample.Heap = heap() - before
	return nil
}

func (r *run) idle(context.Context) (err error) {
	r.sample.Idle, err = r.phase(0, func() error { time.Sleep(idleTime); return nil })
	return err
}

func (r *run) changes(ctx context.Context) (err error) {
	n := changes
	if r.sample.Customers > smallText {
		n = textChanges
	}
	var texts []string
	for i := range n {
		texts = append(texts, customers(r.sample.Customers, i, 2))
	}
	var times []float64
	r.sample.Changes, err = r.phase(n, func() error {
		for _, text := range texts {
			version, err := r.c.apply(ctx, text)
			if err != nil {
				return err
			}
			accepted := time.Now()
			if err := waitFor(ctx, "a change in force", func() bool {
				return r.ms.all(func(v *configsync.View) bool { return v.Version >= version })
			}); err != nil {
				return err
			}
			for _, m := range r.ms.list {
				if at, ok := m.at.Load(version); ok {
					times = append(times, max(0, at.(time.Time).Sub(accepted).Seconds()*1000))
				}
			}
			time.Sleep(betweenChanges)
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

func (r *run) restarts(ctx context.Context) (err error) {
	r.sample.Restarts, err = r.phase(restarts, func() error {
		for i := range restarts {
			if err := r.ms.restart(ctx, i%r.sample.Members); err != nil {
				return err
			}
			time.Sleep(betweenRestarts)
		}
		return nil
	})
	return err
}

// aside measures the idle cost once more with all members at the followers, so
// that the leader only takes their renewals. A relay would work as these do.
func (r *run) aside(ctx context.Context) (err error) {
	r.ms.stop()
	r.ms = &members{}
	for _, p := range r.followers {
		r.ms.control = append(r.ms.control, p.peer)
	}
	if err := r.ms.start(ctx, r.sample.Members); err != nil {
		return err
	}
	time.Sleep(settle)
	r.sample.Aside, err = r.phase(0, func() error { time.Sleep(idleTime); return nil })
	return err
}

// sameLeader fails when the roles changed, which would mix their costs.
func (r *run) sameLeader(ctx context.Context) error {
	leader, _, err := r.c.roles(ctx)
	if err == nil && leader != r.leader {
		err = errors.New("capacity: the leader changed during the run")
	}
	return err
}

func (r *run) phase(events int, body func() error) (Phase, error) {
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

func (r *run) usage() (p Phase, err error) {
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
	p.Members = Usage{CPU: ownCPU(), Bytes: float64(r.ms.bytes.Load())}
	return p, nil
}

// customers is a text with n customers, of which one has another share.
func customers(n, changed, share int) string {
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
