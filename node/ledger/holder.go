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
	// An attempt that its gate has not seen may be under way from a live entry.
	// It is given this many pauses to arrive before it is cancelled.
	unseenPolls = 4
	unseenPause = 25 * time.Millisecond
)

func holderEndpoint(h wire.ClaimRequest) *routing.Endpoint {
	return &routing.Endpoint{Member: wire.Member{ID: h.Endpoint, Gate: h.Gate, Incarnation: h.Incarnation}}
}

func (r *runner) answerOfHolder(ctx context.Context, holder wire.ClaimRequest, c dispatch.Call) (wire.Outcome, error) {
	c.Attempt = holder.Attempt
	answer, err := r.gates.Attach(ctx, holderEndpoint(holder), c, 0)
	return readOutcome(answer, err)
}

// settleHeld finds out from the gate what became of the attempt that holds
// the key, waits for its answer if it runs, and records it.
func (r *runner) settleHeld(ctx context.Context, holder wire.ClaimRequest, c dispatch.Call) (*Result, error) {
	st, err := r.askGate(ctx, holder, c)
	if err != nil {
		return r.gateSilent(holder)
	}
	if result, err, known := r.settleWithoutAnswer(holder, st); known {
		return result, err
	}
	outcome, err := r.answerOfHolder(ctx, holder, c)
	if err != nil {
		return r.failedAttach(holder, err)
	}
	stands, err := r.settle(holder, outcome)
	if err != nil {
		return nil, err
	}
	return answerOf(stands, holder.RequestID != c.Request)
}

// askGate returns what the gate knows. An attempt that it has not seen is
// cancelled after a short wait.
func (r *runner) askGate(ctx context.Context, holder wire.ClaimRequest, c dispatch.Call) (wire.AttemptStatus, error) {
	e := holderEndpoint(holder)
	for range unseenPolls {
		st, err := r.gates.Status(ctx, e, holder.Attempt)
		if err != nil || st.State != wire.AttemptUnseen || st.Incarnation != holder.Incarnation {
			return st, err
		}
		if r.clock.Now().Add(unseenPolls * unseenPause).After(c.Deadline) {
			break
		}
		select {
		case <-ctx.Done():
		case <-r.clock.After(unseenPause):
		}
	}
	return r.gates.CancelClaimed(ctx, e, holder.Attempt)
}

// settleWithoutAnswer handles the states in which no answer can come.
func (r *runner) settleWithoutAnswer(holder wire.ClaimRequest, st wire.AttemptStatus) (result *Result, err error, known bool) {
	switch {
	case st.Incarnation != holder.Incarnation, st.State == wire.AttemptForgotten:
		result, err = r.settleUnknown(holder)
		return result, err, true
	case st.State == wire.AttemptTombstoned:
		return nil, r.release(holder, verdict.New(verdict.NotRun, verdict.CodeKeyInProgress, "an earlier attempt was cancelled before it ran")), true
	}
	return nil, nil, false
}

// release frees the key of an attempt that never runs.
func (r *runner) release(holder wire.ClaimRequest, cause error) error {
	if _, err := r.settle(holder, wire.Outcome{Verdict: verdict.NotRun}); err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "the key's release could not be recorded: %v", err)
	}
	return cause
}

// gateSilent handles a gate that gives no answer. Only a new incarnation
// proves that the answer is lost; without one the key stays held, so that a
// later resend can ask again.
func (r *runner) gateSilent(holder wire.ClaimRequest) (*Result, error) {
	if r.restarted(holder) {
		return r.settleUnknown(holder)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeKeyInProgress, "the gate that holds the call is not reached")
}

// restarted reports whether a later incarnation of the gate has joined.
func (r *runner) restarted(holder wire.ClaimRequest) bool {
	m, ok := r.member(holder.Endpoint)
	return ok && m.Incarnation > holder.Incarnation
}

// failedAttach handles an attempt of which no whole answer was read. Only what
// the gate itself says of it is recorded, never a fault of the connection.
func (r *runner) failedAttach(holder wire.ClaimRequest, cause error) (*Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	st, err := r.gates.Status(ctx, holderEndpoint(holder), holder.Attempt)
	if err != nil {
		return r.gateSilent(holder)
	}
	if result, err, known := r.settleWithoutAnswer(holder, st); known {
		return result, err
	}
	switch {
	case st.State == wire.AttemptUnseen:
		return r.settleUnknown(holder) // it was known before, so it was forgotten since
	case st.State != wire.AttemptDone, st.End == wire.EndWhole:
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "the call's answer did not come in time; ask again with the same key")
	case verdict.Of(cause) == verdict.NotRun:
		return nil, r.release(holder, cause)
	}
	return r.settleUnknown(holder)
}

func (r *runner) settleUnknown(holder wire.ClaimRequest) (*Result, error) {
	stands, err := r.settle(holder, wire.Outcome{Verdict: verdict.MayHaveRun})
	if err != nil {
		return nil, err
	}
	return answerOf(stands, true)
}
