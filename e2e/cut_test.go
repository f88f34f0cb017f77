package e2e

import (
	"context"
	"net/http"
	"testing"
	"time"

	"caperdrum.org/ctl/adminclient"
	"caperdrum.org/e2e/harness"
)

// longCut returns the length of a long cut, which is over every lease, silence
// and staleness limit that is set by default.
func longCut() time.Duration {
	if *harness.Long {
		return time.Minute
	}
	return 8 * time.Second
}

// answersNothing waits until a control process that is cut off refuses to
// read, and checks that it takes no change.
func answersNothing(t *testing.T, c *harness.Control) {
	t.Helper()
	harness.Eventually(t, func() string {
		if readsConfig(c) {
			return c.Name + " to stop answering"
		}
		return ""
	})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if res, err := adminclient.New([]string{c.Admin}, "").Apply(ctx, harness.Change(2, harness.Text("cut off"))); err == nil && res.Accepted {
		t.Errorf("%s took a change while it was cut off: %+v", c.Name, res)
	}
}

func readsConfig(c *harness.Control) bool {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + c.Admin + "/v1/config")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// otherControls returns all control processes but one.
func otherControls(s *harness.System, c *harness.Control) []*harness.Control {
	var out []*harness.Control
	for _, x := range s.Controls {
		if x != c {
			out = append(out, x)
		}
	}
	return out
}

// cutLeader cuts the leader off as cut says, for long, applies a change at the
// others meanwhile, heals, and expects the change on all.
func cutLeader(t *testing.T, cut func(s *harness.System, leader *harness.Control)) {
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	old := s.Leader()
	cut(s, old)
	s.Leader(old)
	answersNothing(t, old)
	applyAt(t, s, otherControls(s, old), 2, harness.Text("while cut"))
	load.Await(phase)
	time.Sleep(longCut())
	if readsConfig(old) {
		t.Errorf("%s answers again while it is cut off", old.Name)
	}
	s.Network.Heal()
	s.AwaitVersion(2)
	s.AwaitVoters()
	if got, err := s.Admin().Config(context.Background()); err != nil || got.Text != harness.Text("while cut") {
		t.Errorf("the change was reverted: %+v %v", got.Version, err)
	}
	load.Await(phase)
	load.Finish()
	checkNoUnknownOutcome(t, load)
}

func applyAt(t *testing.T, s *harness.System, at []*harness.Control, number uint64, text string) {
	t.Helper()
	var addresses []string
	for _, c := range at {
		addresses = append(addresses, c.Admin)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	res, err := adminclient.New(addresses, "").Apply(ctx, harness.Change(number, text))
	if err != nil || !res.Accepted {
		t.Fatalf("change %d: %+v %v", number, res, err)
	}
}

func TestSilentCutOfLeader(t *testing.T) {
	t.Parallel()
	cutLeader(t, func(s *harness.System, leader *harness.Control) { s.Network.Isolate(leader.Name, harness.Swallow) })
}

// TestLateDeliveryToLeader holds all bytes back and delivers them when the cut
// ends, as TCP does.
func TestLateDeliveryToLeader(t *testing.T) {
	t.Parallel()
	cutLeader(t, func(s *harness.System, leader *harness.Control) { s.Network.Isolate(leader.Name, harness.Hold) })
}

// TestOneWayCutFromLeader lets the leader receive from all processes and send to none.
func TestOneWayCutFromLeader(t *testing.T) {
	t.Parallel()
	cutLeader(t, func(s *harness.System, leader *harness.Control) {
		s.Network.Set(leader.Name, harness.Any, harness.Swallow)
	})
}

// TestOneWayCutToLeader lets the leader send to all processes and receive from none.
func TestOneWayCutToLeader(t *testing.T) {
	t.Parallel()
	cutLeader(t, func(s *harness.System, leader *harness.Control) {
		s.Network.Set(harness.Any, leader.Name, harness.Swallow)
	})
}

// TestFrozenLeader stops the leader's process for longer than any lease while
// writes to it are in progress, and resumes it.
func TestFrozenLeader(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	old := s.Leader()
	old.Freeze()
	late := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), longCut())
		defer cancel()
		res, err := adminclient.New([]string{old.Admin}, "").Apply(ctx, harness.Change(2, harness.Text("late")))
		late <- err == nil && res.Accepted
	}()
	s.Leader(old)
	applyAt(t, s, otherControls(s, old), 2, harness.Text("while frozen"))
	load.Await(phase)
	time.Sleep(longCut() / 2)
	old.Thaw()
	s.AwaitVersion(2)
	if <-late {
		t.Error("a write that reached the frozen leader was accepted over a newer one")
	}
	s.AwaitVoters()
	if got, err := s.Admin().Config(context.Background()); err != nil || got.Text != harness.Text("while frozen") {
		t.Errorf("reverted: version %d, %v", got.Version, err)
	}
	load.Await(phase)
	load.Finish()
	checkNoUnknownOutcome(t, load)
}

// TestCutBetweenEntryAndAgent cuts an agent off from one entry, silently, and
// breaks connections in flight. Every confirmation is settled afterwards.
func TestCutBetweenEntryAndAgent(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{GateRelays: true})
	load := s.StartLoad()
	load.Await(phase)
	desk, engine := s.Agents[0].Name, s.Agents[2].Name
	s.Network.Set(s.Entries[0].Name, desk, harness.Swallow)
	s.Network.Set(engine, s.Entries[1].Name, harness.Swallow)
	load.Await(phase / 4)
	s.Network.Heal()
	for range 20 {
		s.Network.CutConnections(harness.Any, desk)
		load.Await(2)
	}
	s.AwaitReady()
	load.Await(phase)
	load.Finish()
	checkNoUnknownOutcome(t, load)
}
