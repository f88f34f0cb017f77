package e2e

import (
	"testing"
	"time"

	"caperdrum.org/e2e/harness"
)

// phase is the number of whole answers of each kind between two steps.
const phase = 100

// checkNoUnknownOutcome fails the test if a confirmation ended as may-have-run: only a crash of its
// agent may cause that.
func checkNoUnknownOutcome(t *testing.T, load *harness.Load) {
	t.Helper()
	if n := load.Unknown(); n > 0 {
		t.Errorf("%d confirmations ended as perhaps run, though no agent died", n)
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
	checkNoUnknownOutcome(t, load)
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
	checkNoUnknownOutcome(t, load)
}

// TestKillAgentBeforeAnswer kills an agent whose upstream is working on
// confirmations: they may have run, so none of them may run again.
func TestKillAgentBeforeAnswer(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	desk := s.Agents[0]
	began := desk.Upstream.Slow(time.Minute)
	<-began
	desk.Kill()
	desk.Upstream.Slow(0)
	load.Await(phase)
	desk.Start()
	s.AwaitReady()
	load.Await(phase)
	load.Finish()
	if n := load.Unknown(); n == 0 || n > harness.ConfirmWorkers {
		t.Errorf("%d confirmations ended as perhaps run, want 1 to %d: those under way at the killed agent", n, harness.ConfirmWorkers)
	}
}

func TestRestartAllControls(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	s.MustApply(2, harness.Text("second"))
	harness.Together(s.Controls, func(c *harness.Control) { c.Kill() })
	for _, c := range s.Controls {
		c.Start()
	}
	s.AwaitVersion(2)
	s.MustApply(3, harness.Text("third"))
	s.AwaitVersion(3)
	load.Await(phase)
	load.Finish()
	checkNoUnknownOutcome(t, load)
}

// TestRestartStorm kills a third of the members at once, one agent of the desk
// among them: attempts in progress there may end as may-have-run.
func TestRestartStorm(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{Desks: 3, Engines: 3})
	load := s.StartLoad()
	load.Await(phase)
	storm := []*harness.Process{s.Entries[0].Process, s.Agents[0].Process, s.Agents[3].Process, s.Controls[0].Process}
	for range 2 {
		harness.Together(storm, (*harness.Process).Kill)
		for _, p := range storm {
			p.Start()
		}
	}
	s.AwaitVoters()
	s.AwaitReady()
	load.Await(phase)
	load.Finish()
}
