package replica

import (
	"context"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/state"
)

// Propose commits c and returns its result. ErrNotLeader means that c was not accepted; after any other error
// c may still be applied later.
func (r *Replica) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	c.Now = r.opts.Clock.Now().UnixMilli()
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	p := &proposal{data: data, answer: make(chan proposalAnswer, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return state.Result{}, ErrNotLeader
	case <-r.done:
		return state.Result{}, ErrNotLeader
	}
	began := r.opts.Clock.Now()
	res, err := r.awaitResult(ctx, p)
	if !isNotLeader(err) {
		r.logCommand(len(data), began, err)
	}
	return res, err
}

// isNotLeader reports whether err says that this replica is not the leader, an expected error that is not
// logged.
func isNotLeader(err error) bool { return errors.Is(err, ErrNotLeader) }

func (r *Replica) awaitResult(ctx context.Context, p *proposal) (state.Result, error) {
	select {
	case a := <-p.answer:
		return a.result, a.err
	case <-ctx.Done():
		return state.Result{}, errLeadershipLost
	case <-r.done:
		return state.Result{}, errStopped
	}
}

// ReadBarrier returns once the view includes everything committed before the call.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	_, err := r.ReadIndex(ctx)
	return err
}

// ReadIndex is ReadBarrier, and also returns the log index that it waited for.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	began := r.opts.Clock.Now()
	index, err := r.readIndex(ctx)
	r.logRead(began, err)
	return index, err
}

func (r *Replica) readIndex(ctx context.Context) (uint64, error) {
	rd := &pendingRead{answer: make(chan error, 1)}
	err := r.runOnLoop(ctx, func() {
		r.nextID++
		if err := r.node.ReadIndex(r.nextID); err != nil {
			rd.answer <- err
			return
		}
		r.pendingReads[r.nextID] = rd
	})
	if err != nil {
		return 0, err
	}
	if err := r.wait(ctx, rd.answer); err != nil {
		return 0, err
	}
	return rd.index, nil
}

// WaitApplied returns once the view includes the entry at index.
func (r *Replica) WaitApplied(ctx context.Context, index uint64) error {
	w := &applyWaiter{index: index, answer: make(chan error, 1)}
	err := r.runOnLoop(ctx, func() {
		r.applyWaiters = append(r.applyWaiters, w)
		r.releaseApplyWaiters()
	})
	if err != nil {
		return err
	}
	return r.wait(ctx, w.answer)
}

func (r *Replica) wait(ctx context.Context, answer chan error) error {
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return errStopped
	}
}

// runOnLoop runs f on the goroutine that owns the node and the state.
func (r *Replica) runOnLoop(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case r.calls <- func() { f(); close(ran) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return errStopped
	}
	<-ran
	return nil
}

// UnsettledClaims returns state.Machine.UnsettledClaims at the leader's clock, and nothing if this replica
// does not lead.
func (r *Replica) UnsettledClaims(ctx context.Context, age time.Duration, n int, skip func(wire.AttemptID) bool) (held []wire.ClaimRequest, err error) {
	err = r.runOnLoop(ctx, func() {
		if r.node.Status().Role == consensus.Leader {
			held = r.machine.UnsettledClaims(r.opts.Clock.Now(), age, n, skip)
		}
	})
	return held, err
}
