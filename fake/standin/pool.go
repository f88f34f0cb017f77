package standin

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// pool serves a limited number of concurrent calls in order of arrival, with random service times.
type pool struct {
	opts   Options
	clock  clockwork.Clock
	faults *faults
	slots  chan struct{} // nil without a limit

	mu     sync.Mutex
	random *rand.Rand
}

func newPool(o Options, clock clockwork.Clock, f *faults) *pool {
	p := &pool{opts: o, clock: clock, faults: f, random: rand.New(rand.NewPCG(uint64(o.Seed), serviceStream))}
	if o.Concurrency > 0 {
		p.slots = make(chan struct{}, o.Concurrency)
	}
	return p
}

// serviceTime draws the service time of a call; size is in bytes.
func (p *pool) serviceTime(size int) time.Duration {
	p.mu.Lock()
	factor := math.Exp(p.random.NormFloat64() * p.opts.Sigma)
	p.mu.Unlock()
	median := float64(p.opts.Delay) + float64(p.opts.PerKilobyte)*float64(size)/1000
	return time.Duration(median * factor)
}

// serve waits for a slot, calls started and waits for the service time. It returns the time spent after
// started, and false if the caller disconnected before the end.
func (p *pool) serve(ctx context.Context, size int, started func()) (time.Duration, bool) {
	if p.slots != nil {
		select {
		case p.slots <- struct{}{}:
		case <-ctx.Done():
			return 0, false
		}
		defer func() { <-p.slots }()
	}
	started()
	began := p.clock.Now()
	stayed := sleep(ctx, p.clock, p.faults.scaled(p.serviceTime(size)))
	return p.clock.Since(began), stayed
}
