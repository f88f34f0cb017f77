package stagework

import (
	"fmt"
	"testing"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
)

// TestTakeoverRequestsReportsInBatches has a process take the queues of more and more upstreams: the number of
// reports that it requests at once does not grow with them, and all are requested soon.
func TestTakeoverRequestsReportsInBatches(t *testing.T) {
	for _, upstreams := range []int{50, 426, 852} {
		s, now := newScheduler(), time.Unix(1000, 0)
		spec := &optext.Service{Name: "a", Kind: string(optext.Batch), Direct: optext.Direct{Batch: 4, Calls: 1, CallTime: 100 * time.Millisecond, ResultRoom: 1000, ResultTTL: 4 * time.Second}}
		var list []wire.Member
		for i := range upstreams {
			id := fmt.Sprint("a", i)
			list = append(list, wire.Member{ID: wire.MemberID(id), Service: "a", Direct: id, DataCenter: "dc0", Incarnation: 1})
		}
		s.setServices(map[string]*optext.Service{"a": spec}, map[string][]wire.Member{"a": list})
		s.setOwner(now, true, true)
		asked := map[*worker]bool{}
		const window = 100 * time.Millisecond
		lately, windowFrom := 0, now
		for end := now.Add(3 * time.Second); now.Before(end) && len(asked) < upstreams; now = now.Add(time.Millisecond) {
			if now.Sub(windowFrom) >= window {
				lately, windowFrom = 0, now
			}
			for _, w := range s.dueReports(now) {
				asked[w] = true
				lately++
			}
			if most := reportBurst + reportRate*window.Seconds(); float64(lately) > most {
				t.Fatalf("%d upstreams: %d reports requested within %s", upstreams, lately, window)
			}
		}
		if len(asked) != upstreams {
			t.Fatalf("%d of %d reports requested in 3 s", len(asked), upstreams)
		}
	}
}
