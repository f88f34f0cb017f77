package stagework

import (
	"testing"

	"caperdrum.org/api/wire"
)

// TestRestartedCanaryStaysACanary restarts an upstream of the target version during a rollout, which its room report
// shows before the member list: it stays a canary, and does not count as healthy.
func TestRestartedCanaryStaysACanary(t *testing.T) {
	s, _ := fleetOwner(10)
	q := s.services["courier"]
	first := q.list[0]
	first.member.Version = "v2"
	s.followRollouts(wire.Rollouts{Revision: 1, List: []wire.Rollout{{Service: "courier", Target: "v2", State: wire.RolloutRunning, Replaced: []string{""}, Revision: 1, Order: 1}}})
	others := q.healthyWorkers()
	if !first.canary || others != len(q.list)-1 {
		t.Fatalf("canary: %v, %d healthy", first.canary, others)
	}
	next := first.member
	next.Incarnation++
	q.replaceWorker(first, next)
	if !q.list[0].canary || q.healthyWorkers() != others {
		t.Errorf("next incarnation is a canary: %v, %d healthy", q.list[0].canary, q.healthyWorkers())
	}
	s.followRollouts(wire.Rollouts{Revision: 2, List: []wire.Rollout{{Service: "courier", Target: "v2", State: wire.RolloutCompleted, Replaced: []string{""}, Revision: 2, Order: 1}}})
	if q.healthyWorkers() != len(q.list) {
		t.Errorf("%d of %d healthy after the rollout", q.healthyWorkers(), len(q.list))
	}
}
