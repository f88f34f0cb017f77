package control

import (
	"context"
	"time"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/state"
)

// cluster is the part of the replica that synchronization and leases use.
type cluster interface {
	View() *state.View
	Status() consensus.Status
	StampAge() time.Duration
	// Outage returns why the replica has suspended its participation, or nil.
	Outage() error
	SetStamp(at time.Time)
	IsLeader() bool
	Leader() consensus.Peer
	Changed() <-chan struct{}
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	TransferLeadership(ctx context.Context) error
	WaitApplied(ctx context.Context, index uint64) error
}
