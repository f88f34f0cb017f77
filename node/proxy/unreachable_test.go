package proxy

import (
	"fmt"
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

// TestDarkDataCenterIsPassedOver has the owner of the stages say that a data centre is dark: calls that it chooses no
// upstream for go elsewhere, while there is anyone, until it says otherwise or is not heard from.
func TestDarkDataCenterIsPassedOver(t *testing.T) {
	now := time.Unix(1000, 0)
	var list []wire.Member
	for i := range 4 {
		list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint("u", i)), Service: "desk", DataCenter: fmt.Sprint("dc", i%2)})
	}
	for name, c := range map[string]struct {
		dark   []string
		after  time.Duration
		wanted wire.MemberID
		list   []wire.Member
		want   string
	}{
		"nearby is preferred":      {nil, 0, "", list, "dc0"},
		"nearby is dark":           {[]string{"dc0"}, 0, "", list, "dc1"},
		"another is dark":          {[]string{"dc1"}, 0, "", list, "dc0"},
		"all are":                  {[]string{"dc0", "dc1"}, 0, "", list, "dc0"},
		"only dark ones are there": {[]string{"dc0"}, 0, "", list[:1], "dc0"},
		"the owner looks there":    {[]string{"dc0"}, 0, "u2", list, "dc0"},
		"not heard from any more":  {[]string{"dc0"}, unreachableTTL, "", list, "dc0"},
		"heard from a moment ago":  {[]string{"dc0"}, unreachableTTL - time.Millisecond, "", list, "dc1"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoints(noNotices())
			e.setUnreachable(c.dark, now)
			m, ok := e.acquire(c.list, criteria{dataCenter: "dc0", chosen: c.wanted}, now.Add(c.after))
			if !ok || m.DataCenter != c.want {
				t.Errorf("%s in %s, %v", m.ID, m.DataCenter, ok)
			}
			e.setUnreachable(nil, now)
			if m, _ := e.acquire(list, criteria{dataCenter: "dc0"}, now); c.want == "dc1" && m.DataCenter != "dc0" {
				t.Errorf("%s is taken though the data centre is back", m.ID)
			}
		})
	}
}
