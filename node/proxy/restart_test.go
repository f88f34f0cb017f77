package proxy

import (
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

// TestRestartedUpstreamHasNoFailureHistory restarts an upstream that failed a call and has another in progress.
// Its new incarnation must not be avoided for earlier failures, may be tried by a call that the earlier one
// failed, and is reported as restarted once.
func TestRestartedUpstreamHasNoFailureHistory(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEndpoints(noNotices())
	members := func(incarnation uint64) map[string][]wire.Member {
		return map[string][]wire.Member{"s": {
			{ID: "u", Service: "s", Direct: "10.0.0.1:80", DataCenter: "d", Incarnation: incarnation},
			{ID: "v", Service: "s", Direct: "10.0.0.2:80", DataCenter: "e", Incarnation: 1}}}
	}
	if restarted := e.update(members(1)); len(restarted) != 0 {
		t.Fatalf("%v restarted", restarted)
	}
	before := members(1)["s"][0]
	here := criteria{dataCenter: "d", tried: []wire.Start{before.Start()}}
	e.acquire(members(1)["s"], criteria{dataCenter: "d"}, now)
	e.acquire(members(1)["s"], criteria{dataCenter: "d"}, now)
	e.release(before.Start(), callFailed, now)
	if m, _ := e.peek(members(1)["s"], here, now); m.ID != "v" {
		t.Fatalf("%s is tried again", m.ID)
	}
	if restarted := e.update(members(2)); len(restarted) != 1 || restarted[0] != before.Direct {
		t.Fatalf("%v restarted", restarted)
	}
	if restarted := e.update(members(2)); len(restarted) != 0 {
		t.Fatalf("%v reported as restarted again", restarted)
	}
	if m, _ := e.peek(members(2)["s"], here, now); m.ID != "u" {
		t.Fatalf("%s was chosen, not the restarted upstream", m.ID)
	}
	e.release(before.Start(), callFailed, now) // of a call of the earlier incarnation
	after := members(2)["s"][0]
	if got := e.callsInFlight(after.Start()); got != 0 {
		t.Fatalf("%d calls are counted at the new incarnation", got)
	}
	if m, _ := e.peek(members(2)["s"], here, now); m.ID != "u" {
		t.Fatal("a failure of the earlier incarnation counts")
	}
}
