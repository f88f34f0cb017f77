// Package ledger is the entry's side of the idempotency ledger: a keyed call
// to a service that is not idempotent runs at most once, whichever entry a
// resend reaches, and every resend gets the recorded answer.
package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/dig"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/routing"
)

// Methods of the control role that this package calls.
const (
	MethodClaim  = "control.claim"
	MethodSettle = "control.settle"
)

// Params are what the service needs.
type Params struct {
	dig.In
	Log      logr.Logger
	Ring     *timeline.Ring
	Sync     *configsync.Service `name:"configsync"`
	Routing  *routing.Service    `name:"routing"`
	Dispatch *dispatch.Service   `name:"dispatch"`
}

// Service runs keyed calls.
type Service struct {
	p Params
}

// New returns the service.
func New(p Params) *Service { return &Service{p: p} }

const (
	maxRounds     = 8 // claims of one request, each after a NotRun
	comeBack      = time.Second
	recordTimeout = 5 * time.Second // an outcome is recorded even when the caller is gone
)

// Result is the outcome of a keyed call.
type Result struct {
	Outcome  wire.Outcome
	Replayed bool // the call ran for an earlier request
}

// Run claims the key, runs the call once and records its outcome before it
// returns. The error always has a verdict.
func (s *Service) Run(ctx context.Context, key string, c dispatch.Call, policy string) (*Result, error) {
	hash := bodyHash(c)
	tried := map[wire.MemberID]bool{}
	for range maxRounds {
		if !time.Now().Before(c.Deadline) {
			break
		}
		e := s.p.Routing.Choose(routing.Request{Service: c.Service, Policy: policy, Exclude: tried, Now: time.Now()})
		if e == nil {
			return nil, verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "no upstream of %s can take the call", c.Service).After(comeBack)
		}
		c.Attempt = wire.NewAttemptID()
		claim := wire.ClaimRequest{ClaimKey: wire.ClaimKey{Customer: c.Customer, Key: key}, BodyHash: hash, Attempt: c.Attempt,
			Endpoint: e.Member.ID, Gate: e.Member.Gate, Incarnation: e.Member.Incarnation, RequestID: c.Request}
		result, err := s.round(ctx, claim, c, e)
		if err == nil || verdict.Of(err) != verdict.NotRun || !s.again(err) {
			return result, err
		}
		if verdict.From(err).Code != verdict.CodeInProgress {
			tried[e.Member.ID] = true
		}
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeDeadline, "no upstream of %s took the call in time", c.Service).After(comeBack)
}

// again reports whether another round may help after a NotRun.
func (s *Service) again(err error) bool {
	switch verdict.From(err).Code {
	case verdict.CodeConflict, verdict.CodeNoQuorum:
		return false
	}
	return true
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
// key is free again.
func (s *Service) round(ctx context.Context, claim wire.ClaimRequest, c dispatch.Call, e *routing.Endpoint) (*Result, error) {
	var reply wire.ClaimReply
	if err := s.p.Sync.Control().CallLeader(ctx, MethodClaim, claim, &reply); err != nil {
		// The claim may stand, but its attempt was never submitted and never
		// will be: whoever finds the claim has the gate confirm that.
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "the key could not be claimed: %v", err).After(comeBack)
	}
	s.record("key-"+timeline.Kind(reply.State), c, string(claim.Attempt))
	switch reply.State {
	case wire.ClaimGranted:
		return s.runClaimed(ctx, claim, c, e)
	case wire.ClaimSettled:
		return replay(reply.Outcome)
	case wire.ClaimHeld:
		return s.settleHeld(ctx, *reply.Holder, c)
	default:
		return nil, verdict.New(verdict.NotRun, verdict.CodeConflict, "the idempotency key was used with another request")
	}
}

func replay(o *wire.Outcome) (*Result, error) {
	if o.Verdict == verdict.MayHaveRun {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstream, "the call of this key may have run; its answer is lost and it is not run again")
	}
	return &Result{Outcome: *o, Replayed: true}, nil
}

func (s *Service) runClaimed(ctx context.Context, claim wire.ClaimRequest, c dispatch.Call, e *routing.Endpoint) (*Result, error) {
	started := time.Now()
	e.Begin()
	answer, err := s.p.Dispatch.Do(ctx, e, c)
	outcome, err := readOutcome(answer, err)
	e.End(err == nil, time.Since(started))
	if err != nil && verdict.Of(err) != verdict.NotRun {
		// Perhaps it still runs: ask the gate before giving up.
		return s.settleHeld(ctx, claim, c)
	}
	stands, recordErr := s.settle(claim, outcome)
	if recordErr != nil {
		return nil, recordErr
	}
	if err != nil {
		return nil, err
	}
	if stands.Verdict == verdict.MayHaveRun {
		return replay(&stands)
	}
	return &Result{Outcome: stands}, nil
}

func readOutcome(a *dispatch.Answer, err error) (wire.Outcome, error) {
	if err != nil {
		return wire.Outcome{Verdict: verdict.Of(err)}, err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return wire.Outcome{Verdict: verdict.Of(err)}, err
	}
	return wire.Outcome{Verdict: verdict.Ran, Status: a.Status, ContentType: a.ContentType, Body: body}, nil
}

// settle records an outcome, also when the caller has gone: it must not be
// lost while this process lives.
func (s *Service) settle(claim wire.ClaimRequest, o wire.Outcome) (wire.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	var reply wire.SettleReply
	err := s.p.Sync.Control().CallLeader(ctx, MethodSettle, wire.SettleRequest{ClaimKey: claim.ClaimKey, Attempt: claim.Attempt, Outcome: o}, &reply)
	if err != nil {
		if o.Verdict == verdict.NotRun {
			return o, verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "the key's release could not be recorded: %v", err).After(comeBack)
		}
		// The gate keeps the answer; a resend records it.
		return o, verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "the outcome could not be recorded: %v", err).After(comeBack)
	}
	return reply.Outcome, nil
}

// settleHeld finds out from the gate what became of the attempt that holds
// the key, and records it.
func (s *Service) settleHeld(ctx context.Context, holder wire.ClaimRequest, c dispatch.Call) (*Result, error) {
	c.Attempt = holder.Attempt
	e := &routing.Endpoint{Member: wire.Member{ID: holder.Endpoint, Gate: holder.Gate, Incarnation: holder.Incarnation}}
	st, err := s.p.Dispatch.Cancel(e, holder.Attempt, false)
	if err != nil {
		if s.gateGone(holder) {
			return s.settleUnknown(holder)
		}
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeInProgress, "the gate that holds the call is not reached").After(comeBack)
	}
	switch {
	case st.Incarnation != holder.Incarnation:
		return s.settleUnknown(holder)
	case st.State == wire.AttemptTombstoned:
		if _, err := s.settle(holder, wire.Outcome{Verdict: verdict.NotRun}); err != nil {
			return nil, err
		}
		return nil, verdict.New(verdict.NotRun, verdict.CodeInProgress, "an earlier attempt was cancelled before it ran")
	}
	answer, err := s.p.Dispatch.Attach(ctx, e, c, 0)
	outcome, err := readOutcome(answer, err)
	if err != nil {
		return s.failedAttach(ctx, holder, err)
	}
	stands, err := s.settle(holder, outcome)
	if err != nil {
		return nil, err
	}
	return &Result{Outcome: stands, Replayed: holder.RequestID != c.Request}, nil
}

// failedAttach handles an attempt that ran but left no whole answer.
func (s *Service) failedAttach(ctx context.Context, holder wire.ClaimRequest, cause error) (*Result, error) {
	v := verdict.From(cause)
	if ctx.Err() != nil || v.Code == verdict.CodeInProgress {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTimeout, "the call is still under way; ask again with the same key").After(comeBack)
	}
	if v.Verdict == verdict.NotRun {
		if _, err := s.settle(holder, wire.Outcome{Verdict: verdict.NotRun}); err != nil {
			return nil, err
		}
		return nil, cause
	}
	return s.settleUnknown(holder)
}

// gateGone reports whether the incarnation that held the call has left the
// members: its lease has ended or it was started again.
func (s *Service) gateGone(holder wire.ClaimRequest) bool {
	v := s.p.Sync.View()
	if v == nil {
		return false
	}
	m, ok := v.Members[holder.Endpoint]
	return !ok || m.Incarnation > holder.Incarnation
}

func (s *Service) settleUnknown(holder wire.ClaimRequest) (*Result, error) {
	stands, err := s.settle(holder, wire.Outcome{Verdict: verdict.MayHaveRun})
	if err != nil {
		return nil, err
	}
	return replay(&stands)
}

func (s *Service) record(kind timeline.Kind, c dispatch.Call, detail string) {
	s.p.Ring.Record(timeline.Event{Kind: kind, Request: string(c.Request), Customer: c.Customer, Detail: detail})
}
