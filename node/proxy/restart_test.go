package proxy

import (
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

// TestUpstreamThatStartsAgainIsNew lets an upstream fail a call, have another under way
// and start again: it is not passed over for what its earlier start did, may be
// tried by a call that its earlier start has failed, and is told apart once.
func TestUpstreamThatStartsAgainIsNew(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEndpoints(noNotices())
	members := func(incarnation uint64) map[string][]wire.Member {
		return map[string][]wire.Member{"s": {
			{ID: "u", Service: "s", Direct: "10.0.0.1:80", DataCenter: "d", Incarnation: incarnation},
			{ID: "v", Service: "s", Direct: "10.0.0.2:80", DataCenter: "e", Incarnation: 1}}}
	}
	if again := e.update(members(1)); len(again) != 0 {
		t.Fatalf("%v have started again", again)
	}
	before := members(1)["s"][0]
	here := criteria{dataCenter: "d", tried: []wire.Start{before.Start()}}
	e.acquire(members(1)["s"], criteria{dataCenter: "d"}, now)
	e.acquire(members(1)["s"], criteria{dataCenter: "d"}, now)
	e.release(before.Start(), callFailed, now)
	if m, _ := e.peek(members(1)["s"], here, now); m.ID != "v" {
		t.Fatalf("%s is tried again", m.ID)
	}
	if again := e.update(members(2)); len(again) != 1 || again[0] != before.Direct {
		t.Fatalf("%v have started again", again)
	}
	if again := e.update(members(2)); len(again) != 0 {
		t.Fatalf("%v have started again, once more", again)
	}
	if m, _ := e.peek(members(2)["s"], here, now); m.ID != "u" {
		t.Fatalf("%s is taken, not the one that has started again", m.ID)
	}
	e.release(before.Start(), callFailed, now) // of a call of the start before
	after := members(2)["s"][0]
	if got := e.callsInFlight(after.Start()); got != 0 {
		t.Fatalf("%d calls count at the next start", got)
	}
	if m, _ := e.peek(members(2)["s"], here, now); m.ID != "u" {
		t.Fatal("a failure of the start before counts")
	}
}
