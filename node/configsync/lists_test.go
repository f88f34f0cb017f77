package configsync

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
)

// TestListsFollowMembers changes members one by one, in every way that places them in other lists, beside
// evacuations and roll-outs: a view holds what one made anew of the same members holds, and views of before
// do not change.
func TestListsFollowMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := emptyView()
		type seen struct {
			view View
			was  string
		}
		var before []seen
		for range 20 {
			before = append(before, seen{v, fmt.Sprint(v.Announced, v.ByService, v.Peers)})
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				e := &wire.Evacuations{Revision: v.Evacuations.Revision + 1, List: []wire.Evacuation{{DataCenter: "north", Evacuated: rapid.Bool().Draw(t, "out")}}}
				v.takeEvacuations(e)
			case 1:
				state := rapid.SampledFrom([]wire.RolloutState{wire.RolloutRunning, wire.RolloutCompleted, wire.RolloutRolledBack}).Draw(t, "state")
				v.takeRollouts(&wire.Rollouts{Revision: v.Rollouts.Revision + 1, List: []wire.Rollout{{Service: "a", Target: "v2", State: state, Replaced: []string{"v1"}, Order: 1}}})
			default:
				d := &wire.MembersDelta{From: v.Seq, To: v.Seq + 1}
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
				if err := v.takeMembers(d); err != nil {
					t.Fatal(err)
				}
			}
		}
		anew := v
		anew.index()
		for name, lists := range map[string][2]any{"announced": {v.Announced, anew.Announced}, "agents": {lists(v.ByService), lists(anew.ByService)}, "peers": {v.Peers, anew.Peers}} {
			if fmt.Sprint(lists[0]) != fmt.Sprint(lists[1]) {
				t.Fatalf("%s: %v, made anew %v", name, lists[0], lists[1])
			}
		}
		for _, s := range before {
			if now := fmt.Sprint(s.view.Announced, s.view.ByService, s.view.Peers); now != s.was {
				t.Fatalf("a view of before changed from %s to %s", s.was, now)
			}
		}
	})
}
