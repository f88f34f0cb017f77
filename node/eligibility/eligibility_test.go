package eligibility

import (
	"encoding/json"
	"testing"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/residency"
)

func upstreams() []wire.Member {
	return []wire.Member{{ID: "a", DataCenter: "north", Version: "v1"}, {ID: "b", DataCenter: "south", Version: "v1"}, {ID: "c", DataCenter: "north", Version: "v2"}, {ID: "d", DataCenter: "north"}}
}

// TestFilter checks which upstreams each constraint leaves, and that the list is not changed.
func TestFilter(t *testing.T) {
	version := func(v string) *string { return &v }
	north := residency.AllowedDataCenters{Restricted: true, DataCenters: []string{"north"}}
	for name, x := range map[string]struct {
		c    Constraint
		want string
	}{
		"none":                        {Constraint{}, "abcd"},
		"data centres":                {Constraint{Within: north}, "acd"},
		"no data centre":              {Constraint{Within: residency.AllowedDataCenters{Restricted: true}}, ""},
		"version":                     {Constraint{Version: version("v1")}, "ab"},
		"version and data centres":    {Constraint{Within: north, Version: version("v1")}, "a"},
		"version that nobody has":     {Constraint{Version: version("v3")}, ""},
		"upstreams without a version": {Constraint{Version: version("")}, "d"},
	} {
		list, got := upstreams(), ""
		for _, m := range x.c.Filter(list) {
			got += string(m.ID)
		}
		if got != x.want {
			t.Errorf("%s: %q, want %q", name, got, x.want)
		}
		for i, m := range upstreams() {
			if list[i] != m {
				t.Errorf("%s: the list has changed", name)
			}
		}
	}
}

// TestEncodedConstraint checks that a pinned version survives the way to another process, also an empty one, and that
// no constraint takes no bytes.
func TestEncodedConstraint(t *testing.T) {
	empty := ""
	for _, c := range []Constraint{{}, {Version: &empty}} {
		data, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		var back Constraint
		if err := json.Unmarshal(data, &back); err != nil || back.Pinned() != c.Pinned() {
			t.Errorf("%s: %+v %v", data, back, err)
		}
		if !c.Restricted() && string(data) != "{}" {
			t.Errorf("no constraint is %s", data)
		}
	}
}
