package control

import (
	"context"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// claimKey grants the right to run a call with an idempotency key once. It is idempotent per attempt.
func (s *Service) claimKey(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimReply, error) {
	res, err := s.replica.Propose(ctx, state.Command{Claims: []wire.ClaimRequest{*req}, LedgerLimit: s.set.Control.LedgerMaxBytes})
	if err != nil {
		return nil, s.leaderError(err)
	}
	return &res.Claims[0], nil
}

// settleClaim records the outcome of a call with an idempotency key. The first outcome is final.
func (s *Service) settleClaim(ctx context.Context, req *wire.SettleRequest) (*wire.SettleReply, error) {
	res, err := s.replica.Propose(ctx, state.Command{Settles: []wire.SettleRequest{*req}})
	if err != nil {
		return nil, s.leaderError(err)
	}
	return &res.Settles[0], nil
}
