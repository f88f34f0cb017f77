package ledger

import (
	"context"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/routing"
)

const (
	// An attempt that its gate has not seen may still be on its way from a live entry. The gate is polled
	// this often before the attempt is cancelled.
	unseenPolls        = 4
	unseenPollInterval = 25 * time.Millisecond
)

func holderEndpoint(h wire.ClaimRequest) *routing.Endpoint {
	return &routing.Endpoint{Member: wire.Member{ID: h.Endpoint, Gate: h.Gate, Incarnation: h.Incarnation}}
}

func (r *runner) attachToHolder(ctx context.Context, holder wire.ClaimRequest, c dispatch.Call) (wire.Outcome, error) {
	c.Attempt = holder.Attempt
	answer, err := r.gates.Attach(ctx, holderEndpoint(holder), c, 0)
	return readOutcome(answer, err)
}

// resolveHeldKey asks the gate for the state of the attempt that holds the key, waits for its answer if it is
// running, and records the outcome.
func (r *runner) resolveHeldKey(ctx context.Context, holder wire.ClaimRequest, c dispatch.Call) (*Result, error) {
	st, err := r.askGate(ctx, holder, c)
	if err != nil {
		return r.handleUnreachableGate(holder)
	}
	if result, err, settled := r.settleIfUnanswerable(holder, st); settled {
		return result, err
	}
	outcome, err := r.attachToHolder(ctx, holder, c)
	if err != nil {
		return r.handleFailedAttach(holder, err)
	}
	recorded, err := r.settle(holder, outcome)
	if err != nil {
		return nil, err
	}
	return resultOf(recorded, holder.RequestID != c.Request)
}

// askGate returns the state of the holder's attempt at its gate. An attempt that stays unseen for unseenPolls
// polls is cancelled.
func (r *runner) askGate(ctx context.Context, holder wire.ClaimRequest, c dispatch.Call) (wire.AttemptStatus, error) {
	e := holderEndpoint(holder)
	for range unseenPolls {
		st, err := r.gates.Status(ctx, e, holder.Attempt)
		if err != nil || st.State != wire.AttemptUnseen || st.Incarnation != holder.Incarnation {
			return st, err
		}
		if r.clock.Now().Add(unseenPolls * unseenPollInterval).After(c.Deadline) {
			break
		}
		select {
		case <-ctx.Done():
		case <-r.clock.After(unseenPollInterval):
		}
	}
	return r.gates.CancelClaimed(ctx, e, holder.Attempt)
}

// settleIfUnanswerable settles the key if no answer can come any more, and reports whether it did.
func (r *runner) settleIfUnanswerable(holder wire.ClaimRequest, st wire.AttemptStatus) (result *Result, err error, settled bool) {
	switch {
	case st.Incarnation != holder.Incarnation, st.State == wire.AttemptForgotten:
		result, err = r.settleOutcomeUnknown(holder)
		return result, err, true
	case st.State == wire.AttemptTombstoned:
		return nil, r.releaseKey(holder, verdict.New(verdict.NotRun, verdict.CodeKeyInProgress, "an earlier attempt was cancelled before it ran")), true
	}
	return nil, nil, false
}

// releaseKey frees the key of an attempt that will never run, and returns cause.
func (r *runner) releaseKey(holder wire.ClaimRequest, cause error) error {
	if _, err := r.settle(holder, wire.Outcome{Verdict: verdict.NotRun}); err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "the key's release could not be recorded: %v", err)
	}
	return cause
}

// handleUnreachableGate handles a gate that does not respond. Only a new incarnation proves that the answer
// is lost; without one the key stays held, so that a later resend can ask again.
func (r *runner) handleUnreachableGate(holder wire.ClaimRequest) (*Result, error) {
	if r.gateRestarted(holder) {
		return r.settleOutcomeUnknown(holder)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeKeyInProgress, "the gate that holds the call is not reached")
}

// gateRestarted reports whether a later incarnation of the gate has joined.
func (r *runner) gateRestarted(holder wire.ClaimRequest) bool {
	m, ok := r.member(holder.Endpoint)
	return ok && m.Incarnation > holder.Incarnation
}

// handleFailedAttach handles an attempt whose answer could not be read completely. It records only what the
// gate reports, never a connection error.
func (r *runner) handleFailedAttach(holder wire.ClaimRequest, cause error) (*Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	st, err := r.gates.Status(ctx, holderEndpoint(holder), holder.Attempt)
	if err != nil {
		return r.handleUnreachableGate(holder)
	}
	if result, err, settled := r.settleIfUnanswerable(holder, st); settled {
		return result, err
	}
	switch {
	case st.State == wire.AttemptUnseen:
		return r.settleOutcomeUnknown(holder) // it was known to the gate earlier, so the gate has forgotten it
	case st.State != wire.AttemptDone, st.End == wire.EndWhole:
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "the call's answer did not come in time; ask again with the same key")
	case verdict.Of(cause) == verdict.NotRun:
		return nil, r.releaseKey(holder, cause)
	}
	return r.settleOutcomeUnknown(holder)
}

func (r *runner) settleOutcomeUnknown(holder wire.ClaimRequest) (*Result, error) {
	recorded, err := r.settle(holder, wire.Outcome{Verdict: verdict.MayHaveRun})
	if err != nil {
		return nil, err
	}
	return resultOf(recorded, true)
}
