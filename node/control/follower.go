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

// RenewRequest carries members' lease renewals from a follower to the leader.
type RenewRequest struct {
	Renewals []Renewal `json:"renewals"`
}

// RenewReply is the leader's confirmation: Age ago, a quorum confirmed that nothing beyond Index was
// committed.
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

// confirmationOf reads the confirmation's age before the commit index, so that the index is at least as new
// as the confirmation. It returns false if the confirmation is missing or too old.
func confirmationOf(c cluster) (*RenewReply, bool) {
	age := c.StampAge()
	index := c.Status().Committed
	return &RenewReply{Index: index, Age: age}, age >= 0 && age <= maxConfirmationAge
}

const (
	forwardInterval    = 500 * time.Millisecond
	minForwardGap      = 50 * time.Millisecond // pause between two calls to the leader
	reportedSlack      = 64
	forwardTimeout     = 2 * forwardInterval
	maxConfirmationAge = 4 * forwardInterval // above this age, a leader's confirmation is not passed on
	maxRenewalAge      = 4 * forwardInterval // above this age, a renewal is dropped: its sender may be dead
)

// follower lets a control process that is not the leader serve members: it forwards their lease renewals to
// the leader and adopts the leader's quorum confirmation.
type follower struct {
	cluster cluster
	clock   clockwork.Clock
	leases  *leases
	call    func(ctx context.Context, address string, req RenewRequest) (*RenewReply, error)
	onError func(error)
	wake    chan struct{}

	mu          sync.Mutex
	pending     map[wire.MemberID]queuedRenewal
	reported    map[wire.MemberID]uint64 // configuration versions that members reported to this process
	lastReached time.Time
}

type queuedRenewal struct {
	Renewal
	at time.Time
}

func newFollower(s *Service) *follower {
	var client *peer.Client
	return &follower{cluster: s.cluster, clock: s.clock, leases: s.leases, wake: make(chan struct{}, 1), pending: map[wire.MemberID]queuedRenewal{}, reported: map[wire.MemberID]uint64{},
		onError: func(err error) { s.log.V(logging.Detail).Info("leader unreachable", "error", err.Error()) },
		call: func(ctx context.Context, address string, req RenewRequest) (*RenewReply, error) {
			if client == nil || client.Address() != address {
				if client != nil {
					client.Close()
				}
				client = peer.NewClient(address, s.transport.dial)
			}
			var reply RenewReply
			return &reply, client.CallIdempotent(ctx, MethodRenew, req, &reply)
		}}
}

// add queues a renewal and reports whether the leader was reached recently. The renewal is forwarded
// immediately if it is urgent, its member is not in the member list in this form, or its configuration
// version is new.
func (f *follower) add(r Renewal, urgent bool) bool {
	members := f.cluster.View().Members
	known, ok := members[r.Member.ID]
	f.mu.Lock()
	defer f.mu.Unlock()
	if urgent || !ok || r.Member.ChangedSince(known) || f.reported[r.Member.ID] != r.ConfigVersion {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
	if len(f.reported) > 2*len(members)+reportedSlack {
		clear(f.reported) // most entries belong to members that have left
	}
	f.reported[r.Member.ID] = r.ConfigVersion
	f.queue(queuedRenewal{r, f.clock.Now()})
	return f.clock.Since(f.lastReached) < forwardTimeout
}

// queue keeps the latest record of each member, since messages may be reordered.
func (f *follower) queue(r queuedRenewal) {
	if old, ok := f.pending[r.Member.ID]; !ok || !old.Member.NewerThan(r.Member) {
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

// retryWhileUnconfirmed returns a timer channel while no confirmation is recent enough for an initial view,
// since processes that have just started wait for it. Otherwise it returns nil.
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

func renewalsOf(queued []queuedRenewal) []Renewal {
	out := make([]Renewal, len(queued))
	for i, r := range queued {
		out[i] = r.Renewal
	}
	return out
}

// requeue queues renewals again that could not be forwarded.
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
		return errors.New("no known leader")
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
