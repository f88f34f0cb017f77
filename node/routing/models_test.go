package routing

import (
	"testing"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
)

// TestChoiceByHolds checks that a request reaches only engines whose member record lists
// its model, and that endpoints keep their counters when that list changes.
func TestChoiceByHolds(t *testing.T) {
	update := func(s *Service, models string, holds map[wire.MemberID]string) {
		sv := &optext.Service{Name: testService, Kind: string(optext.Engine), Models: models}
		v := &configsync.View{Config: &optext.Config{Services: map[string]*optext.Service{testService: sv}}, Agents: map[string][]wire.Member{}}
		for id, h := range holds {
			v.Agents[testService] = append(v.Agents[testService], wire.Member{ID: id, Holds: h, Revision: uint64(len(h))})
		}
		s.Update(v)
	}
	two := map[wire.MemberID]string{"a": "m@1,m@1/fine", "b": "n@1"}
	rows := []struct {
		name, models, request string
		holds                 map[wire.MemberID]string
		want                  map[wire.MemberID]bool
	}{
		{"held by one", "m@1,n@1", "m", two, map[wire.MemberID]bool{"a": true}},
		{"held by the other", "m@1,n@1", "n", two, map[wire.MemberID]bool{"b": true}},
		{"adapter requested by its own name", "m@1/fine,n@1", "fine", two, map[wire.MemberID]bool{"a": true}},
		{"configured, held by none", "m@1,x@1", "x", two, nil},
		{"not configured: any engine", "m@1,n@1", "public-name", two, map[wire.MemberID]bool{"a": true, "b": true}},
		{"no model requested", "m@1,n@1", "", two, map[wire.MemberID]bool{"a": true, "b": true}},
		{"takes no orders", "m@1,n@1", "m", map[wire.MemberID]string{"a": "", "b": "n@1"}, map[wire.MemberID]bool{"a": true}},
	}
	for _, row := range rows {
		s := NewTable("entry", here)
		update(s, row.models, row.holds)
		got := map[wire.MemberID]bool{}
		for range 200 {
			if e := s.Choose(Request{Service: testService, Model: row.request, Now: time.Now()}); e != nil {
				got[e.Member.ID] = true
			}
		}
		for id := range row.holds {
			if got[id] != row.want[id] {
				t.Errorf("%s: %s chosen %t, want %t", row.name, id, got[id], row.want[id])
			}
		}
	}

	s := NewTable("entry", here)
	empty := 0
	s.OnEmpty(func(string) { empty++ })
	update(s, "m@1", map[wire.MemberID]string{"a": "n@1"})
	ask := Request{Service: testService, Model: "m", Now: time.Now()}
	if s.Choose(ask) != nil || empty != 1 {
		t.Fatalf("an engine without the model was chosen, or OnEmpty was not called exactly once: %d", empty)
	}
	before := s.Choose(Request{Service: testService, Now: time.Now()})
	flight := before.Start(0)
	update(s, "m@1", map[wire.MemberID]string{"a": "n@1,m@1"})
	e := s.Choose(ask)
	if e == nil || e != before || e.InFlight() != 1 {
		t.Fatal("after the engine loaded the model, it is not chosen with its counters")
	}
	flight.End(Answered)
}
