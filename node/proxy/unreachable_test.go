package proxy

import (
	"fmt"
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

// TestUnreachableDataCenterIsAvoided has the stage owner report an unreachable data centre. Calls for which the
// owner chooses no upstream must go elsewhere, if they can, until the report is withdrawn or expires.
func TestUnreachableDataCenterIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	var list []wire.Member
	for i := range 4 {
		list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint("u", i)), Service: "desk", DataCenter: fmt.Sprint("dc", i%2)})
	}
	for name, c := range map[string]struct {
		unreachable []string
		after       time.Duration
		wanted      wire.MemberID
		list        []wire.Member
		want        string
	}{
		"nearby is preferred":             {nil, 0, "", list, "dc0"},
		"nearby is unreachable":           {[]string{"dc0"}, 0, "", list, "dc1"},
		"another is unreachable":          {[]string{"dc1"}, 0, "", list, "dc0"},
		"all are unreachable":             {[]string{"dc0", "dc1"}, 0, "", list, "dc0"},
		"only an unreachable one is left": {[]string{"dc0"}, 0, "", list[:1], "dc0"},
		"the owner probes it":             {[]string{"dc0"}, 0, "u2", list, "dc0"},
		"the report has expired":          {[]string{"dc0"}, unreachableTTL, "", list, "dc0"},
		"the report is about to expire":   {[]string{"dc0"}, unreachableTTL - time.Millisecond, "", list, "dc1"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoints(noNotices())
			e.setUnreachable(c.unreachable, now)
			m, _, ok := e.acquire(c.list, criteria{dataCenter: "dc0", chosen: c.wanted}, now.Add(c.after))
			if !ok || m.DataCenter != c.want {
				t.Errorf("%s in %s, %v", m.ID, m.DataCenter, ok)
			}
			e.setUnreachable(nil, now)
			if m, _, _ := e.acquire(list, criteria{dataCenter: "dc0"}, now); c.want == "dc1" && m.DataCenter != "dc0" {
				t.Errorf("%s was chosen though the data centre is reachable again", m.ID)
			}
		})
	}
}
