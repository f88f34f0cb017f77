package e2e

import (
	"net/http"
	"testing"
	"time"

	"caperdrum.org/e2e/harness"
)

// leaveLimit is the guaranteed time after which a leaving upstream gets no new calls.
const leaveLimit = 2 * time.Second

// TestLeaveWhileControlIsCut takes an upstream out of service while the control processes are unreachable.
// Its gate alone must keep the guarantee.
func TestLeaveWhileControlIsCut(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{GateRelays: true})
	load := s.StartLoad()
	load.Await(phase)
	for _, c := range s.Controls {
		s.Network.Isolate(c.Name, harness.Drop)
	}
	engine := s.Agents[2]
	leave(t, engine, "")
	time.Sleep(leaveLimit)
	before := engine.Upstream.Calls()
	other := s.Agents[3].Upstream.Calls()
	harness.Eventually(t, func() string {
		if s.Agents[3].Upstream.Calls() < other+phase {
			return "calls at the remaining engine"
		}
		return ""
	})
	if after := engine.Upstream.Calls(); after != before {
		t.Errorf("%d calls began at an upstream after it left", after-before)
	}
	s.Network.Heal()
	leave(t, engine, "?cancel=true")
	s.AwaitReady()
	load.Await(phase)
	load.Finish()
	noUnknownOutcomes(t, load)
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
