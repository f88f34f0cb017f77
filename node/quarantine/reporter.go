package quarantine

import (
	"context"
	"sync"
	"time"

	"caperdrum.org/api/wire"
)

const (
	// batchDelay is how long crashes are collected for one report: a crash interrupts all calls of the
	// upstream at once.
	batchDelay = 10 * time.Millisecond
	// retryDelay is the pause before a report is sent again, for example while there is no leader.
	retryDelay  = 150 * time.Millisecond
	sendTimeout = time.Second
	// maxPendingCalls bounds the calls in a pending report. Calls beyond it are dropped: other processes
	// report the same crashes.
	maxPendingCalls = 2048
)

// Reporter sends the crashes that this process has seen to the leader, until they are acknowledged.
type Reporter struct {
	send func(context.Context, *wire.CrashReport) error

	mu      sync.Mutex
	pending *pendingReport
	wake    chan struct{}
}

// pendingReport collects the next report, without duplicates.
type pendingReport struct {
	crashes  map[wire.Start]map[wire.Fingerprint]wire.CallSummary
	answered map[wire.Fingerprint]wire.CallSummary
	calls    int
}

func newPending() *pendingReport {
	return &pendingReport{crashes: map[wire.Start]map[wire.Fingerprint]wire.CallSummary{}, answered: map[wire.Fingerprint]wire.CallSummary{}}
}

// NewReporter returns a Reporter. Run must be called to send reports.
func NewReporter(send func(context.Context, *wire.CrashReport) error) *Reporter {
	return &Reporter{send: send, pending: newPending(), wake: make(chan struct{}, 1)}
}

// Add adds the report to the pending one.
func (r *Reporter) Add(report *wire.CrashReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending.add(report)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (p *pendingReport) add(report *wire.CrashReport) {
	for _, crash := range report.Crashes {
		for _, call := range crash.Calls {
			if p.calls < maxPendingCalls {
				p.addCall(crash.Upstream, call)
			}
		}
	}
	for _, call := range report.Answered {
		if _, known := p.answered[call.Fingerprint]; !known && p.calls < maxPendingCalls {
			p.answered[call.Fingerprint] = call
			p.calls++
		}
	}
}

func (p *pendingReport) addCall(start wire.Start, call wire.CallSummary) {
	if p.crashes[start] == nil {
		p.crashes[start] = map[wire.Fingerprint]wire.CallSummary{}
	}
	if _, known := p.crashes[start][call.Fingerprint]; !known {
		p.crashes[start][call.Fingerprint] = call
		p.calls++
	}
}

func (p *pendingReport) report() *wire.CrashReport {
	out := &wire.CrashReport{}
	for start, calls := range p.crashes {
		crash := wire.Crash{Upstream: start}
		for _, call := range calls {
			crash.Calls = append(crash.Calls, call)
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, call := range p.answered {
		out.Answered = append(out.Answered, call)
	}
	return out
}

// take returns and resets the pending report, or returns nil if it is empty.
func (r *Reporter) take() *wire.CrashReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending.calls == 0 {
		return nil
	}
	report := r.pending.report()
	r.pending = newPending()
	return report
}

// Run sends reports until ctx is cancelled.
func (r *Reporter) Run(ctx context.Context) {
	for wait := batchDelay; ; wait = batchDelay {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for {
			if !sleep(ctx, wait) {
				return
			}
			report := r.take()
			if report == nil {
				break
			}
			if err := r.sendOnce(ctx, report); err == nil {
				break
			}
			r.Add(report)
			wait = retryDelay
		}
	}
}

func (r *Reporter) sendOnce(ctx context.Context, report *wire.CrashReport) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return r.send(ctx, report)
}

// sleep waits for d and reports whether ctx was still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
