package stagework

import (
	"time"

	"caperdrum.org/api/verdict"
)

const (
	// cutOffAfter is how long control may be silent, and the owner too, until this process counts as cut off. Above
	// an election, and above what control takes to be back after a start of all its processes.
	cutOffAfter = 1500 * time.Millisecond
	// cutOffComeBack is when a caller should come back that came to such a process: at once, to another one.
	cutOffComeBack = 100 * time.Millisecond
)

// errCutOff says that others can most likely do what this process cannot.
func errCutOff() error {
	return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "this process reaches neither control nor the owner of the stages").WithRetryAfter(cutOffComeBack)
}

// controlSilent is for how long no control process that reaches the leader has answered this process.
func (l *link) controlSilent() time.Duration {
	if l.control == nil {
		return 0
	}
	return l.control()
}

// cutOff reports whether this process reaches neither control nor the owner: nobody will name another owner here, and
// a job would wait in vain (fail fast).
func (l *link) cutOff() bool {
	l.mu.Lock()
	silent := !l.silent.IsZero()
	l.mu.Unlock()
	return silent && l.controlSilent() > cutOffAfter
}
