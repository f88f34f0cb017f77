package proxy

import (
	"fmt"
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

// versionedUpstreams returns four upstreams of each of two versions.
func versionedUpstreams() []wire.Member {
	var list []wire.Member
	for i := range 4 {
		for _, version := range []string{"v1", "v2"} {
			m := wire.AnnouncedUpstream(wire.MemberID(fmt.Sprint("i-", i, version)), "desk", "10.0.0.1:80", "north", false)
			m.Version = version
			list = append(list, m)
		}
	}
	return list
}

func rolloutWithShare(share float64) wire.Rollouts {
	return wire.Rollouts{Revision: 1, List: []wire.Rollout{{Service: "desk", Target: "v2", State: wire.RolloutRunning, Share: share, Replaced: []string{"v1"}, Order: 1, Revision: 1}}}
}

// TestTargetGetsItsShare checks that the target of a rollout gets its share of the calls, all at one upstream, which
// then carries the normal load of one upstream.
func TestTargetGetsItsShare(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.2} {
		e := newEndpoints(noNotices())
		e.setRollouts(rolloutWithShare(share))
		sent := map[string]int{}
		upstreams := map[wire.MemberID]bool{}
		for i := range 400 {
			now := time.Unix(1000, int64(i))
			m, _, ok := e.acquire(versionedUpstreams(), criteria{dataCenter: "north"}, now)
			if !ok {
				t.Fatal("no upstream was chosen")
			}
			e.release(m.Start(), callAnswered, now)
			sent[m.Version]++
			if m.Version == "v2" {
				upstreams[m.ID] = true
			}
		}
		want := int(400 * share)
		if got := sent["v2"]; got < want-1 || got > want+2 || share == 0 && got > 0 {
			t.Errorf("share %.2f: %d of 400 at the target", share, got)
		}
		if len(upstreams) > 1 {
			t.Errorf("share %.2f: %d upstreams of the target got calls", share, len(upstreams))
		}
	}
}

// TestOwnersChoiceIsCountedOnce checks that an engine chosen by the stage owner gets the call even if it belongs to the
// target, and that a call whose chosen engine is unavailable goes to the stable versions.
func TestOwnersChoiceIsCountedOnce(t *testing.T) {
	e := newEndpoints(noNotices())
	e.setRollouts(rolloutWithShare(0.05))
	now := time.Unix(1000, 0)
	for i := range 100 {
		c := criteria{dataCenter: "north", chosen: wire.MemberID(fmt.Sprint("i-", i%4, "v2"))}
		m, _, ok := e.acquire(versionedUpstreams(), c, now)
		if !ok || m.ID != c.chosen {
			t.Fatalf("chose %q instead of the owner's choice %q", m.ID, c.chosen)
		}
		e.release(m.Start(), callUnknown, now)
		c.tried = []wire.Start{m.Start()}
		if m, _, ok := e.acquire(versionedUpstreams(), c, now); !ok || m.Version != "v1" {
			t.Fatalf("the second attempt went to %q of version %s", m.ID, m.Version)
		}
	}
}

// TestOnlyVersionStaysWithinItsShare checks that the target gets nothing beyond its share even if it is the
// only version left, as it may be faulty.
func TestOnlyVersionStaysWithinItsShare(t *testing.T) {
	e := newEndpoints(noNotices())
	e.setRollouts(rolloutWithShare(0.05))
	var list []wire.Member
	for _, m := range versionedUpstreams() {
		if m.Version == "v2" {
			list = append(list, m)
		}
	}
	if m, _, ok := e.acquire(list, criteria{}, time.Unix(1000, 0)); ok {
		t.Fatalf("chose %q", m.ID)
	}
}
