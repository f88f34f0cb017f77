package stagework

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/node/upstream"
)

// newTakeoverSimulation returns a scheduler that has taken the queues over from another owner, and a job that
// fills a whole upstream of service a.
func newTakeoverSimulation(t *rapid.T) *schedulerSimulation {
	w := newSchedulerSimulation(t)
	w.s.setOwner(w.now, false, true)
	w.s.setOwner(w.now, true, true)
	w.s.submit(w.now, Job{ID: "job", SubmissionID: "job", Key: "k", TimeLeft: time.Minute, Goal: time.Minute, Stages: []Stage{{Service: "a", Pieces: 4, ResultBytes: 1000}}}, func(Result, error) {})
	return w
}

// TestNextOwnerRequestsRoomReports has two of three upstreams full with results of the previous owner: the job
// goes to the third one, and to no other.
func TestNextOwnerRequestsRoomReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTakeoverSimulation(t)
		if calls := w.s.startCalls(w.now); len(calls) > 0 {
			t.Fatal("a call was made before any report")
		}
		asked := w.s.dueReports(w.now)
		if want := 6; len(asked) != want {
			t.Fatalf("%d of %d reports requested", len(asked), want)
		}
		empty := rapid.SampledFrom([]string{"a0", "a1", "a2"}).Draw(t, "empty")
		for _, a := range asked {
			free := int64(0)
			if string(a.member.ID) == empty {
				free = services["a"].ResultRoom
			}
			w.s.applyReport(w.now, a, &upstream.Room{Free: free, FreeMax: free})
		}
		calls := w.s.startCalls(w.now)
		if len(calls) != 1 || string(calls[0].worker.member.ID) != empty || len(calls[0].pieces) != 4 {
			t.Fatalf("calls: %+v", calls)
		}
		w.now = w.now.Add(reportInterval)
		for _, a := range w.s.dueReports(w.now) {
			if string(a.member.ID) == empty {
				t.Fatal("another report is requested from an upstream that holds only this owner's results")
			}
		}
	})
}

// TestUpstreamWithoutReportIsUsedEventually takes the queues over while no upstream answers with a report.
func TestUpstreamWithoutReportIsUsedEventually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTakeoverSimulation(t)
		for _, a := range w.s.dueReports(w.now) {
			w.s.applyReport(w.now, a, nil)
		}
		w.now = w.now.Add(fullBackoff)
		if calls := w.s.startCalls(w.now); len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
	})
}

// TestFullUpstreamIsAskedForAReport rejects a piece for want of room: a report is requested, and the upstream
// gets the piece again only when it has room.
func TestFullUpstreamIsAskedForAReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSchedulerSimulation(t)
		w.members["a"] = w.members["a"][:1]
		w.s.setServices(services, w.members)
		w.s.submit(w.now, Job{ID: "job", SubmissionID: "job", Key: "k", TimeLeft: time.Minute, Goal: time.Minute, Stages: []Stage{{Service: "a", Pieces: 1, ResultBytes: 1000}}}, func(Result, error) {})
		calls := w.s.startCalls(w.now)
		w.free(w.s.finishCall(w.now, calls[0], outcome{results: []upstream.PieceResult{{Failure: upstream.NoRoom}}}))
		if len(w.s.dueReports(w.now)) > 0 {
			t.Fatal("report requested at once")
		}
		w.now = w.now.Add(reportInterval)
		for _, free := range []int64{0, 0, 1000} {
			asked := w.s.dueReports(w.now)
			if len(asked) != 1 {
				t.Fatalf("%d reports requested", len(asked))
			}
			w.s.applyReport(w.now, asked[0], &upstream.Room{Free: free, FreeMax: free})
			w.now = w.now.Add(max(reportInterval, fullBackoff))
			if calls := w.s.startCalls(w.now); len(calls) == 1 != (free > 0) {
				t.Fatalf("%d calls with %d bytes free", len(calls), free)
			}
		}
	})
}

// TestRoomHeldByOthers lists what is known of others' results after reports and rejections, in room 1000, of
// which this owner's results take 200.
func TestRoomHeldByOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		learn   func(h *roomUsage)
		foreign int64
	}{
		{"exact report", func(h *roomUsage) { h.applyReport(1000, 300, 300, 100) }, 500},
		{"a coarse report leaves a range", func(h *roomUsage) { h.applyReport(1000, 300, 399, 100) }, 401},
		{"own results since the last report are not others'", func(h *roomUsage) { h.addOwn(200); h.addOwn(-200); h.applyReport(1000, 300, 300, 100) }, 300},
		{"a rejection is exact", func(h *roomUsage) { h.recordNoRoom(now, 1000, 50, time.Second) }, 751},
		{"a coarse report admits part of a call as a probe", func(h *roomUsage) { h.recordNoRoom(now, 1000, 50, time.Second); h.applyReport(1000, 0, 999, 100) }, 651},
		{"a probe is never more than the free room", func(h *roomUsage) { h.recordNoRoom(now, 1000, 50, time.Second); h.applyReport(1000, 500, 999, 100) }, 300},
		{"empty upstream", func(h *roomUsage) { h.recordNoRoom(now, 1000, 50, time.Second); h.applyReport(1000, 800, 800, 100) }, 0},
	} {
		h := &roomUsage{ownBytes: 200, maxOwnBytes: 200, minOwnBytes: 200}
		c.learn(h)
		if h.foreignBytes != c.foreign {
			t.Errorf("%s: foreign bytes %d, want %d", c.name, h.foreignBytes, c.foreign)
		}
	}
}

// TestOthersResultsAreForgotten has the time pass after which results expire, at an upstream that never
// reports.
func TestOthersResultsAreForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSchedulerSimulation(t)
		for _, worker := range w.s.services["a"].workers {
			worker.recordNoRoom(w.now, services["a"].ResultRoom, 1, services["a"].ResultTTL)
		}
		w.s.submit(w.now, Job{ID: "job", SubmissionID: "job", Key: "k", TimeLeft: time.Minute, Goal: time.Minute, Stages: []Stage{{Service: "a", Pieces: 1, ResultBytes: 1000}}}, func(Result, error) {})
		if calls := w.s.startCalls(w.now); len(calls) > 0 {
			t.Fatal("a call was made without room")
		}
		w.now = w.now.Add(services["a"].ResultTTL + time.Millisecond)
		w.s.dueReports(w.now)
		if calls := w.s.startCalls(w.now); len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
	})
}

// TestUpstreamBusyForThePreviousOwner takes the queues over while all upstreams but one are still busy: the
// idle one gets the job, and further reports are requested from the others soon. An upstream that has
// completed a call of this owner gets calls whatever an old report says.
func TestUpstreamBusyForThePreviousOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTakeoverSimulation(t)
		idle := rapid.SampledFrom([]string{"a0", "a1", "a2"}).Draw(t, "idle")
		room := services["a"].ResultRoom
		for _, a := range w.s.dueReports(w.now) {
			w.s.applyReport(w.now, a, &upstream.Room{Free: room, FreeMax: room, Busy: string(a.member.ID) != idle})
		}
		calls := w.s.startCalls(w.now)
		if len(calls) != 1 || string(calls[0].worker.member.ID) != idle {
			t.Fatalf("calls: %+v", calls)
		}
		w.now = w.now.Add(fullBackoff)
		if again := w.s.dueReports(w.now); len(again) != 5 {
			t.Fatalf("%d further reports requested, five upstreams were busy", len(again))
		}
		worked := calls[0].worker
		w.free(w.s.finishCall(w.now, calls[0], outcome{results: make([]upstream.PieceResult, 4)}))
		w.s.applyReport(w.now, worked, &upstream.Room{Free: room, FreeMax: room, Busy: true})
		if !w.s.services["a"].canTake(worked, w.now) {
			t.Fatal("an upstream that has completed a call of this owner gets none")
		}
	})
}
