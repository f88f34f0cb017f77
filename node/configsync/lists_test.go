package configsync

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
)

// TestListsFollowMembers changes members one by one, together with evacuations and rollouts. The view must
// equal one that is built from the same members, and earlier views must not change.
func TestListsFollowMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := emptyView()
		type snapshot struct {
			view View
			was  string
		}
		var earlier []snapshot
		for range 20 {
			earlier = append(earlier, snapshot{v, fmt.Sprint(v.Announced, v.Agents, v.Proxies)})
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				e := &wire.Evacuations{Revision: v.Evacuations.Revision + 1, List: []wire.Evacuation{{DataCenter: "north", Evacuated: rapid.Bool().Draw(t, "out")}}}
				v.applyEvacuations(e)
			case 1:
				state := rapid.SampledFrom([]wire.RolloutState{wire.RolloutRunning, wire.RolloutCompleted, wire.RolloutRolledBack}).Draw(t, "state")
				v.applyRollouts(&wire.Rollouts{Revision: v.Rollouts.Revision + 1, List: []wire.Rollout{{Service: "a", Target: "v2", State: state, Replaced: []string{"v1"}, Order: 1}}})
			default:
				d := &wire.MembersDelta{From: v.MembersSeq, To: v.MembersSeq + 1}
				for range rapid.IntRange(1, 4).Draw(t, "changes") {
					id := wire.MemberID(fmt.Sprint("m", rapid.IntRange(0, 6).Draw(t, "member")))
					if rapid.IntRange(0, 3).Draw(t, "removed") == 0 {
						d.Removed = append(d.Removed, id)
						continue
					}
					m := wire.Member{ID: id, Service: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "service"), Leaving: rapid.Bool().Draw(t, "leaving"),
						DataCenter: rapid.SampledFrom([]string{"north", "south"}).Draw(t, "data centre"), Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")}
					switch rapid.IntRange(0, 2).Draw(t, "kind") {
					case 0:
						m.Peer = "p"
					case 1:
						m.Direct = "d"
					}
					d.Changed = append(d.Changed, m)
				}
				if err := v.applyMembers(d); err != nil {
					t.Fatal(err)
				}
			}
		}
		rebuilt := v
		rebuilt.rebuildLists()
		for name, lists := range map[string][2]any{"announced": {v.Announced, rebuilt.Announced}, "agents": {lists(v.Agents), lists(rebuilt.Agents)}, "peers": {v.Proxies, rebuilt.Proxies}} {
			if fmt.Sprint(lists[0]) != fmt.Sprint(lists[1]) {
				t.Fatalf("%s: %v, rebuilt %v", name, lists[0], lists[1])
			}
		}
		for _, s := range earlier {
			if now := fmt.Sprint(s.view.Announced, s.view.Agents, s.view.Proxies); now != s.was {
				t.Fatalf("an earlier view changed from %s to %s", s.was, now)
			}
		}
	})
}
