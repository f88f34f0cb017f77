// Package ledger implements the entry's side of the idempotency ledger: a keyed call to a service that is not
// idempotent runs at most once, whichever entry a resend reaches, and every resend gets the recorded answer.
package ledger

import (
	"context"

	"github.com/jonboulle/clockwork"
	"go.uber.org/dig"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/routing"
)

// Control methods that this package calls.
const (
	MethodClaim           = "control.claim"
	MethodSettle          = "control.settle"
	MethodUnsettledClaims = "control.held"
)

// Params holds the dependencies of the service.
type Params struct {
	dig.In
	Ring     *timeline.Ring
	Sync     *configsync.Service `name:"configsync"`
	Routing  *routing.Service    `name:"routing"`
	Dispatch *dispatch.Service   `name:"dispatch"`
}

// Service runs keyed calls and settles their claims.
type Service struct {
	runner
	ring        *timeline.Ring
	sync        *configsync.Service
	settleQueue *settleQueue

	cancel context.CancelFunc
}

// New returns the service.
func New(p Params) *Service {
	s := &Service{ring: p.Ring, sync: p.Sync}
	s.runner = runner{
		control:    leaderClient{p.Sync.LeaderClient()},
		gates:      p.Dispatch,
		chooser:    p.Routing,
		clock:      clockwork.NewRealClock(),
		newAttempt: wire.NewAttemptID,
		member:     s.member,
		record:     s.record,
	}
	s.settleQueue = newSettleQueue(s.control, s.clock)
	s.settleLater = s.settleQueue.add
	return s
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.settleQueue.run(ctx)
	go s.sweep(ctx)
	return nil
}

// Stop implements kernel.Stopper. Outcomes that are not recorded by then are left to resends.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// leaderClient implements control by calls to the leader over the peer links.
type leaderClient struct{ control *peer.LeaderClient }

func (l leaderClient) Claim(ctx context.Context, r wire.ClaimRequest) (wire.ClaimReply, error) {
	var reply wire.ClaimReply
	err := l.control.CallLeader(ctx, MethodClaim, r, &reply)
	return reply, err
}

func (l leaderClient) Settle(ctx context.Context, r wire.SettleRequest) (wire.SettleReply, error) {
	var reply wire.SettleReply
	err := l.control.CallLeader(ctx, MethodSettle, r, &reply)
	return reply, err
}

func (s *Service) member(id wire.MemberID) (wire.Member, bool) {
	v := s.sync.View()
	if v == nil {
		return wire.Member{}, false
	}
	return v.Members.Get(id)
}

func (s *Service) record(kind timeline.Kind, c dispatch.Call, detail string) {
	s.ring.Record(timeline.Event{Kind: kind, Request: string(c.Request), Customer: c.Customer, Detail: detail})
}
