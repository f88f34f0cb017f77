package quarantine

import (
	"context"
	"sync"
	"time"

	"caperdrum.org/api/wire"
)

const (
	// gather is how long reports are collected for one call: an upstream that ends cuts all of its
	// calls at once.
	gather = 10 * time.Millisecond
	// againAfter is the pause before a report is sent again, while nobody leads.
	againAfter = 150 * time.Millisecond
	sendTime   = time.Second
	// maxCalls bounds a report that waits, in calls. What comes above it is dropped: others have
	// seen the same upstreams end.
	maxCalls = 2048
)

// Reporter sends what this process has seen to the leader, again until it is acknowledged.
type Reporter struct {
	send func(context.Context, *wire.CrashReport) error

	mu    sync.Mutex
	next  *pending
	awake chan struct{}
}

// pending is a report that is being collected.
type pending struct {
	crashes  map[wire.Start]map[wire.Fingerprint]wire.CallSummary
	answered map[wire.Fingerprint]wire.CallSummary
	calls    int
}

func newPending() *pending {
	return &pending{crashes: map[wire.Start]map[wire.Fingerprint]wire.CallSummary{}, answered: map[wire.Fingerprint]wire.CallSummary{}}
}

// NewReporter returns a reporter; Run sends.
func NewReporter(send func(context.Context, *wire.CrashReport) error) *Reporter {
	return &Reporter{send: send, next: newPending(), awake: make(chan struct{}, 1)}
}

// Add adds to the next report.
func (r *Reporter) Add(report *wire.CrashReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next.add(report)
	select {
	case r.awake <- struct{}{}:
	default:
	}
}

func (p *pending) add(report *wire.CrashReport) {
	for _, crash := range report.Crashes {
		for _, call := range crash.Calls {
			if p.calls < maxCalls {
				p.addCall(crash.Upstream, call)
			}
		}
	}
	for _, call := range report.Answered {
		if _, known := p.answered[call.Fingerprint]; !known && p.calls < maxCalls {
			p.answered[call.Fingerprint] = call
			p.calls++
		}
	}
}

func (p *pending) addCall(start wire.Start, call wire.CallSummary) {
	if p.crashes[start] == nil {
		p.crashes[start] = map[wire.Fingerprint]wire.CallSummary{}
	}
	if _, known := p.crashes[start][call.Fingerprint]; !known {
		p.crashes[start][call.Fingerprint] = call
		p.calls++
	}
}

func (p *pending) report() *wire.CrashReport {
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

// take returns what is to be sent, or nil.
func (r *Reporter) take() *wire.CrashReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next.calls == 0 {
		return nil
	}
	report := r.next.report()
	r.next = newPending()
	return report
}

// Run sends reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for wait := gather; ; wait = gather {
		select {
		case <-ctx.Done():
			return
		case <-r.awake:
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
			wait = againAfter
		}
	}
}

func (r *Reporter) sendOnce(ctx context.Context, report *wire.CrashReport) error {
	ctx, cancel := context.WithTimeout(ctx, sendTime)
	defer cancel()
	return r.send(ctx, report)
}

// sleep reports whether ctx went on for d.
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
