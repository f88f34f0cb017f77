package rollout

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
)

const (
	// leastInterval and intervalPerProcess say how often a process reports: all together at most 200
	// times a second, however many there are.
	minInterval        = 250 * time.Millisecond
	intervalPerProcess = 5 * time.Millisecond
	sendTimeout        = 800 * time.Millisecond
)

// Reporter sends the leader what a process counts while a roll-out runs.
type Reporter struct {
	Counter   *Counter
	Clock     clockwork.Clock
	Self      func() wire.Member
	Processes func() int // that report
	Send      func(context.Context, *wire.RolloutReport) error
	Lost      func(error) // told of reports that were not acknowledged
}

// Interval is the time between two reports of one of so many processes.
func Interval(processes int) time.Duration {
	return max(minInterval, time.Duration(processes)*intervalPerProcess)
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(Interval(r.Processes())):
			r.report(ctx)
		}
	}
}

func (r *Reporter) report(ctx context.Context) {
	counts := r.Counter.Report()
	if counts == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := r.Send(ctx, &wire.RolloutReport{From: r.Self().Start(), Counts: counts}); err != nil {
		r.Counter.Again()
		r.Lost(err)
	}
}
