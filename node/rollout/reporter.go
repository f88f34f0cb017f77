package rollout

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
)

const (
	// minInterval and intervalPerProcess set how often a process reports: all processes together send at most
	// 200 reports a second.
	minInterval        = 250 * time.Millisecond
	intervalPerProcess = 5 * time.Millisecond
	sendTimeout        = 800 * time.Millisecond
)

// Reporter sends this process's counts to the leader while a rollout runs.
type Reporter struct {
	Counter   *Counter
	Clock     clockwork.Clock
	Self      func() wire.Member
	Processes func() int // number of processes that send reports
	Send      func(context.Context, *wire.RolloutReport) error
	OnError   func(error) // called for each report that was not acknowledged
}

// Interval returns the time between two reports of a process if there are so many processes.
func Interval(processes int) time.Duration {
	return max(minInterval, time.Duration(processes)*intervalPerProcess)
}

// Run sends reports until ctx is cancelled.
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
		r.Counter.RetryReport()
		r.OnError(err)
	}
}
