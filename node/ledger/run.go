package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"time"
	"unicode/utf8"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/routing"
)

const (
	maxKey        = 255 // bytes of an idempotency key
	maxRounds     = 8   // claims of one request, each after a NotRun
	comeBack      = time.Second
	fullComeBack  = 30 * time.Second // a full ledger empties by expiry only
	recordTimeout = 5 * time.Second  // an outcome is recorded even when the caller is gone
	// maxOutcome bounds the answer that the ledger keeps, in bytes. A larger
	// one is not given to the caller either: a resend could not get it.
	maxOutcome = 512 << 10
)

// Result is the outcome of a keyed call.
type Result struct {
	Outcome  wire.Outcome
	Replayed bool // the call ran for an earlier request
}

// runner is the logic of keyed calls over its interfaces.
type runner struct {
	control    control
	gates      gates
	chooser    chooser
	clock      clockwork.Clock
	newAttempt func() wire.AttemptID
	member     func(wire.MemberID) (wire.Member, bool)
	unrecorded func(wire.SettleRequest) // records it later
	record     func(kind timeline.Kind, c dispatch.Call, detail string)
}

// Run claims the key, runs the call once and records its outcome before it
// returns. The error always has a verdict, and a time to come back unless a
// resend is pointless.
func (r *runner) Run(ctx context.Context, key string, c dispatch.Call, policy string) (*Result, error) {
	if len(key) > maxKey || !utf8.ValidString(key) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "header %s must be UTF-8 of at most %d bytes", wire.HeaderIdempotencyKey, maxKey)
	}
	res, err := r.rounds(ctx, key, c, policy)
	if err == nil {
		return res, nil
	}
	out := *verdict.From(err)
	if out.RetryAfter == 0 && !final(out.Code) {
		out.RetryAfter = comeBack
	}
	return nil, &out
}

func (r *runner) rounds(ctx context.Context, key string, c dispatch.Call, policy string) (*Result, error) {
	tried := map[wire.MemberID]bool{}
	var refused error // for lack of capacity, by the gate asked last
	for range maxRounds {
		now := r.clock.Now()
		if !now.Before(c.Deadline) || ctx.Err() != nil {
			break
		}
		e := r.chooser.Choose(routing.Request{Service: c.Service, Policy: policy, Exclude: tried, Now: now})
		if e == nil && refused != nil {
			return nil, refused
		}
		if e == nil {
			return nil, verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "no upstream of %s can take the call", c.Service)
		}
		result, err := r.round(ctx, key, c, e)
		if err == nil || !again(err) {
			return result, err
		}
		if verdict.From(err).Code != verdict.CodeKeyInProgress {
			tried[e.Member.ID] = true
		}
		if verdict.LacksCapacity(err) && refused != nil {
			return nil, err // each gate asked costs a claim and its release; two of the best suffice
		}
		if verdict.LacksCapacity(err) {
			refused = err
		}
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "no upstream of %s took the call in time", c.Service)
}

// again reports whether another round is safe and may help.
func again(err error) bool {
	v := verdict.From(err)
	if v.Verdict != verdict.NotRun {
		return false
	}
	switch v.Code {
	case verdict.CodeKeyConflict, verdict.CodeNoQuorum, verdict.CodeLedgerFull:
		return false
	}
	return true
}

// final reports whether a resend of the key would only get the same answer.
func final(c verdict.Code) bool {
	return c == verdict.CodeKeyConflict || c == verdict.CodeOutcomeLost
}

// bodyHash ties a key to the call it was first used for.
func bodyHash(c dispatch.Call) string {
	h := sha256.New()
	for _, part := range []string{c.Service, c.Method, c.Path, c.ContentType} {
		io.WriteString(h, part)
		h.Write([]byte{0})
	}
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// round makes one claim and acts on its outcome. A NotRun error means that the
// claim's attempt never runs.
func (r *runner) round(ctx context.Context, key string, c dispatch.Call, e *routing.Endpoint) (*Result, error) {
	// The attempt is named before the claim is sent: a gate that has forgotten
	// it can tell by its time of issue.
	c.Attempt = r.newAttempt()
	c.Claimed = true
	claim := wire.ClaimRequest{ClaimKey: wire.ClaimKey{Customer: c.Customer, Key: key}, BodyHash: bodyHash(c), Attempt: c.Attempt,
		Endpoint: e.Member.ID, Gate: e.Member.Gate, Incarnation: e.Member.Incarnation, RequestID: c.Request}
	reply, err := r.control.Claim(ctx, claim)
	if err != nil {
		// The claim may stand, but its attempt was never submitted and never
		// will be. Whoever finds the claim has the gate confirm that; since the
		// gate may be gone by then, it is released from here as well.
		if !errors.Is(err, peer.ErrNotTaken) {
			r.unrecorded(wire.SettleRequest{ClaimKey: claim.ClaimKey, Attempt: claim.Attempt, Outcome: wire.Outcome{Verdict: verdict.NotRun}})
		}
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "the key could not be claimed: %v", err)
	}
	r.record("key-"+timeline.Kind(reply.State), c, string(claim.Attempt))
	switch reply.State {
	case wire.ClaimGranted:
		return r.runClaimed(ctx, claim, c, e)
	case wire.ClaimSettled:
		return answerOf(*reply.Outcome, true)
	case wire.ClaimHeld:
		return r.settleHeld(ctx, *reply.Holder, c)
	case wire.ClaimFull:
		return nil, verdict.New(verdict.NotRun, verdict.CodeLedgerFull, "the ledger of idempotency keys is full").WithRetryAfter(fullComeBack)
	default:
		return nil, verdict.New(verdict.NotRun, verdict.CodeKeyConflict, "the idempotency key was used with another request")
	}
}

func (r *runner) runClaimed(ctx context.Context, claim wire.ClaimRequest, c dispatch.Call, e *routing.Endpoint) (*Result, error) {
	started := r.clock.Now()
	e.Begin()
	answer, err := r.gates.Do(ctx, e, c)
	outcome, err := readOutcome(answer, err)
	e.End(err == nil, r.clock.Since(started))
	if err != nil && verdict.Of(err) != verdict.NotRun {
		// Perhaps it still runs: ask the gate before giving up.
		return r.settleHeld(ctx, claim, c)
	}
	stands, recordErr := r.settle(claim, outcome)
	if err != nil {
		return nil, err // never runs, also when the release was not recorded
	}
	if recordErr != nil {
		return nil, recordErr
	}
	return answerOf(stands, false)
}

// readOutcome reads an answer to its end. It returns an error unless the
// answer was whole.
func readOutcome(a *dispatch.Answer, err error) (wire.Outcome, error) {
	if err != nil {
		return wire.Outcome{Verdict: verdict.Of(err)}, err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return wire.Outcome{Verdict: verdict.Of(err)}, err
	}
	if len(body) > maxOutcome {
		return wire.Outcome{Verdict: verdict.Ran}, nil
	}
	return wire.Outcome{Verdict: verdict.Ran, Status: a.Status, ContentType: a.ContentType, Body: body}, nil
}

// answerOf turns the recorded outcome into what the caller gets. An outcome
// that ran without a status has no answer.
func answerOf(o wire.Outcome, replayed bool) (*Result, error) {
	switch {
	case o.Verdict == verdict.MayHaveRun:
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeLost, "the call of this key may have run; its answer is lost and it is not run again")
	case o.Status == 0:
		return nil, verdict.New(verdict.Ran, verdict.CodeOutcomeLost, "the call ran; its answer was larger than the %d bytes that are kept", maxOutcome)
	}
	return &Result{Outcome: o, Replayed: replayed}, nil
}

// settle records an outcome, also when the caller has gone: it must not be
// lost while this process lives.
func (r *runner) settle(claim wire.ClaimRequest, o wire.Outcome) (wire.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	request := wire.SettleRequest{ClaimKey: claim.ClaimKey, Attempt: claim.Attempt, Outcome: o}
	reply, err := r.control.Settle(ctx, request)
	if err != nil {
		// The gate keeps the answer: a resend records it, if it is first.
		r.unrecorded(request)
		return o, verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "the outcome could not be recorded: %v", err)
	}
	return reply.Outcome, nil
}
