package e2e

import (
	"context"
	"net/http"
	"testing"
	"time"

	"caperdrum.org/ctl/adminclient"
	"caperdrum.org/e2e/harness"
)

// longOutage returns a duration above every lease and every silence and staleness limit in the default settings.
func longOutage() time.Duration {
	if *harness.Long {
		return time.Minute
	}
	return 8 * time.Second
}

// awaitReadRefusal waits until an isolated control process refuses reads, and checks that it accepts no change.
func awaitReadRefusal(t *testing.T, c *harness.Control) {
	t.Helper()
	harness.Eventually(t, func() string {
		if readsConfig(c) {
			return c.Name + " to refuse reads"
		}
		return ""
	})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if res, err := adminclient.New([]string{c.Admin}, "").Apply(ctx, harness.Change(2, harness.Text("cut off"))); err == nil && res.Accepted {
		t.Errorf("%s accepted a change while it was isolated: %+v", c.Name, res)
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

// others returns all control processes but one.
func others(s *harness.System, c *harness.Control) []*harness.Control {
	var out []*harness.Control
	for _, x := range s.Controls {
		if x != c {
			out = append(out, x)
		}
	}
	return out
}

// isolateLeader isolates the leader for longOutage, applies a change at the others meanwhile, heals the network, and
// checks that all processes have the change.
func isolateLeader(t *testing.T, cut func(s *harness.System, leader *harness.Control)) {
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	old := s.Leader()
	cut(s, old)
	s.Leader(old)
	awaitReadRefusal(t, old)
	applyAt(t, s, others(s, old), 2, harness.Text("while cut"))
	load.Await(phase)
	time.Sleep(longOutage())
	if readsConfig(old) {
		t.Errorf("%s answers reads again while it is isolated", old.Name)
	}
	s.Network.Heal()
	s.AwaitVersion(2)
	s.AwaitVoters()
	if got, err := s.Admin().Config(context.Background()); err != nil || got.Text != harness.Text("while cut") {
		t.Errorf("the change was reverted: %+v %v", got.Version, err)
	}
	load.Await(phase)
	load.Finish()
	noUnknownOutcomes(t, load)
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
	isolateLeader(t, func(s *harness.System, leader *harness.Control) { s.Network.Isolate(leader.Name, harness.Drop) })
}

// TestLateDeliveryToLeader isolates the leader and delivers all bytes after the fault, as TCP does after a
// short outage.
func TestLateDeliveryToLeader(t *testing.T) {
	t.Parallel()
	isolateLeader(t, func(s *harness.System, leader *harness.Control) { s.Network.Isolate(leader.Name, harness.Hold) })
}

// TestOneWayCutFromLeader drops all bytes that the leader sends; it still receives.
func TestOneWayCutFromLeader(t *testing.T) {
	t.Parallel()
	isolateLeader(t, func(s *harness.System, leader *harness.Control) {
		s.Network.Set(leader.Name, harness.Any, harness.Drop)
	})
}

// TestOneWayCutToLeader drops all bytes that are sent to the leader; it can still send.
func TestOneWayCutToLeader(t *testing.T) {
	t.Parallel()
	isolateLeader(t, func(s *harness.System, leader *harness.Control) {
		s.Network.Set(harness.Any, leader.Name, harness.Drop)
	})
}

// TestFrozenLeader suspends the leader's process for longer than any lease while a write to it is in
// progress, and resumes it.
func TestFrozenLeader(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	old := s.Leader()
	old.Suspend()
	late := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), longOutage())
		defer cancel()
		res, err := adminclient.New([]string{old.Admin}, "").Apply(ctx, harness.Change(2, harness.Text("late")))
		late <- err == nil && res.Accepted
	}()
	s.Leader(old)
	applyAt(t, s, others(s, old), 2, harness.Text("while frozen"))
	load.Await(phase)
	time.Sleep(longOutage() / 2)
	old.Resume()
	s.AwaitVersion(2)
	if <-late {
		t.Error("a write sent to the suspended leader replaced a newer one")
	}
	s.AwaitVoters()
	if got, err := s.Admin().Config(context.Background()); err != nil || got.Text != harness.Text("while frozen") {
		t.Errorf("the change was reverted: version %d, %v", got.Version, err)
	}
	load.Await(phase)
	load.Finish()
	noUnknownOutcomes(t, load)
}

// TestCutBetweenEntryAndAgent silently drops bytes between an entry and an agent, and then closes connections
// with calls in flight. Every confirmation must get a final outcome.
func TestCutBetweenEntryAndAgent(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{GateRelays: true})
	load := s.StartLoad()
	load.Await(phase)
	desk, engine := s.Agents[0].Name, s.Agents[2].Name
	s.Network.Set(s.Entries[0].Name, desk, harness.Drop)
	s.Network.Set(engine, s.Entries[1].Name, harness.Drop)
	load.Await(phase / 4)
	s.Network.Heal()
	for range 20 {
		s.Network.CloseConnections(harness.Any, desk)
		load.Await(2)
	}
	s.AwaitReady()
	load.Await(phase)
	load.Finish()
	noUnknownOutcomes(t, load)
}
