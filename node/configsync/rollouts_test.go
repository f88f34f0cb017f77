package configsync

import (
	"fmt"
	"testing"

	"caperdrum.org/api/wire"
)

// TestViewExcludesVersions completes and rolls back rollouts. Upstreams of versions that were rolled back or
// replaced must not be in the lists of those that get calls. Replaced ones stay while there are no others.
func TestViewExcludesVersions(t *testing.T) {
	upstream := func(version string) wire.Member {
		m := wire.AnnouncedUpstream(wire.MemberID("i-"+version), "desk", "10.0.0.1:80", "north", false)
		m.Version = version
		return m
	}
	for _, c := range []struct {
		state   wire.RolloutState
		serving []string
		want    string
	}{
		{wire.RolloutRunning, []string{"v1", "v2"}, "[i-v1 i-v2]"},
		{wire.RolloutCompleted, []string{"v1", "v2", "v3"}, "[i-v2 i-v3]"},
		{wire.RolloutCompleted, []string{"v1"}, "[i-v1]"},
		{wire.RolloutRolledBack, []string{"v1", "v2", "v3"}, "[i-v1 i-v3]"},
		{wire.RolloutRolledBack, []string{"v2"}, "[]"},
	} {
		v := emptyView()
		delta := &wire.MembersDelta{To: 1, Whole: true}
		for _, version := range c.serving {
			delta.Changed = append(delta.Changed, upstream(version))
		}
		if err := v.applyMembers(delta); err != nil {
			t.Fatal(err)
		}
		v.applyRollouts(&wire.Rollouts{Revision: 1, List: []wire.Rollout{{Service: "desk", Target: "v2", State: c.state, Replaced: []string{"v1"}, Order: 1}}})
		ids := []wire.MemberID{}
		for _, m := range v.Announced["desk"] {
			ids = append(ids, m.ID)
		}
		if got := fmt.Sprint(ids); got != c.want {
			t.Errorf("%s, %v: %s, want %s", c.state, c.serving, got, c.want)
		}
	}
}
