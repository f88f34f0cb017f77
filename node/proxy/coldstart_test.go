package proxy

import (
	"fmt"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/coldstart"
)

// TestDirectCallsToColdUpstreams has one process choose by itself among cold upstreams. It must send
// nothing to other data centres, nothing to an upstream for which it is not among the eight allowed
// callers, and else one call a second. An upstream chosen by the stage owner gets the call in any case.
func TestDirectCallsToColdUpstreams(t *testing.T) {
	e := newEndpoints(noNotices())
	now := time.Unix(1000, 0)
	here, there := wire.AnnouncedUpstream("i-here", "llm", "10.0.0.1:80", "north", false).WithHeartbeat(1, true), wire.AnnouncedUpstream("i-there", "llm", "10.0.0.2:80", "south", false).WithHeartbeat(1, true)
	list := []wire.Member{here, there}
	limit := coldstart.Limit{Excess: 1.5, Slack: 5} // at a rate of 18 a second: 8 processes may call
	var processes []string
	for i := range 16 {
		processes = append(processes, fmt.Sprint("p", i))
	}
	may := map[bool]wire.MemberID{}
	for _, p := range processes {
		may[limit.MayCall(18, "i-here", p, processes)] = wire.MemberID(p)
	}
	c := criteria{dataCenter: "north", cold: coldPolicy{limit: limit, rate: 18, self: may[false], nearby: processes}}
	if m, _, ok := e.acquire(list, c, now); ok {
		t.Fatalf("chose %q, which only other processes may call", m.ID)
	}
	c.cold.self = may[true]
	if m, _, ok := e.acquire(list, c, now); !ok || m.ID != here.ID {
		t.Fatalf("chose %q, %t", m.ID, ok)
	}
	for _, after := range []time.Duration{0, 900 * time.Millisecond} {
		if m, _, ok := e.acquire(list, c, now.Add(after)); ok {
			t.Fatalf("chose %q again after %s", m.ID, after)
		}
	}
	if _, _, ok := e.acquire(list, c, now.Add(time.Second)); !ok {
		t.Fatal("chose none after a second")
	}
	c.chosen = there.ID
	if m, _, ok := e.acquire(list, c, now.Add(2*time.Second)); !ok || m.ID != there.ID {
		t.Fatalf("chose %q instead of the owner's choice", m.ID)
	}
	c.chosen, c.cold.rate = "", 0
	if _, _, ok := e.acquire(list, c, now.Add(2*time.Second)); !ok {
		t.Fatal("an upstream without a rate is limited")
	}
}
