// Package discovery lets a process find the control processes through seeds. It tells other processes where
// the control processes are, and queries the seeds when this process has lost contact with a quorum.
package discovery

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/node/configsync"
	"caperdrum.org/node/connlimit"
	"caperdrum.org/node/formation"
	"caperdrum.org/node/internal/periodic"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
)

const (
	// staleAfter is the age of the last confirmation by a quorum above which the seeds are queried. It is
	// twice the time that synchronization normally takes.
	staleAfter    = 2500 * time.Millisecond
	queryInterval = 500 * time.Millisecond
	queryTimeout  = 400 * time.Millisecond
)

// Params are the dependencies of the service.
type Params struct {
	dig.In
	Settings   *settings.Settings
	Log        logr.Logger
	Dial       peer.Dialer
	Directory  *peer.Directory
	Security   *security.Store     `optional:"true"`
	Limits     *connlimit.Service  `optional:"true"`
	ConfigSync *configsync.Service `name:"configsync"`
}

// Service queries the addresses of control processes, and answers such queries.
type Service struct {
	p       Params
	server  *peer.Server // nil if the control role runs one
	mu      sync.Mutex   // guards namer
	elector formation.Elector
	listen  net.Listener
	cancel  context.CancelFunc
}

// New returns the service. A process without the control role gets its own peer server.
func New(p Params) *Service {
	s := &Service{p: p, elector: formation.Elector{FirstStart: p.Settings.Peers.FirstStart}}
	if !p.Settings.HasRole(settings.Control) {
		s.server = peer.NewServer()
		peer.Handle(s.server, peer.MethodControlAddresses, s.handleWhere)
		peer.Handle(s.server, peer.MethodAnnounceControl, s.handleTell)
		peer.Handle(s.server, peer.MethodPing, peer.Ping)
		peer.Handle(s.server, formation.MethodHello, s.handleHello)
	}
	return s
}

// Server returns the peer server of this process; nil if the control role runs one.
func (s *Service) Server() *peer.Server { return s.server }

func (s *Service) handleWhere(context.Context, *peer.Empty) (*peer.ControlAddresses, error) {
	return &peer.ControlAddresses{Control: s.p.Directory.Learned()}, nil
}

func (s *Service) handleTell(_ context.Context, w *peer.ControlAddresses) (*peer.Empty, error) {
	s.p.Directory.Learn(w.Control)
	return &peer.Empty{}, nil
}

func (s *Service) handleHello(_ context.Context, h *formation.Hello) (*formation.HelloReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.elector.HandleHello(*h)
	return &answer, nil
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.querySeeds(ctx)
	if s.server == nil {
		return nil
	}
	l, err := s.p.Limits.Listen(s.p.Settings.Peers.Listen, connlimit.Peers, s.p.Security.Encrypt(security.Peers))
	if err != nil {
		return errors.Trace(err)
	}
	s.listen = l
	go s.server.Serve(l)
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	if s.server != nil {
		s.listen.Close()
		s.server.Close()
	}
	return nil
}

// querySeeds queries the seeds in turn while this process has no contact with a quorum.
func (s *Service) querySeeds(ctx context.Context) {
	turn := 0
	periodic.Run(ctx, clockwork.NewRealClock(), queryInterval, func() {
		turn++
		seeds := s.p.Directory.Configured()
		if s.p.ConfigSync.StampAge() > staleAfter && len(seeds) > 0 {
			s.querySeed(ctx, seeds[turn%len(seeds)])
		}
	})
}

func (s *Service) querySeed(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	client := peer.NewClient(seed, s.p.Dial)
	defer client.Close()
	var where peer.ControlAddresses
	if err := client.Call(ctx, peer.MethodControlAddresses, peer.Empty{}, &where); err != nil {
		s.p.Log.V(logging.Detail).Info("seed did not answer", "address", seed, "error", err.Error())
		return
	}
	s.p.Directory.Learn(where.Control)
}
