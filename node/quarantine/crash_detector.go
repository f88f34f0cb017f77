package quarantine

import (
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/memberset"
)

const (
	// checkTTL is how long an unreachable upstream is waited for. After it, its interrupted calls are dropped
	// without a verdict. It exceeds the lease of an upstream that stops sending heartbeats.
	checkTTL = 10 * time.Second
	// crashTTL is how long a crash is remembered, for calls whose interruption is noticed late.
	crashTTL = 10 * time.Second
)

// InterruptedCall is a call whose connection to an upstream broke before the answer was complete.
type InterruptedCall struct {
	Call     Call
	Request  string // ID of the attempt, for logs
	Route    string
	Upstream wire.Member
	// Running is the time from the first event of the answer to the interruption; zero if no event had arrived.
	Running time.Duration
}

// CrashDetector finds out whether an interrupted call lost its upstream's process or only its connection. If the
// process has crashed, new connections to its address are refused.
type CrashDetector struct {
	probe   func(address string) error // dials the address; nil if a process listens there
	onCrash func(InterruptedCall)      // called for each call that was in flight at a crashed upstream
	clock   clockwork.Clock

	mu     sync.Mutex
	checks map[wire.Start]*upstreamCheck
}

type upstreamCheck struct {
	upstream  wire.Member
	updatedAt time.Time
	crashed   bool
	probing   bool
	calls     []InterruptedCall // waiting for the result
}

// NewCrashDetector returns a CrashDetector that calls onCrash, which must not block.
func NewCrashDetector(probe func(address string) error, onCrash func(InterruptedCall), clock clockwork.Clock) *CrashDetector {
	return &CrashDetector{probe: probe, onCrash: onCrash, clock: clock, checks: map[wire.Start]*upstreamCheck{}}
}

// Check starts a check of the call's upstream, or joins the one that is running.
func (d *CrashDetector) Check(call InterruptedCall) {
	start := call.Upstream.Start()
	d.mu.Lock()
	d.expire()
	check := d.checks[start]
	if check == nil {
		check = &upstreamCheck{upstream: call.Upstream, updatedAt: d.clock.Now()}
		d.checks[start] = check
	}
	crashed := check.crashed
	if !crashed {
		check.calls = append(check.calls, call)
	}
	startProbe := !crashed && !check.probing
	check.probing = check.probing || startProbe
	d.mu.Unlock()
	if crashed {
		d.onCrash(call)
	}
	if startProbe {
		go d.runProbe(start, call.Upstream.Direct)
	}
}

// runProbe checks whether a process listens at the upstream's address.
func (d *CrashDetector) runProbe(start wire.Start, address string) {
	switch err := d.probe(address); {
	case err == nil:
		d.markAlive(start)
	case IsConnRefused(err):
		d.MarkCrashed(start)
	default: // unreachable: decided by UpdateMembers once the membership changes
		d.mu.Lock()
		if check := d.checks[start]; check != nil {
			check.probing = false
		}
		d.mu.Unlock()
	}
}

// IsConnRefused reports whether err is a refused connection: no process listens at the address.
func IsConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (d *CrashDetector) markAlive(start wire.Start) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if check := d.checks[start]; check != nil && !check.crashed {
		delete(d.checks, start)
	}
}

// MarkCrashed records that this incarnation of an upstream has crashed. It does nothing if no call was interrupted there.
func (d *CrashDetector) MarkCrashed(start wire.Start) {
	d.mu.Lock()
	check := d.checks[start]
	var calls []InterruptedCall
	if check != nil {
		calls, check.calls, check.crashed, check.updatedAt = check.calls, nil, true, d.clock.Now()
	}
	d.mu.Unlock()
	for _, call := range calls {
		d.onCrash(call)
	}
}

// Crashed reports whether this incarnation of an upstream is known to have crashed within crashTTL.
func (d *CrashDetector) Crashed(start wire.Start) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	check := d.checks[start]
	return check != nil && check.crashed && d.clock.Since(check.updatedAt) <= crashTTL
}

// UpdateMembers takes the new membership. A start whose address now belongs to another start has ended.
func (d *CrashDetector) UpdateMembers(members memberset.Set) {
	d.mu.Lock()
	if len(d.checks) == 0 {
		d.mu.Unlock()
		return
	}
	addresses := map[string]bool{}
	for m := range members.All() {
		addresses[m.Direct] = true
	}
	var ended []wire.Start
	for start, check := range d.checks {
		if m, known := members.Get(start.ID); !check.crashed && (!known || m.Start() != start) && addresses[check.upstream.Direct] {
			ended = append(ended, start)
		}
	}
	d.mu.Unlock()
	for _, start := range ended {
		d.MarkCrashed(start)
	}
}

// expire drops outdated checks. The caller holds mu.
func (d *CrashDetector) expire() {
	for start, check := range d.checks {
		if age := d.clock.Since(check.updatedAt); check.crashed && age > crashTTL || !check.crashed && age > checkTTL {
			delete(d.checks, start)
		}
	}
}
