package e2e

import (
	"testing"

	"caperdrum.org/e2e/harness"
)

// phase is the number of whole answers between two steps of a test.
const phase = 100

func TestKillLeader(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	leader := s.Leader()
	leader.Kill()
	s.Leader(leader)
	load.Await(phase)
	leader.Start()
	s.AwaitVoters()
	load.Await(phase)
	load.Finish()
	if n := load.Unknown(); n > 0 {
		t.Errorf("%d confirmations unsettled, though no agent died", n)
	}
}
