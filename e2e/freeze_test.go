package e2e

import (
	"testing"
	"time"

	"caperdrum.org/e2e/harness"
)

// TestFrozenEntry suspends an entry under load while the other one answers the resent requests, and resumes
// it. What the suspended entry does late must have no effect.
func TestFrozenEntry(t *testing.T) {
	t.Parallel()
	suspendUnderLoad(t, func(s *harness.System) *harness.Process { return s.Entries[0].Process })
}

// TestFrozenAgent suspends an agent until its lease has expired and its confirmations were given up, and
// resumes it.
func TestFrozenAgent(t *testing.T) {
	t.Parallel()
	suspendUnderLoad(t, func(s *harness.System) *harness.Process { return s.Agents[0].Process })
}

func suspendUnderLoad(t *testing.T, pick func(*harness.System) *harness.Process) {
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	victim := pick(s)
	victim.Suspend()
	load.Await(phase / 10)
	time.Sleep(longOutage())
	victim.Resume()
	s.AwaitReady()
	load.Await(phase)
	load.Finish()
	noUnknownOutcomes(t, load)
}
