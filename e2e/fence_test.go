package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/e2e/harness"
	"caperdrum.org/fake/standin"
)

// ordersText returns a text whose engines are kept warm with a version.
func ordersText(version string) string {
	return strings.Replace(harness.Text(version), "concurrency = 16\n", "concurrency = 16\nmodels = m@"+version+"\nload_timeout = 30s\n", 1)
}

// TestFrozenLeaderWithOrder cuts the leader off and freezes it while its order is
// in progress at an engine that ignores fencing tokens, lets a new leader roll out
// another version, and resumes the old one before and after the cut is healed. No
// engine may then see an old order, one order twice, or two at a time.
func TestFrozenLeaderWithOrder(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{LoadTime: 3 * time.Second})
	s.MustApply(2, ordersText("1"))
	harness.Eventually(t, func() string {
		for _, e := range engines(s) {
			if engineState(t, e).Busy {
				return ""
			}
		}
		return "an order under way"
	})
	old := s.Leader()
	s.Network.Isolate(old.Name, harness.Hold)
	old.Freeze()
	s.Leader(old)
	applyAt(t, s, otherControls(s, old), 3, ordersText("2"))
	awaitHolds(t, s, "2")
	issued := orders(t, s)
	old.Thaw()
	answersNothing(t, old)
	s.Network.Heal()
	s.AwaitVersion(3)
	s.AwaitVoters()
	awaitHolds(t, s, "2")
	time.Sleep(longCut()) // for what an agent or a leader might still send
	if later := orders(t, s); later != issued {
		t.Errorf("%d orders after the old leader came back, %d before", later, issued)
	}
	awaitHolds(t, s, "2")
}

func engines(s *harness.System) []*harness.Agent {
	var out []*harness.Agent
	for _, a := range s.Agents {
		if strings.Contains(a.Name, "llm") {
			out = append(out, a)
		}
	}
	return out
}

func awaitHolds(t *testing.T, s *harness.System, version string) {
	t.Helper()
	want := wire.Artifact{Model: "m", Version: version}
	harness.Eventually(t, func() string {
		for _, e := range engines(s) {
			if st := engineState(t, e); st.Busy || len(st.Holds) != 1 || st.Holds[0] != want {
				return e.Name + " to hold just " + want.String()
			}
		}
		return ""
	})
}

func engineState(t *testing.T, e *harness.Agent) (st wire.EngineState) {
	t.Helper()
	get(t, e, "/v1/engine", &st)
	return st
}

// orders checks what the engines saw and returns how many orders there were.
func orders(t *testing.T, s *harness.System) int {
	t.Helper()
	n := 0
	for _, e := range engines(s) {
		var log standin.ModelLog
		get(t, e, "/v1/engine/log", &log)
		n += len(log.Orders)
		if log.Overlap {
			t.Errorf("%s was told two things at once", e.Name)
		}
		last := uint64(0)
		for _, p := range log.Orders {
			if p.Order.Token <= last {
				t.Errorf("%s: order %d after %d", e.Name, p.Order.Token, last)
			}
			last = p.Order.Token
		}
	}
	return n
}

func get(t *testing.T, e *harness.Agent, path string, into any) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Upstream.Address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
}
