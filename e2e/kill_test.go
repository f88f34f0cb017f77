package e2e

import (
	"testing"
	"time"

	"caperdrum.org/e2e/harness"
)

// phase is the number of complete answers of each kind to await between two steps.
const phase = 100

// noUnknownOutcomes fails the test if a confirmation was answered "may have run". Only the death of its agent may
// cause that.
func noUnknownOutcomes(t *testing.T, load *harness.Load) {
	t.Helper()
	if n := load.UnknownOutcomes(); n > 0 {
		t.Errorf("%d confirmations were answered \"may have run\" though no agent died", n)
	}
}

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
	noUnknownOutcomes(t, load)
}

func TestKillEntry(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	s.Entries[0].Kill()
	load.Await(phase)
	s.Entries[0].Start()
	s.AwaitReady()
	load.Await(phase)
	load.Finish()
	noUnknownOutcomes(t, load)
}

// TestKillAgentBeforeAnswer kills an agent whose upstream is running confirmations. They may have run, so
// that none of them may run again.
func TestKillAgentBeforeAnswer(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	desk := s.Agents[0]
	began := desk.Upstream.SetDelay(time.Minute)
	<-began
	desk.Kill()
	desk.Upstream.SetDelay(0)
	load.Await(phase)
	desk.Start()
	s.AwaitReady()
	load.Await(phase)
	load.Finish()
	if n := load.UnknownOutcomes(); n == 0 || n > harness.ConfirmWorkers {
		t.Errorf("%d confirmations were answered \"may have run\", want 1 to %d: those in progress at the killed agent", n, harness.ConfirmWorkers)
	}
}

func TestRestartAllControls(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	s.MustApply(2, harness.Text("second"))
	harness.Concurrently(s.Controls, func(c *harness.Control) { c.Kill() })
	for _, c := range s.Controls {
		c.Start()
	}
	s.AwaitVersion(2)
	s.MustApply(3, harness.Text("third"))
	s.AwaitVersion(3)
	load.Await(phase)
	load.Finish()
	noUnknownOutcomes(t, load)
}

// TestRestartStorm kills a third of the members at once, including one agent of the desk, whose confirmations
// in progress may be answered "may have run".
func TestRestartStorm(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{Desks: 3, Engines: 3})
	load := s.StartLoad()
	load.Await(phase)
	storm := []*harness.Process{s.Entries[0].Process, s.Agents[0].Process, s.Agents[3].Process, s.Controls[0].Process}
	for range 2 {
		harness.Concurrently(storm, (*harness.Process).Kill)
		for _, p := range storm {
			p.Start()
		}
	}
	s.AwaitVoters()
	s.AwaitReady()
	load.Await(phase)
	load.Finish()
}
