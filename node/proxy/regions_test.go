package proxy

import (
	"fmt"
	"net/http"
	"testing"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
)

// TestCallsStayInTheirRegions restricts routes and a customer to regions: upstreams elsewhere must get no calls and
// no repeats, and a call without any eligible upstream is refused at once.
func TestCallsStayInTheirRegions(t *testing.T) {
	const dataCenters = "\n[data_center:d-east]\nregion = east\n[data_center:d-west]\nregion = west\n"
	for name, c := range map[string]struct {
		route, customer string
		east, west      int // calls that reach upstreams there
		status          int
	}{
		"a route in the east":    {"regions = east", "", 1, 0, http.StatusInternalServerError},
		"a customer in the west": {"", "regions = west", 0, 1, http.StatusInternalServerError},
		"both":                   {"regions = east, west", "regions = west", 0, 1, http.StatusInternalServerError},
		"a route and a customer without a common region": {"regions = east", "regions = west", 0, 0, http.StatusServiceUnavailable},
		"neither": {"", "", 1, 1, http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			config, err := optext.Parse("text", []byte(fmt.Sprintf(`
[service:desk]
kind = plain
upstreams = announced
[route:reserve]
host = desk.example
path_prefix = /reserve/
service = desk
idempotent = true
attempts = 2
timeout = 2s
%s
[customer:foundry]
keys = secret
%s
%s`, c.route, c.customer, dataCenters)))
			if err != nil {
				t.Fatal(err)
			}
			f.view.Config = config
			var east, west callCounter
			fails := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
			f.upstream("desk", "e", east.count(fails))
			f.upstream("desk", "w", west.count(fails))
			list := append([]wire.Member{}, f.view.Announced["desk"]...)
			list[0].DataCenter, list[1].DataCenter = "d-east", "d-west"
			f.announce("desk", list)
			f.wantStatus(c.status, http.MethodPost, "/reserve/", nil)
			if int(east.n.Load()) != c.east || int(west.n.Load()) != c.west {
				t.Fatalf("%d calls in the east, %d in the west, want %d and %d", east.n.Load(), west.n.Load(), c.east, c.west)
			}
		})
	}
}
