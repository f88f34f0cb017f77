package stagework

import (
	"testing"

	"caperdrum.org/api/wire"
)

// TestNextStartStaysOnTrial has an upstream of the target version start again while its service is rolled out,
// which its own report says before the members do: it stays on trial, and is not counted among the healthy ones.
func TestNextStartStaysOnTrial(t *testing.T) {
	s, _ := fleetOwner(10)
	q := s.services["courier"]
	first := q.list[0]
	first.member.Version = "v2"
	s.followRollouts(wire.Rollouts{Revision: 1, List: []wire.Rollout{{Service: "courier", Target: "v2", State: wire.RolloutRunning, Replaced: []string{""}, Revision: 1, Order: 1}}})
	others := q.healthyWorkers()
	if !first.canary || others != len(q.list)-1 {
		t.Fatalf("on trial: %v, %d healthy", first.canary, others)
	}
	next := first.member
	next.Incarnation++
	q.replaceWorker(first, next)
	if !q.list[0].canary || q.healthyWorkers() != others {
		t.Errorf("its next start is on trial: %v, %d healthy", q.list[0].canary, q.healthyWorkers())
	}
	s.followRollouts(wire.Rollouts{Revision: 2, List: []wire.Rollout{{Service: "courier", Target: "v2", State: wire.RolloutCompleted, Replaced: []string{""}, Revision: 2, Order: 1}}})
	if q.healthyWorkers() != len(q.list) {
		t.Errorf("%d of %d healthy after the roll-out", q.healthyWorkers(), len(q.list))
	}
}
