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
	sweepInterval = 5 * time.Second // average pause between two requests for unsettled claims
	sweepTimeout  = 5 * time.Second // for settling one claim
	sweepWorkers  = 8
)

// sweep settles claims whose entry may have died, before their gate forgets their outcome. It returns when
// ctx ends.
func (s *Service) sweep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(sweepInterval/2 + rand.N(sweepInterval)):
		}
		var reply wire.UnsettledClaims
		if s.sync.LeaderClient().CallLeader(ctx, MethodUnsettledClaims, struct{}{}, &reply) == nil {
			s.sweepClaims(ctx, reply.Claims)
		}
	}
}

func (s *Service) sweepClaims(ctx context.Context, claims []wire.ClaimRequest) {
	work := make(chan wire.ClaimRequest)
	var wg sync.WaitGroup
	for range min(sweepWorkers, len(claims)) {
		wg.Go(func() {
			for c := range work {
				s.sweepClaim(ctx, c)
			}
		})
	}
	for _, c := range claims {
		work <- c
	}
	close(work)
	wg.Wait()
}

// sweepClaim does for an old claim what a resend of its key would do, but never runs a new attempt.
func (r *runner) sweepClaim(ctx context.Context, holder wire.ClaimRequest) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	call := dispatch.Call{Request: holder.RequestID, Customer: holder.Customer, Attempt: holder.Attempt, Claimed: true, Deadline: r.clock.Now().Add(sweepTimeout)}
	_, err := r.resolveHeldKey(ctx, holder, call)
	detail := string(holder.Attempt)
	if err != nil {
		detail += ": " + err.Error()
	}
	r.record("key-swept", call, detail)
}
