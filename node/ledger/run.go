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
	maxKeyBytes          = 255 // bytes of an idempotency key
	maxRounds            = 8   // claims per request; each one after the first follows a NotRun
	defaultRetryAfter    = time.Second
	ledgerFullRetryAfter = 30 * time.Second // a full ledger gets room only as entries expire
	recordTimeout        = 5 * time.Second  // an outcome is recorded even if the caller has gone
	// maxAnswerBytes is the largest answer that the ledger stores. A larger one is not returned to the caller
	// either, because a resend could not get it.
	maxAnswerBytes = 512 << 10
)

// Result is the result of a keyed call.
type Result struct {
	Outcome  wire.Outcome
	Replayed bool // the call ran for an earlier request
}

// runner executes keyed calls; its dependencies are interfaces and functions.
type runner struct {
	control     control
	gates       gates
	chooser     chooser
	clock       clockwork.Clock
	newAttempt  func() wire.AttemptID
	member      func(wire.MemberID) (wire.Member, bool)
	settleLater func(wire.SettleRequest) // queues a settlement that could not be recorded
	record      func(kind timeline.Kind, c dispatch.Call, detail string)
}

// Run claims the key, runs the call at most once and records the outcome before it returns. Errors always
// carry a verdict, and RetryAfter unless a resend is pointless.
func (r *runner) Run(ctx context.Context, key string, c dispatch.Call, policy string) (*Result, error) {
	if len(key) > maxKeyBytes || !utf8.ValidString(key) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "header %s must be UTF-8 of at most %d bytes", wire.HeaderIdempotencyKey, maxKeyBytes)
	}
	res, err := r.runRounds(ctx, key, c, policy)
	if err == nil {
		return res, nil
	}
	out := *verdict.From(err)
	if out.RetryAfter == 0 && !isFinal(out.Code) {
		out.RetryAfter = defaultRetryAfter
	}
	return nil, &out
}

func (r *runner) runRounds(ctx context.Context, key string, c dispatch.Call, policy string) (*Result, error) {
	tried := map[wire.MemberID]bool{}
	var refused error // last refusal for lack of capacity
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
		result, err := r.claimAndRun(ctx, key, c, e)
		if err == nil || !shouldRetry(err) {
			return result, err
		}
		if verdict.From(err).Code != verdict.CodeKeyInProgress {
			tried[e.Member.ID] = true
		}
		if verdict.LacksCapacity(err) && refused != nil {
			return nil, err // each gate costs a claim and a release, so only the two best are asked
		}
		if verdict.LacksCapacity(err) {
			refused = err
		}
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "no upstream of %s took the call in time", c.Service)
}

// shouldRetry reports whether another attempt is safe and may succeed.
func shouldRetry(err error) bool {
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

// isFinal reports whether a resend of the key would only get the same answer.
func isFinal(c verdict.Code) bool {
	return c == verdict.CodeKeyConflict || c == verdict.CodeOutcomeLost
}

// bodyHash identifies the call that a key was first used for.
func bodyHash(c dispatch.Call) string {
	h := sha256.New()
	for _, part := range []string{c.Service, c.Method, c.Path, c.ContentType} {
		io.WriteString(h, part)
		h.Write([]byte{0})
	}
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// claimAndRun claims the key once and acts on the reply. A NotRun error means that the claim's attempt will
// never run.
func (r *runner) claimAndRun(ctx context.Context, key string, c dispatch.Call, e *routing.Endpoint) (*Result, error) {
	// The attempt gets its ID before the claim is sent: a gate that has forgotten the attempt recognizes that
	// by the issue time in the ID.
	c.Attempt = r.newAttempt()
	c.Claimed = true
	claim := wire.ClaimRequest{ClaimKey: wire.ClaimKey{Customer: c.Customer, Key: key}, BodyHash: bodyHash(c), Attempt: c.Attempt,
		Endpoint: e.Member.ID, Gate: e.Member.Gate, Incarnation: e.Member.Incarnation, RequestID: c.Request}
	reply, err := r.control.Claim(ctx, claim)
	if err != nil {
		// The claim may have taken effect, but its attempt was not submitted and never will be. Whoever finds
		// the claim can have the gate confirm that; since the gate may be gone by then, the claim is released
		// from here as well.
		if !errors.Is(err, peer.ErrNotAccepted) {
			r.settleLater(wire.SettleRequest{ClaimKey: claim.ClaimKey, Attempt: claim.Attempt, Outcome: wire.Outcome{Verdict: verdict.NotRun}})
		}
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "the key could not be claimed: %v", err)
	}
	r.record("key-"+timeline.Kind(reply.State), c, string(claim.Attempt))
	switch reply.State {
	case wire.ClaimGranted:
		return r.runClaimed(ctx, claim, c, e)
	case wire.ClaimSettled:
		return resultOf(*reply.Outcome, true)
	case wire.ClaimHeld:
		return r.resolveHeldKey(ctx, *reply.Holder, c)
	case wire.ClaimFull:
		return nil, verdict.New(verdict.NotRun, verdict.CodeLedgerFull, "the ledger of idempotency keys is full").WithRetryAfter(ledgerFullRetryAfter)
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
		// The attempt may still be running: ask the gate before giving up.
		return r.resolveHeldKey(ctx, claim, c)
	}
	recorded, recordErr := r.settle(claim, outcome)
	if err != nil {
		return nil, err // the attempt never runs, even if the release was not recorded
	}
	if recordErr != nil {
		return nil, recordErr
	}
	return resultOf(recorded, false)
}

// readOutcome reads the complete answer. It returns an error if the answer is incomplete.
func readOutcome(a *dispatch.Response, err error) (wire.Outcome, error) {
	if err != nil {
		return wire.Outcome{Verdict: verdict.Of(err)}, err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return wire.Outcome{Verdict: verdict.Of(err)}, err
	}
	if len(body) > maxAnswerBytes {
		return wire.Outcome{Verdict: verdict.Ran}, nil
	}
	return wire.Outcome{Verdict: verdict.Ran, Status: a.Status, ContentType: a.ContentType, Body: body}, nil
}

// resultOf converts the recorded outcome to what the caller gets. A call that ran but has no status has no
// stored answer.
func resultOf(o wire.Outcome, replayed bool) (*Result, error) {
	switch {
	case o.Verdict == verdict.MayHaveRun:
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeLost, "the call of this key may have run; its answer is lost and it is not run again")
	case o.Status == 0:
		return nil, verdict.New(verdict.Ran, verdict.CodeOutcomeLost, "the call ran; its answer was larger than the %d bytes that are kept", maxAnswerBytes)
	}
	return &Result{Outcome: o, Replayed: replayed}, nil
}

// settle records an outcome even if the caller has gone: it must not be lost while this process is running.
func (r *runner) settle(claim wire.ClaimRequest, o wire.Outcome) (wire.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	request := wire.SettleRequest{ClaimKey: claim.ClaimKey, Attempt: claim.Attempt, Outcome: o}
	reply, err := r.control.Settle(ctx, request)
	if err != nil {
		// The gate keeps the answer, so that a resend may record it first.
		r.settleLater(request)
		return o, verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "the outcome could not be recorded: %v", err)
	}
	return reply.Outcome, nil
}
