package e2e

import (
	"net/http"
	"testing"
	"time"

	"caperdrum.org/e2e/harness"
)

// leaveLimit is the promise: no new work later than this after leaving.
const leaveLimit = 2 * time.Second

// TestLeaveWhileControlIsCut takes an upstream out of service while no control
// process is reached: its gate alone must keep the promise.
func TestLeaveWhileControlIsCut(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{GateRelays: true})
	load := s.StartLoad()
	load.Await(phase)
	for _, c := range s.Controls {
		s.Network.Isolate(c.Name, harness.Swallow)
	}
	engine := s.Agents[2]
	leave(t, engine, "")
	time.Sleep(leaveLimit)
	before := engine.Upstream.Work()
	other := s.Agents[3].Upstream.Work()
	harness.Eventually(t, func() string {
		if s.Agents[3].Upstream.Work() < other+phase {
			return "work at the engine that stays"
		}
		return ""
	})
	if after := engine.Upstream.Work(); after != before {
		t.Errorf("%d calls began at an upstream that had left", after-before)
	}
	s.Network.Heal()
	leave(t, engine, "?cancel=true")
	s.AwaitReady()
	load.Await(phase)
	load.Finish()
	checkNoUnknownOutcome(t, load)
}

func leave(t *testing.T, a *harness.Agent, query string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+a.Gate+"/v1/leave"+query, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("leave: %s", resp.Status)
	}
}
