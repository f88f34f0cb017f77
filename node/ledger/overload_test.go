package ledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/routing"
)

// fullGates simulates four gates that refuse for lack of capacity, and a ledger that counts claims and
// releases.
type fullGates struct {
	gates
	claims, settles int
}

func (f *fullGates) Claim(context.Context, wire.ClaimRequest) (wire.ClaimReply, error) {
	f.claims++
	return wire.ClaimReply{State: wire.ClaimGranted}, nil
}

func (f *fullGates) Settle(_ context.Context, r wire.SettleRequest) (wire.SettleReply, error) {
	f.settles++
	return wire.SettleReply{Outcome: r.Outcome}, nil
}

func (f *fullGates) Do(context.Context, *routing.Endpoint, dispatch.Call) (*dispatch.Response, error) {
	return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the queue is full").WithRetryAfter(time.Second)
}

func (f *fullGates) Choose(r routing.Request) *routing.Endpoint {
	for i := range 4 {
		if id := wire.MemberID(fmt.Sprint("desk-", i)); !r.Exclude[id] {
			return &routing.Endpoint{Member: wire.Member{ID: id}}
		}
	}
	return nil
}

// TestFullGatesCostFewClaims: while all gates are full, a call costs at most two claims and two releases, and
// the error says that capacity is lacking.
func TestFullGatesCostFewClaims(t *testing.T) {
	f := &fullGates{}
	clock := clockwork.NewFakeClock()
	r := &runner{control: f, gates: f, chooser: f, clock: clock, newAttempt: wire.NewAttemptID, record: func(timeline.Kind, dispatch.Call, string) {}}
	_, err := r.Run(t.Context(), "k", dispatch.Call{Customer: "c", Service: "desk", Deadline: clock.Now().Add(time.Second)}, "")
	v := verdict.From(err)
	if !verdict.LacksCapacity(err) || v.Code != verdict.CodeOverloaded || v.RetryAfter <= 0 {
		t.Errorf("refused with %+v", v)
	}
	if f.claims > 2 || f.settles != f.claims {
		t.Errorf("%d claims and %d releases", f.claims, f.settles)
	}
}
