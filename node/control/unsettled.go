package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"caperdrum.org/api/wire"
)

const (
	// minUnsettledAge is how long a claim may be unsettled before another entry is asked to settle it. By
	// then the call's deadline and its extra time are over, but its gate still remembers the call.
	minUnsettledAge   = time.Minute
	claimBatch        = 64
	reassignAfter     = 20 * time.Second // after this, a claim may be assigned to another entry
	maxAssignedClaims = 16 * claimBatch  // assigned at any time
)

// claimAssignments tracks which unsettled claims were assigned to an entry. It is local to the leader;
// assigning a claim twice is harmless.
type claimAssignments struct {
	mu         sync.Mutex
	assignedAt map[wire.AttemptID]time.Time
}

// assign calls list for claims that were not assigned recently, and records them as assigned.
func (a *claimAssignments) assign(now time.Time, list func(n int, skip func(wire.AttemptID) bool) ([]wire.ClaimRequest, error)) ([]wire.ClaimRequest, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.assignedAt, func(_ wire.AttemptID, at time.Time) bool { return now.Sub(at) >= reassignAfter })
	n := min(claimBatch, maxAssignedClaims-len(a.assignedAt))
	if n <= 0 {
		return nil, nil
	}
	claims, err := list(n, func(id wire.AttemptID) bool { _, asked := a.assignedAt[id]; return asked })
	for _, c := range claims {
		a.assignedAt[c.Attempt] = now
	}
	return claims, err
}

// assignUnsettled assigns unsettled claims to the calling entry. The entry that made them may have failed.
func (s *Service) assignUnsettled(ctx context.Context, _ *Empty) (*wire.UnsettledClaims, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	claims, err := s.assignments.assign(s.clock.Now(), func(n int, skip func(wire.AttemptID) bool) ([]wire.ClaimRequest, error) {
		return s.replica.UnsettledClaims(ctx, minUnsettledAge, n, skip)
	})
	if err != nil {
		return nil, err
	}
	return &wire.UnsettledClaims{Claims: claims}, nil
}
