package ingress

import (
	"fmt"
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

func processes(dataCenter string, n int) []wire.Member {
	var out []wire.Member
	for i := range n {
		id := wire.MemberID(fmt.Sprint(dataCenter, "-", i))
		out = append(out, wire.Member{ID: id, DataCenter: dataCenter, Peer: string(id) + ":1", Incarnation: 1})
	}
	return out
}

// fourTargets returns a congestion that has calm round trips of 2 ms to four processes.
func fourTargets(now time.Time) (*congestion, []wire.Member) {
	targets := processes("dc", 4)
	c := newCongestion()
	c.setTargets("dc", targets)
	for range 3 {
		for _, m := range targets {
			c.answered(now, m.ID, 2*time.Millisecond, false)
		}
	}
	return c, targets
}

// TestOneSlowProcessIsNotOwnCongestion guards against a process that turns callers away because another one answers late.
func TestOneSlowProcessIsNotOwnCongestion(t *testing.T) {
	now := time.Unix(1000, 0)
	c, targets := fourTargets(now)
	now = now.Add(time.Second)
	for _, m := range targets {
		took := 3 * time.Millisecond
		if m.ID == targets[0].ID {
			took = 500 * time.Millisecond
		}
		c.answered(now, m.ID, took, false)
	}
	if l := c.load(now, time.Time{}); !l.known || l.delay() != time.Millisecond {
		t.Errorf("got %+v, want 1 ms in excess", l)
	}
	now = now.Add(time.Second)
	for _, m := range targets {
		c.answered(now, m.ID, 52*time.Millisecond, false)
	}
	if l := c.load(now, time.Time{}); l.delay() != 50*time.Millisecond || !l.roomElsewhere {
		t.Errorf("got %+v, want 50 ms in excess and room elsewhere", l)
	}
	if l := c.load(now, now); l.known {
		t.Errorf("got %+v from round trips that began before the limit was lowered", l)
	}
	if l := c.load(now.Add(time.Second), time.Time{}); l.known {
		t.Errorf("got %+v from old round trips", l)
	}
}

// TestDistanceIsNotCongestion guards against a process that takes the distance to others, or the time to connect, for
// congestion.
func TestDistanceIsNotCongestion(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := processes("far", 3)
	c := newCongestion()
	c.setTargets("dc", targets)
	for _, took := range []time.Duration{400 * time.Millisecond, 91 * time.Millisecond, 90 * time.Millisecond, 95 * time.Millisecond} {
		for _, m := range targets {
			c.answered(now, m.ID, took, false)
		}
	}
	if l := c.load(now, time.Time{}); !l.known || l.delay() > 5*time.Millisecond {
		t.Errorf("got %+v", l)
	}
}

// TestRoomElsewhere guards against callers that are turned away to processes that are lost or congested themselves.
func TestRoomElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	c, targets := fourTargets(now)
	room := func(want bool, why string) {
		t.Helper()
		if l := c.load(now, time.Time{}); l.roomElsewhere != want {
			t.Errorf("%s: got %v", why, l.roomElsewhere)
		}
	}
	room(true, "all are free")
	c.answered(now, targets[0].ID, time.Millisecond, true)
	c.outOfReach(targets[1].ID)
	room(true, "half of them are free")
	c.answered(now, targets[2].ID, time.Millisecond, true)
	room(false, "one of four is free")
	now = now.Add(answerMemory / 2)
	for _, m := range targets {
		c.answered(now, m.ID, time.Millisecond, false)
	}
	now = now.Add(answerMemory)
	room(true, "they were free, and no answer has arrived since")
	now = now.Add(time.Millisecond)
	room(false, "the last answers are too old")

	mixed := append(processes("dc", 2), processes("far", 3)...)
	c.setTargets("dc", mixed)
	for _, m := range mixed {
		c.answered(now, m.ID, time.Millisecond, m.DataCenter == "dc")
	}
	room(false, "there is room in another data centre only, where the load balancer sends nobody")
	c.setTargets("dc", mixed[2:])
	room(true, "this is the only process of its data centre")
	c.setTargets("dc", nil)
	room(false, "there is no other process")
}

// TestProbedProcesses guards against probes of processes to which the load balancer does not send the callers that are
// turned away, and against connections between all processes of a large fleet.
func TestProbedProcesses(t *testing.T) {
	list := append(processes("dc", 50), processes("far", 400)...)
	list[3].Leaving = true
	probed := map[wire.MemberID]int{}
	for _, self := range list[:50] {
		near := 0
		chosen := chooseTargets(self, list)
		if len(chosen) != maxNearTargets+maxFarTargets {
			t.Fatalf("%s probes %d processes", self.ID, len(chosen))
		}
		for _, m := range chosen {
			if m.ID == self.ID || m.Leaving {
				t.Errorf("%s probes %s", self.ID, m.ID)
			}
			if m.DataCenter == "dc" {
				near++
				probed[m.ID]++
			}
		}
		if near != maxNearTargets {
			t.Errorf("%s probes %d processes of its data centre", self.ID, near)
		}
	}
	for id, n := range probed {
		if n > 4*maxNearTargets {
			t.Errorf("%s is probed by %d of 50", id, n)
		}
	}
}
