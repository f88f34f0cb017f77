package stagework

import (
	"fmt"
	"testing"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/residency"
)

// twoRegions are two regions of two data centres each.
var twoRegions = residency.Regions{"dc0": "east", "dc1": "east", "dc2": "west", "dc3": "west"}

// TestPartsStayInTheirRegion has a part read in one region: engines of the other read it, those of the same
// fetch it.
func TestPartsStayInTheirRegion(t *testing.T) {
	for name, regionOf := range map[string]residency.Regions{"one region": {"dc0": "east", "dc1": "east"}, "two regions": {"dc0": "east", "dc1": "west"}} {
		p := linked(fastLinks)
		p.regions = regions{regionOf}
		p.readAt("e0", prompt("shared", 10)) // e0 and e2 are in dc0, e1 and e3 in dc1
		for _, l := range p.by {
			l.waiting = reading{}
		}
		for _, id := range []wire.MemberID{"e0", "e2"} {
			p.busy(id, 1_000_000)
		}
		x := p.plan(prompt("shared", 1000))
		if x.engine.DataCenter != "dc1" {
			t.Fatalf("%s: engine %s, though those of dc0 are busy", name, x.engine.ID)
		}
		if fetches := x.fetch.source != nil; fetches != (name == "one region") {
			t.Errorf("%s: parts are fetched: %t", name, fetches)
		}
	}
}

// TestPiecesStayInTheirRegion hands in jobs of two regions: their pieces are made at home while upstreams there can
// begin them soon, and elsewhere where there are none, or too few.
func TestPiecesStayInTheirRegion(t *testing.T) {
	spec := &optext.Service{Name: "a", Kind: string(optext.Batch), Direct: optext.Direct{Batch: 4, Calls: 1, CallTime: 100 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultTTL: 4 * time.Second}}
	start := func(jobs int, dataCenters ...string) (home, away int) {
		s, now := newScheduler(), time.Unix(1000, 0)
		s.own(now, true, false)
		var list []wire.Member
		for i, dc := range dataCenters {
			list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint("a", i)), Service: "a", Direct: fmt.Sprint("a", i), DataCenter: dc, Incarnation: 1})
		}
		s.setServices(map[string]*optext.Service{"a": spec}, map[string][]wire.Member{"a": list})
		s.setRegions(twoRegions)
		for i := range jobs {
			id := fmt.Sprint("j", i)
			s.add(now, Job{ID: id, Handed: id, Left: time.Minute, Goal: 30 * time.Second, DataCenter: "dc0", Stages: []Stage{{Service: "a", Pieces: 1, Bytes: 1}}}, func(Result, error) {})
		}
		for _, c := range s.start(now) {
			if twoRegions[c.worker.member.DataCenter] == "east" {
				home += len(c.pieces)
			} else {
				away += len(c.pieces)
			}
		}
		return home, away
	}
	if home, away := start(6, "dc0", "dc1", "dc2", "dc3"); away != 0 || home == 0 {
		t.Errorf("%d pieces at home, %d elsewhere", home, away)
	}
	if home, away := start(6, "dc2", "dc3"); away == 0 || home != 0 {
		t.Errorf("without upstreams at home: %d pieces there, %d elsewhere", home, away)
	}
	if _, away := start(60, "dc0", "dc2", "dc3"); away == 0 {
		t.Error("nothing is made elsewhere, though the one upstream at home takes more than a call's time")
	}
}
