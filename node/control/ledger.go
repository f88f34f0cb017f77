package control

import (
	"context"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// claim gives the right to run a keyed call once. It is idempotent by attempt.
func (s *Service) claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimReply, error) {
	res, err := s.replica.Propose(ctx, state.Command{Claims: []wire.ClaimRequest{*req}, LedgerLimit: s.set.Control.LedgerMaxBytes})
	if err != nil {
		return nil, s.leaderError(err)
	}
	return &res.Claims[0], nil
}

// settle records what became of a keyed call. The first outcome stands.
func (s *Service) settle(ctx context.Context, req *wire.SettleRequest) (*wire.SettleReply, error) {
	res, err := s.replica.Propose(ctx, state.Command{Settles: []wire.SettleRequest{*req}})
	if err != nil {
		return nil, s.leaderError(err)
	}
	return &res.Settles[0], nil
}
