package control

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/peer"
)

// RenewRequest passes members' signs of life from a follower to the leader.
type RenewRequest struct {
	Renewals []Renewal `json:"renewals"`
}

// RenewReply is the leader's stamp: the log index that was committed when a
// quorum confirmed the leader, Age ago.
type RenewReply struct {
	Index uint64        `json:"index"`
	Age   time.Duration `json:"age"`
}

func (s *Service) renew(ctx context.Context, req *RenewRequest) (*RenewReply, error) {
	if !s.replica.IsLeader() {
		return nil, s.notLeader()
	}
	s.leases.renew(req.Renewals)
	status := s.replica.Status()
	age := s.replica.StampAge()
	if age < 0 || age > followInterval*4 {
		return nil, s.notLeader()
	}
	return &RenewReply{Index: status.Committed, Age: age}, nil
}

// follower keeps a control process that does not lead useful: it passes
// renewals on to the leader and takes over the leader's stamp.
type follower struct {
	s *Service

	mu      sync.Mutex
	pending map[wire.MemberID]Renewal
	lastOK  time.Time
	client  *peer.Client
}

const followInterval = 500 * time.Millisecond

func newFollower(s *Service) *follower {
	return &follower{s: s, pending: map[wire.MemberID]Renewal{}}
}

// add queues a renewal and reports whether the leader was reached lately.
func (f *follower) add(r Renewal) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending[r.Member.ID] = r
	return time.Since(f.lastOK) < 2*followInterval
}

func (f *follower) run(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if f.s.replica.IsLeader() {
			f.s.leases.renew(f.take())
			continue
		}
		if err := f.forward(ctx); err != nil {
			f.s.log.V(1).Info("leader not reached", "error", err.Error())
		}
	}
}

func (f *follower) take() []Renewal {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Renewal, 0, len(f.pending))
	for _, r := range f.pending {
		out = append(out, r)
	}
	f.pending = map[wire.MemberID]Renewal{}
	return out
}

func (f *follower) forward(ctx context.Context) error {
	leader := f.s.replica.Leader()
	if leader.Address == "" {
		return errors.New("no leader known")
	}
	if f.client == nil || f.client.Address() != leader.Address {
		f.client = peer.NewClient(leader.Address, f.s.links.dial)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*followInterval)
	defer cancel()
	asked := time.Now()
	var reply RenewReply
	if err := f.client.Call(ctx, MethodRenew, RenewRequest{Renewals: f.take()}, &reply); err != nil {
		return err
	}
	if err := f.s.replica.WaitApplied(ctx, reply.Index); err != nil {
		return err
	}
	f.s.replica.SetStamp(asked.Add(-reply.Age))
	f.mu.Lock()
	f.lastOK = time.Now()
	f.mu.Unlock()
	return nil
}
