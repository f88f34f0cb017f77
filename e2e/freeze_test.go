package e2e

import (
	"testing"
	"time"

	"caperdrum.org/e2e/harness"
)

// TestFrozenEntry stops an entry's process under load while the other entry answers
// the retries, and resumes it: what it does late must not count.
func TestFrozenEntry(t *testing.T) {
	t.Parallel()
	freeze(t, func(s *harness.System) *harness.Process { return s.Entries[0].Process })
}

// TestFrozenAgent stops an agent's process until its lease has expired and its
// confirmations were abandoned, and resumes it.
func TestFrozenAgent(t *testing.T) {
	t.Parallel()
	freeze(t, func(s *harness.System) *harness.Process { return s.Agents[0].Process })
}

func freeze(t *testing.T, pick func(*harness.System) *harness.Process) {
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	victim := pick(s)
	victim.Freeze()
	load.Await(phase / 10)
	time.Sleep(longCut())
	victim.Thaw()
	s.AwaitReady()
	load.Await(phase)
	load.Finish()
	checkNoUnknownOutcome(t, load)
}
