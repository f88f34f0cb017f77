package residency

import (
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"caperdrum.org/api/optext"
)

var regions = Regions{"a1": "east", "a2": "east", "b1": "west", "c1": "north"}

// TestAllowedDataCenters checks that a data centre is allowed exactly if every non-empty list names its region.
func TestAllowedDataCenters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfN(rapid.SampledFrom([]string{"east", "west", "north", "nowhere"}), 0, 3)
		lists := rapid.SliceOfN(names, 0, 3).Draw(t, "lists")
		w := regions.Allowed(lists...)
		for dataCenter, region := range regions {
			allowed := true
			for _, list := range lists {
				in := len(list) == 0
				for _, name := range list {
					in = in || name == region
				}
				allowed = allowed && in
			}
			if w.Contains(dataCenter) != allowed {
				t.Fatalf("%v: allowed in %s: %t", lists, dataCenter, !allowed)
			}
		}
		if w.Restricted && w.Contains("unknown") {
			t.Fatalf("%v: a data centre without a region is allowed", lists)
		}
	})
}

func TestUnknownRegionIsAnError(t *testing.T) {
	good := &optext.Config{Routes: []*optext.Route{{Name: "r", Regions: []string{"east"}}}}
	bad := &optext.Config{Customers: map[string]*optext.Customer{"foundry": {Name: "foundry", Regions: []string{"east", "mars"}}}}
	if err := regions.Check(good); err != nil {
		t.Fatal(err)
	}
	if err := regions.Check(bad); !errors.Is(err, ErrUnknownRegion) {
		t.Fatalf("%v", err)
	}
	if err := (Regions{}).Check(bad); err != nil {
		t.Fatalf("no region is known, and Check returned %v", err)
	}
}
