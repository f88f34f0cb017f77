package stagework

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/node/upstream"
)

// takenOver is a scheduler that has taken the queues over from another owner, and
// a job that fills a whole upstream of service a.
func takenOver(t *rapid.T) *world {
	w := newWorld(t)
	w.s.own(w.now, false, true)
	w.s.own(w.now, true, true)
	w.s.add(w.now, Job{ID: "job", Handed: "job", Key: "k", Left: time.Minute, Goal: time.Minute, Stages: []Stage{{Service: "a", Pieces: 4, Bytes: 1000}}}, func(Result, error) {})
	return w
}

// TestNextOwnerAsksForTheRoom fills two of three upstreams with results of an
// owner before: the job goes to the third one, and to no other.
func TestNextOwnerAsksForTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := takenOver(t)
		if calls := w.s.start(w.now); len(calls) > 0 {
			t.Fatal("a call was made before any upstream was asked")
		}
		asked := w.s.reports(w.now)
		if want := 6; len(asked) != want {
			t.Fatalf("%d of %d upstreams are asked", len(asked), want)
		}
		empty := rapid.SampledFrom([]string{"a0", "a1", "a2"}).Draw(t, "empty")
		for _, a := range asked {
			free := int64(0)
			if string(a.member.ID) == empty {
				free = services["a"].ResultRoom
			}
			w.s.reported(w.now, a, &upstream.Room{Free: free, FreeMax: free})
		}
		calls := w.s.start(w.now)
		if len(calls) != 1 || string(calls[0].worker.member.ID) != empty || len(calls[0].pieces) != 4 {
			t.Fatalf("calls: %+v", calls)
		}
		w.now = w.now.Add(reportInterval)
		for _, a := range w.s.reports(w.now) {
			if string(a.member.ID) == empty {
				t.Fatal("an upstream that holds only this owner's results is asked again")
			}
		}
	})
}

// TestSilentUpstreamIsUsedAfterAll takes the queues over while no upstream says
// how much room it has.
func TestSilentUpstreamIsUsedAfterAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := takenOver(t)
		for _, a := range w.s.reports(w.now) {
			w.s.reported(w.now, a, nil)
		}
		w.now = w.now.Add(fullPause)
		if calls := w.s.start(w.now); len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
	})
}

// TestUpstreamWithoutRoomIsAsked refuses a piece for want of room: the upstream is
// asked, and gets the piece again only when it has room.
func TestUpstreamWithoutRoomIsAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.members["a"] = w.members["a"][:1]
		w.s.setServices(services, w.members)
		w.s.add(w.now, Job{ID: "job", Handed: "job", Key: "k", Left: time.Minute, Goal: time.Minute, Stages: []Stage{{Service: "a", Pieces: 1, Bytes: 1000}}}, func(Result, error) {})
		calls := w.s.start(w.now)
		w.free(w.s.finish(w.now, calls[0], outcome{results: []upstream.PieceResult{{Failure: upstream.NoRoom}}}))
		if len(w.s.reports(w.now)) > 0 {
			t.Fatal("asked at once")
		}
		w.now = w.now.Add(reportInterval)
		for _, free := range []int64{0, 0, 1000} {
			asked := w.s.reports(w.now)
			if len(asked) != 1 {
				t.Fatalf("%d upstreams are asked", len(asked))
			}
			w.s.reported(w.now, asked[0], &upstream.Room{Free: free, FreeMax: free})
			w.now = w.now.Add(max(reportInterval, fullPause))
			if calls := w.s.start(w.now); len(calls) == 1 != (free > 0) {
				t.Fatalf("%d calls with %d bytes free", len(calls), free)
			}
		}
	})
}

// TestWhatOthersHold lists what reports and refusals tell of others' results: room
// 1000, of which this owner's own results take 200.
func TestWhatOthersHold(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		learn   func(h *held)
		foreign int64
	}{
		{"an exact report", func(h *held) { h.reported(1000, 300, 300, 100) }, 500},
		{"a coarse report leaves the rest open", func(h *held) { h.reported(1000, 300, 399, 100) }, 401},
		{"own results that were there a moment ago are not others'", func(h *held) { h.hold(200); h.hold(-200); h.reported(1000, 300, 300, 100) }, 300},
		{"a refused piece is exact", func(h *held) { h.noRoom(now, 1000, 50, time.Second) }, 751},
		{"a coarse report lets a part of a call in", func(h *held) { h.noRoom(now, 1000, 50, time.Second); h.reported(1000, 0, 999, 100) }, 651},
		{"and never more than is free", func(h *held) { h.noRoom(now, 1000, 50, time.Second); h.reported(1000, 500, 999, 100) }, 300},
		{"an empty upstream", func(h *held) { h.noRoom(now, 1000, 50, time.Second); h.reported(1000, 800, 800, 100) }, 0},
	} {
		h := &held{own: 200, most: 200, least: 200}
		c.learn(h)
		if h.foreign != c.foreign {
			t.Errorf("%s: others hold %d, want %d", c.name, h.foreign, c.foreign)
		}
	}
}

// TestOthersResultsAreForgotten lets the time pass after which an owner's results
// are gone by themselves, at an upstream that never reports.
func TestOthersResultsAreForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for _, worker := range w.s.services["a"].workers {
			worker.noRoom(w.now, services["a"].ResultRoom, 1, services["a"].ResultTTL)
		}
		w.s.add(w.now, Job{ID: "job", Handed: "job", Key: "k", Left: time.Minute, Goal: time.Minute, Stages: []Stage{{Service: "a", Pieces: 1, Bytes: 1000}}}, func(Result, error) {})
		if calls := w.s.start(w.now); len(calls) > 0 {
			t.Fatal("a call without room")
		}
		w.now = w.now.Add(services["a"].ResultTTL + time.Millisecond)
		w.s.reports(w.now)
		if calls := w.s.start(w.now); len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
	})
}

// TestUpstreamThatWorksForTheOwnerBefore takes the queues over while all upstreams but one
// still work: the idle one gets the job, and the others are asked again soon. One that has
// worked for this owner gets calls whatever an old report says.
func TestUpstreamThatWorksForTheOwnerBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := takenOver(t)
		idle := rapid.SampledFrom([]string{"a0", "a1", "a2"}).Draw(t, "idle")
		room := services["a"].ResultRoom
		for _, a := range w.s.reports(w.now) {
			w.s.reported(w.now, a, &upstream.Room{Free: room, FreeMax: room, Busy: string(a.member.ID) != idle})
		}
		calls := w.s.start(w.now)
		if len(calls) != 1 || string(calls[0].worker.member.ID) != idle {
			t.Fatalf("calls: %+v", calls)
		}
		w.now = w.now.Add(fullPause)
		if again := w.s.reports(w.now); len(again) != 5 {
			t.Fatalf("%d upstreams are asked again, five were busy", len(again))
		}
		worked := calls[0].worker
		w.free(w.s.finish(w.now, calls[0], outcome{results: make([]upstream.PieceResult, 4)}))
		w.s.reported(w.now, worked, &upstream.Room{Free: room, FreeMax: room, Busy: true})
		if !w.s.services["a"].takes(worked, w.now) {
			t.Fatal("an upstream that this owner has seen end its call gets none")
		}
	})
}
