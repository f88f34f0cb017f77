package ledger

import (
	"context"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/routing"
)

// control is the client of the replicated ledger. A call that returns an error may still take effect,
// possibly later or twice.
type control interface {
	Claim(context.Context, wire.ClaimRequest) (wire.ClaimReply, error)
	Settle(context.Context, wire.SettleRequest) (wire.SettleReply, error)
}

// gates submits attempts to gates and queries their state.
type gates interface {
	Do(context.Context, *routing.Endpoint, dispatch.Call) (*dispatch.Response, error)
	Attach(ctx context.Context, e *routing.Endpoint, c dispatch.Call, offset int64) (*dispatch.Response, error)
	Status(context.Context, *routing.Endpoint, wire.AttemptID) (wire.AttemptStatus, error)
	CancelClaimed(ctx context.Context, e *routing.Endpoint, id wire.AttemptID) (wire.AttemptStatus, error)
}

// chooser selects the endpoint for an attempt.
type chooser interface {
	Choose(routing.Request) *routing.Endpoint
}
