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
	s.leases.renew(req.Renewals)
	reply, ok := stampOf(s.cluster)
	if !ok {
		return nil, s.notLeader()
	}
	return reply, nil
}

// stampOf reads the stamp before the index, so that the index is no older than
// the stamp.
func stampOf(c cluster) (*RenewReply, bool) {
	age := c.StampAge()
	index := c.Status().Committed
	return &RenewReply{Index: index, Age: age}, age >= 0 && age <= stampLimit
}

const (
	followInterval = 500 * time.Millisecond
	followGap      = 50 * time.Millisecond // between two calls to the leader
	toldSlack      = 64
	followTimeout  = 2 * followInterval
	stampLimit     = 4 * followInterval // age of a leader's stamp that is not passed on
	renewalLimit   = 4 * followInterval // age of a renewal that is not passed on: its sender may be dead
)

// follower keeps a control process that does not lead useful: it passes
// renewals on to the leader and takes over the leader's stamp.
type follower struct {
	cluster cluster
	clock   clockwork.Clock
	leases  *leases
	call    func(ctx context.Context, address string, req RenewRequest) (*RenewReply, error)
	failed  func(error)
	wake    chan struct{}

	mu      sync.Mutex
	pending map[wire.MemberID]queued
	told    map[wire.MemberID]uint64 // versions that members reported here
	lastOK  time.Time
}

type queued struct {
	Renewal
	at time.Time
}

func newFollower(s *Service) *follower {
	var client *peer.Client
	return &follower{cluster: s.cluster, clock: s.clock, leases: s.leases, wake: make(chan struct{}, 1), pending: map[wire.MemberID]queued{}, told: map[wire.MemberID]uint64{},
		failed: func(err error) { s.log.V(logging.Detail).Info("leader not reached", "error", err.Error()) },
		call: func(ctx context.Context, address string, req RenewRequest) (*RenewReply, error) {
			if client == nil || client.Address() != address {
				if client != nil {
					client.Close()
				}
				client = peer.NewClient(address, s.links.dial)
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
	if urgent || !ok || r.Member.ChangedSince(known) || f.told[r.Member.ID] != r.ConfigVersion {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
	if len(f.told) > 2*len(members)+toldSlack {
		clear(f.told) // most of them are gone
	}
	f.told[r.Member.ID] = r.ConfigVersion
	f.queue(queued{r, f.clock.Now()})
	return f.clock.Since(f.lastOK) < followTimeout
}

// queue keeps the latest record of each member. Messages may overtake each
// other.
func (f *follower) queue(r queued) {
	if old, ok := f.pending[r.Member.ID]; !ok || !old.Member.NewerThan(r.Member) {
		f.pending[r.Member.ID] = r
	}
}

func (f *follower) run(ctx context.Context) {
	ticker := f.clock.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-f.wake:
		case <-f.unconfirmed():
		}
		if err := f.step(ctx); err != nil {
			f.failed(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-f.clock.After(followGap):
		}
	}
}

// unconfirmed returns when the leader is to be asked while no confirmation is known that makes a first view:
// processes that have just started wait for it. Otherwise it returns nil.
func (f *follower) unconfirmed() <-chan time.Time {
	if usable(f.cluster.StampAge()) {
		return nil
	}
	return f.clock.After(followGap)
}

func (f *follower) step(ctx context.Context) error {
	if f.cluster.IsLeader() {
		f.leases.renew(renewals(f.take()))
		return nil
	}
	return f.forward(ctx)
}

func (f *follower) take() []queued {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]queued, 0, len(f.pending))
	for _, r := range f.pending {
		if f.clock.Since(r.at) <= renewalLimit {
			out = append(out, r)
		}
	}
	clear(f.pending)
	return out
}

func renewals(rs []queued) []Renewal {
	out := make([]Renewal, len(rs))
	for i, r := range rs {
		out[i] = r.Renewal
	}
	return out
}

// putBack queues what could not be passed on.
func (f *follower) putBack(rs []queued) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range rs {
		if _, newer := f.pending[r.Member.ID]; !newer {
			f.queue(r)
		}
	}
}

func (f *follower) forward(ctx context.Context) error {
	leader := f.cluster.Leader()
	if leader.Address == "" {
		return errors.New("no leader known")
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	asked := f.clock.Now()
	taken := f.take()
	reply, err := f.call(ctx, leader.Address, RenewRequest{Renewals: renewals(taken)})
	if err != nil {
		f.putBack(taken)
		return err
	}
	f.mu.Lock()
	f.lastOK = f.clock.Now()
	f.mu.Unlock()
	if err := f.cluster.WaitApplied(ctx, reply.Index); err != nil {
		return err
	}
	f.cluster.SetStamp(asked.Add(-reply.Age))
	return nil
}
