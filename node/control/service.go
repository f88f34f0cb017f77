// Package control implements the control role. It runs the replica, and serves configuration, leases and the
// idempotency ledger to the other processes.
package control

import (
	"context"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/connlimit"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk"
	"caperdrum.org/node/formation"
	"caperdrum.org/node/internal/boottime"
	"caperdrum.org/node/kernel"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/replica"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
)

// RPC methods of the control role.
const (
	MethodSync            = "control.sync"
	MethodRenew           = "control.renew"
	MethodClaim           = "control.claim"
	MethodSettle          = "control.settle"
	MethodUnsettledClaims = "control.held"
	MethodIdentity        = "control.identity"
	MethodRaft            = "control.raft"
)

// Params are the dependencies of Service.
type Params struct {
	dig.In
	Settings *settings.Settings
	Kernel   *kernel.Kernel
	Log      logr.Logger
	Ring     *timeline.Ring
	Dial     peer.Dialer
	// Directory provides the addresses of other control processes. If nil, New creates one from the settings.
	Directory *peer.Directory    `optional:"true"`
	Security  *security.Store    `optional:"true"`
	Limits    *connlimit.Service `optional:"true"`
}

// Service implements the control role of one process.
type Service struct {
	set         *settings.Settings
	kernel      *kernel.Kernel
	log         logr.Logger
	secure      *security.Store
	ring        *timeline.Ring
	transport   *transport
	server      *peer.Server
	leases      *leases
	follower    *follower
	notifier    *changeNotifier
	repair      *repair
	puts        pendingPuts
	rollouts    rolloutTracker
	replica     *replica.Replica
	assignments claimAssignments
	cluster     cluster // the replica, as synchronization and leases use it
	directory   *peer.Directory
	seeds       []string // candidates for the founder; nil if this process may not create a cluster
	clock       clockwork.Clock
	listen      func(address string) (net.Listener, error)

	cancel  context.CancelFunc
	stopped chan struct{}
}

// New opens the data folder and creates the service. Start runs it.
func New(p Params) (*Service, error) {
	s := &Service{set: p.Settings, kernel: p.Kernel, log: p.Log, secure: p.Security, ring: p.Ring, assignments: claimAssignments{assignedAt: map[wire.AttemptID]time.Time{}}, transport: newTransport(p.Dial, p.Log), server: peer.NewServer(), stopped: make(chan struct{})}
	fs, err := disk.OpenDir(p.Settings.Node.DataDir)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := fs.Lock(); err != nil {
		return nil, errors.Trace(err)
	}
	s.replica, err = replica.Open(replica.Options{
		Name: wire.MemberID(p.Settings.Node.Name), Address: p.Settings.Control.Advertise, FS: fs,
		Transport: s.transport, Log: p.Log, Seed: uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.cluster, s.clock = s.replica, boottime.System()
	s.listen = func(address string) (net.Listener, error) {
		return p.Limits.Listen(address, connlimit.Peers, s.secure.Encrypt(security.Peers))
	}
	s.directory = p.Directory
	if s.directory == nil {
		s.directory = peer.NewDirectory(p.Settings.Peers.Control)
	}
	if p.Settings.Control.SelfForming {
		s.seeds, err = loadSeeds(fs, p.Settings.Peers.FirstStart, s.directory.Configured())
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
	s.transport.self = s.replica.Self()
	s.leases = newLeases(s.cluster, s.clock, p.Settings.Control.Lease, p.Ring)
	s.follower = newFollower(s)
	s.notifier = newChangeNotifier(s.cluster)
	s.repair = newRepair(s)
	peer.Handle(s.server, MethodSync, s.sync)
	peer.Handle(s.server, MethodRenew, s.renew)
	peer.Handle(s.server, MethodClaim, s.claimKey)
	peer.Handle(s.server, MethodSettle, s.settleClaim)
	peer.Handle(s.server, MethodUnsettledClaims, s.assignUnsettled)
	peer.Handle(s.server, MethodIdentity, s.identity)
	peer.Handle(s.server, MethodRaft, s.receiveMessages)
	peer.Handle(s.server, peer.MethodCheckLeader, s.checkLeader)
	peer.Handle(s.server, MethodPut, s.putConfig)
	peer.Handle(s.server, MethodConfig, s.readConfig)
	peer.Handle(s.server, MethodAnnounce, s.announce)
	peer.Handle(s.server, MethodLeave, s.leave)
	peer.Handle(s.server, MethodOffer, s.acceptOffer)
	peer.Handle(s.server, MethodEvacuate, s.Evacuate)
	peer.Handle(s.server, MethodReportCrashes, s.reportCrashes)
	peer.Handle(s.server, MethodStartRollout, s.StartRollout)
	peer.Handle(s.server, MethodRollout, s.readRollout)
	peer.Handle(s.server, MethodVersions, s.readVersions)
	peer.Handle(s.server, MethodReportRollout, s.reportRollout)
	peer.Handle(s.server, formation.MethodHello, s.answerHello)
	peer.Handle(s.server, peer.MethodControlAddresses, s.controlAddresses)
	peer.Handle(s.server, peer.MethodAnnounceControl, peer.IgnoreControlAddresses)
	peer.Handle(s.server, peer.MethodPing, peer.Ping)
	return s, nil
}

// Replica returns this process's replica.
func (s *Service) Replica() *replica.Replica { return s.replica }

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	l, err := s.listen(s.set.Control.Listen)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	metricsSource.Store(s)
	go s.run(ctx)
	go s.server.Serve(l)
	go func() {
		<-ctx.Done()
		l.Close()
	}()
	go s.notifier.run(ctx)
	go s.leases.run(ctx)
	go s.follower.run(ctx)
	go s.repair.run(ctx)
	go newOwnerAssigner(s).run(ctx)
	go s.runRollouts(ctx)
	if s.set.Control.SelfForming {
		go s.runFormation(ctx)
		go s.runOffers(ctx)
		go s.runSeedNotifier(ctx)
	}
	return nil
}

// voterAddresses returns the peer addresses of the voters known to this process.
func (s *Service) voterAddresses() []string {
	var out []string
	for _, p := range s.cluster.Status().Membership.Voters {
		out = append(out, p.Address)
	}
	return out
}

// controlAddresses returns the addresses of the control processes.
func (s *Service) controlAddresses(context.Context, *Empty) (*peer.ControlAddresses, error) {
	return &peer.ControlAddresses{Control: s.voterAddresses()}, nil
}

func (s *Service) run(ctx context.Context) {
	defer close(s.stopped)
	if err := s.replica.Run(ctx); err != nil {
		s.kernel.Fail(errors.Annotate(err, "replica"))
	}
}

const transferTimeout = 500 * time.Millisecond

// Stop implements kernel.Stopper. A leader transfers leadership first, to avoid an election.
func (s *Service) Stop(ctx context.Context) error {
	if s.replica.IsLeader() {
		transferCtx, cancel := context.WithTimeout(ctx, transferTimeout)
		defer cancel()
		if s.replica.TransferLeadership(transferCtx) == nil {
			s.waitUntilFollower(transferCtx)
		}
	}
	s.cancel()
	<-s.stopped
	s.server.Close()
	s.transport.close()
	return nil
}

func (s *Service) waitUntilFollower(ctx context.Context) {
	for s.replica.IsLeader() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// MessageBatch is a batch of messages between two replicas.
type MessageBatch struct {
	From     consensus.Peer      `json:"from"`
	Messages []consensus.Message `json:"messages"`
}

// Empty is a request or reply without content.
type Empty = peer.Empty

func (s *Service) receiveMessages(_ context.Context, b *MessageBatch) (*Empty, error) {
	s.transport.setAddress(b.From)
	s.replica.Step(b.Messages)
	return &Empty{}, nil
}

// Identity is the replica of a control process, for a leader that may add it as a voter.
type Identity struct {
	Name string         `json:"name"`
	Peer consensus.Peer `json:"peer"`
}

func (s *Service) identity(context.Context, *Empty) (*Identity, error) {
	return &Identity{Name: s.set.Node.Name, Peer: s.replica.Self()}, nil
}

// notLeader returns an error that redirects the caller to the leader.
func (s *Service) notLeader() error {
	l := s.cluster.Leader()
	return &peer.ErrNotLeader{Leader: wire.MemberID(l.ID), Address: l.Address}
}

// checkLeader succeeds only if this process leads and a quorum has recently confirmed it.
func (s *Service) checkLeader(context.Context, *Empty) (*Empty, error) {
	if _, ok := confirmationOf(s.cluster); !ok || !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	return &Empty{}, nil
}

// leaderError replaces replica.ErrNotLeader by an error that contains the leader's address.
func (s *Service) leaderError(err error) error {
	if errors.Is(err, replica.ErrNotLeader) {
		return s.notLeader()
	}
	return err
}
