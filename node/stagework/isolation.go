package stagework

import (
	"time"

	"caperdrum.org/api/verdict"
)

const (
	// isolatedAfter is how long control and the owner must be silent for this process to count as isolated. It is
	// longer than an election, and longer than control takes to recover from a restart of all its processes.
	isolatedAfter = 1500 * time.Millisecond
	// isolatedRetryAfter is when a caller refused by an isolated process should retry: at once, at another process.
	isolatedRetryAfter = 100 * time.Millisecond
)

// errIsolated refuses a call that other processes can most likely serve.
func errIsolated() error {
	return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "this process reaches neither control nor the owner of the stages").WithRetryAfter(isolatedRetryAfter)
}

// controlSilence is how long no control process that reaches the leader has answered this process.
func (l *ownerLink) controlSilence() time.Duration {
	if l.control == nil {
		return 0
	}
	return l.control()
}

// isolated reports whether this process reaches neither control nor the owner. It would not learn of another
// owner, so its jobs fail fast instead of waiting in vain.
func (l *ownerLink) isolated() bool {
	l.mu.Lock()
	silent := !l.silentSince.IsZero()
	l.mu.Unlock()
	return silent && l.controlSilence() > isolatedAfter
}
