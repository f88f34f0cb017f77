package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/dispatch"
)

const (
	sweepPause   = 5 * time.Second // between two questions for unsettled claims, on average
	sweepTime    = 5 * time.Second // to settle one claim
	sweepWorkers = 8
)

// sweep settles claims whose entry may have died, before their gate forgets
// what became of them. It ends with ctx.
func (s *Service) sweep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(sweepPause/2 + rand.N(sweepPause)):
		}
		var reply wire.UnsettledClaims
		if s.sync.Control().CallLeader(ctx, MethodHeld, struct{}{}, &reply) == nil {
			s.settleAll(ctx, reply.Claims)
		}
	}
}

func (s *Service) settleAll(ctx context.Context, claims []wire.ClaimRequest) {
	work := make(chan wire.ClaimRequest)
	var wg sync.WaitGroup
	for range min(sweepWorkers, len(claims)) {
		wg.Go(func() {
			for c := range work {
				s.settleOld(ctx, c)
			}
		})
	}
	for _, c := range claims {
		work <- c
	}
	close(work)
	wg.Wait()
}

// settleOld does for an old claim what a resend of its key would do, but runs
// nothing anew.
func (r *runner) settleOld(ctx context.Context, holder wire.ClaimRequest) {
	ctx, cancel := context.WithTimeout(ctx, sweepTime)
	defer cancel()
	call := dispatch.Call{Request: holder.RequestID, Customer: holder.Customer, Attempt: holder.Attempt, Claimed: true, Deadline: r.clock.Now().Add(sweepTime)}
	_, err := r.settleHeld(ctx, holder, call)
	detail := string(holder.Attempt)
	if err != nil {
		detail += ": " + err.Error()
	}
	r.record("key-swept", call, detail)
}
