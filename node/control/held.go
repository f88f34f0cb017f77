package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"caperdrum.org/api/wire"
)

const (
	// heldAge is how long a claim may be unsettled before entries are asked to
	// settle it: its call has had its deadline and its extra time by then, and
	// its gate still remembers it.
	heldAge   = time.Minute
	heldBatch = 64
	heldAgain = 20 * time.Second // a claim is given to another entry after that
	heldMost  = 16 * heldBatch   // given out at a time
)

// handouts remembers which unsettled claims an entry was asked to settle. It is
// the leader's own memory; twice the same claim is harmless.
type handouts struct {
	mu sync.Mutex
	at map[wire.AttemptID]time.Time
}

// take calls list for the claims that nobody was asked for lately.
func (h *handouts) take(now time.Time, list func(n int, skip func(wire.AttemptID) bool) ([]wire.ClaimRequest, error)) ([]wire.ClaimRequest, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.at, func(_ wire.AttemptID, at time.Time) bool { return now.Sub(at) >= heldAgain })
	n := min(heldBatch, heldMost-len(h.at))
	if n <= 0 {
		return nil, nil
	}
	claims, err := list(n, func(id wire.AttemptID) bool { _, asked := h.at[id]; return asked })
	for _, c := range claims {
		h.at[c.Attempt] = now
	}
	return claims, err
}

// held gives an entry claims to settle whose own entry may have died.
func (s *Service) held(ctx context.Context, _ *Empty) (*wire.UnsettledClaims, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	claims, err := s.handouts.take(s.clock.Now(), func(n int, skip func(wire.AttemptID) bool) ([]wire.ClaimRequest, error) {
		return s.replica.Held(ctx, heldAge, n, skip)
	})
	if err != nil {
		return nil, err
	}
	return &wire.UnsettledClaims{Claims: claims}, nil
}
