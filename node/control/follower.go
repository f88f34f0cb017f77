package control

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/peer"
)

// RenewRequest passes members' signs of life from a follower to the leader.
type RenewRequest struct {
	Renewals []Renewal `json:"renewals"`
}

// RenewReply is the leader's stamp: what is committed up to Index was all that
// had been accepted Age ago.
type RenewReply struct {
	Index uint64        `json:"index"`
	Age   time.Duration `json:"age"`
}

func (s *Service) renew(_ context.Context, req *RenewRequest) (*RenewReply, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	s.leases.record(req.Renewals)
	reply, ok := confirmationOf(s.cluster)
	if !ok {
		return nil, s.notLeader()
	}
	return reply, nil
}

// stampOf reads the stamp before the index, so that the index is no older than
// the stamp.
func confirmationOf(c cluster) (*RenewReply, bool) {
	age := c.StampAge()
	index := c.Status().Committed
	return &RenewReply{Index: index, Age: age}, age >= 0 && age <= maxConfirmationAge
}

const (
	forwardInterval    = 500 * time.Millisecond
	minForwardGap      = 50 * time.Millisecond // between two calls to the leader
	reportedSlack      = 64
	forwardTimeout     = 2 * forwardInterval
	maxConfirmationAge = 4 * forwardInterval // age of a leader's stamp that is not passed on
	maxRenewalAge      = 4 * forwardInterval // age of a renewal that is not passed on: its sender may be dead
)

// follower keeps a control process that does not lead useful: it passes
// renewals on to the leader and takes over the leader's stamp.
type follower struct {
	cluster cluster
	clock   clockwork.Clock
	leases  *leases
	call    func(ctx context.Context, address string, req RenewRequest) (*RenewReply, error)
	onError func(error)
	wake    chan struct{}

	mu          sync.Mutex
	pending     map[wire.MemberID]queuedRenewal
	reported    map[wire.MemberID]uint64 // versions that members reported here
	lastReached time.Time
}

type queuedRenewal struct {
	Renewal
	at time.Time
}

func newFollower(s *Service) *follower {
	var client *peer.Client
	return &follower{cluster: s.cluster, clock: s.clock, leases: s.leases, wake: make(chan struct{}, 1), pending: map[wire.MemberID]queuedRenewal{}, reported: map[wire.MemberID]uint64{},
		onError: func(err error) { s.log.V(logging.Detail).Info("leader not reached", "error", err.Error()) },
		call: func(ctx context.Context, address string, req RenewRequest) (*RenewReply, error) {
			if client == nil || client.Address() != address {
				if client != nil {
					client.Close()
				}
				client = peer.NewClient(address, s.transport.dial)
			}
			var reply RenewReply
			return &reply, client.Call(ctx, MethodRenew, req, &reply)
		}}
}

// add queues a renewal and reports whether the leader was reached lately. An
// urgent one, one that the members do not hold yet, and one with a new version
// are passed on at once.
func (f *follower) add(r Renewal, urgent bool) bool {
	members := f.cluster.View().Members
	known, ok := members[r.Member.ID]
	f.mu.Lock()
	defer f.mu.Unlock()
	if urgent || !ok || r.Member.Changes(known) || f.reported[r.Member.ID] != r.ConfigVersion {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
	if len(f.reported) > 2*len(members)+reportedSlack {
		clear(f.reported) // most of them are gone
	}
	f.reported[r.Member.ID] = r.ConfigVersion
	f.queue(queuedRenewal{r, f.clock.Now()})
	return f.clock.Since(f.lastReached) < forwardTimeout
}

// queue keeps the latest record of each member. Messages may overtake each
// other.
func (f *follower) queue(r queuedRenewal) {
	if old, ok := f.pending[r.Member.ID]; !ok || !old.Member.Follows(r.Member) {
		f.pending[r.Member.ID] = r
	}
}

func (f *follower) run(ctx context.Context) {
	ticker := f.clock.NewTicker(forwardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-f.wake:
		case <-f.retryWhileUnconfirmed():
		}
		if err := f.step(ctx); err != nil {
			f.onError(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-f.clock.After(minForwardGap):
		}
	}
}

// unconfirmed returns when the leader is to be asked while no confirmation is known that makes a first view:
// processes that have just started wait for it. Otherwise it returns nil.
func (f *follower) retryWhileUnconfirmed() <-chan time.Time {
	if confirmsInitialView(f.cluster.StampAge()) {
		return nil
	}
	return f.clock.After(minForwardGap)
}

func (f *follower) step(ctx context.Context) error {
	if f.cluster.IsLeader() {
		f.leases.record(renewalsOf(f.take()))
		return nil
	}
	return f.forwardRenewals(ctx)
}

func (f *follower) take() []queuedRenewal {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]queuedRenewal, 0, len(f.pending))
	for _, r := range f.pending {
		if f.clock.Since(r.at) <= maxRenewalAge {
			out = append(out, r)
		}
	}
	clear(f.pending)
	return out
}

func renewalsOf(rs []queuedRenewal) []Renewal {
	out := make([]Renewal, len(rs))
	for i, r := range rs {
		out[i] = r.Renewal
	}
	return out
}

// putBack queues what could not be passed on.
func (f *follower) requeue(rs []queuedRenewal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range rs {
		if _, newer := f.pending[r.Member.ID]; !newer {
			f.queue(r)
		}
	}
}

func (f *follower) forwardRenewals(ctx context.Context) error {
	leader := f.cluster.Leader()
	if leader.Address == "" {
		return errors.New("no leader known")
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	asked := f.clock.Now()
	taken := f.take()
	reply, err := f.call(ctx, leader.Address, RenewRequest{Renewals: renewalsOf(taken)})
	if err != nil {
		f.requeue(taken)
		return err
	}
	f.mu.Lock()
	f.lastReached = f.clock.Now()
	f.mu.Unlock()
	if err := f.cluster.WaitApplied(ctx, reply.Index); err != nil {
		return err
	}
	f.cluster.SetStamp(asked.Add(-reply.Age))
	return nil
}
