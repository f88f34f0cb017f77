package proxy

import (
	"fmt"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/coldstart"
)

// TestColdUpstreamsThatNobodyChose has one of eight processes of a data centre choose by itself
// while upstreams are cold: those elsewhere get none of its calls, those here one in the time in
// which each of the eight may have one. What the owner chose goes there in any case.
func TestColdUpstreamsThatNobodyChose(t *testing.T) {
	e := newEndpoints(noNotices())
	now := time.Unix(1000, 0)
	here, there := wire.AnnouncedUpstream("i-here", "llm", "10.0.0.1:80", "north", false).WithHeartbeat(1, true), wire.AnnouncedUpstream("i-there", "llm", "10.0.0.2:80", "south", false).WithHeartbeat(1, true)
	list := []wire.Member{here, there}
	limit := coldstart.Limit{Excess: 1.5, Slack: 5} // of 18 a second: 8 processes
	var processes []string
	for i := range 16 {
		processes = append(processes, fmt.Sprint("p", i))
	}
	may := map[bool]wire.MemberID{}
	for _, p := range processes {
		may[limit.Among(18, "i-here", p, processes)] = wire.MemberID(p)
	}
	c := choice{dataCenter: "north", cold: coldShare{limit: limit, rate: 18, self: may[false], nearby: processes}}
	if m, ok := e.take(list, c, now); ok {
		t.Fatalf("took %q, which others share", m.ID)
	}
	c.cold.self = may[true]
	if m, ok := e.take(list, c, now); !ok || m.ID != here.ID {
		t.Fatalf("took %q, %t", m.ID, ok)
	}
	for _, after := range []time.Duration{0, 900 * time.Millisecond} {
		if m, ok := e.take(list, c, now.Add(after)); ok {
			t.Fatalf("took %q again after %s", m.ID, after)
		}
	}
	if _, ok := e.take(list, c, now.Add(time.Second)); !ok {
		t.Fatal("took none when it may again")
	}
	c.wanted = there.ID
	if m, ok := e.take(list, c, now.Add(2*time.Second)); !ok || m.ID != there.ID {
		t.Fatalf("took %q in place of the owner's choice", m.ID)
	}
	c.wanted, c.cold.rate = "", 0
	if _, ok := e.take(list, c, now.Add(2*time.Second)); !ok {
		t.Fatal("an upstream without a rate is bounded")
	}
}
