// Package discovery lets a process find the control processes from seeds: it
// tells others where they are, and asks the seeds once it has lost its own way.
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
	"caperdrum.org/node/formation"
	"caperdrum.org/node/internal/periodic"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
)

const (
	// lostAfter is the age of the last confirmation by a quorum after which the
	// seeds are asked. Twice what synchronization takes when all is well.
	lostAfter   = 2500 * time.Millisecond
	askInterval = 500 * time.Millisecond
	askTimeout  = 400 * time.Millisecond
)

// Params are what the service needs.
type Params struct {
	dig.In
	Settings   *settings.Settings
	Log        logr.Logger
	Dial       peer.Dialer
	Directory  *peer.Directory
	Security   *security.Store     `optional:"true"`
	ConfigSync *configsync.Service `name:"configsync"`
}

// Service answers and asks where control processes listen.
type Service struct {
	p      Params
	server *peer.Server // nil where the control role has one
	mu     sync.Mutex   // guards namer
	namer  formation.Namer
	listen net.Listener
	cancel context.CancelFunc
}

// New returns the service. A process without the control role gets a peer
// server of its own.
func New(p Params) *Service {
	s := &Service{p: p, namer: formation.Namer{FirstStart: p.Settings.Peers.FirstStart}}
	if !p.Settings.HasRole(settings.Control) {
		s.server = peer.NewServer()
		peer.Handle(s.server, peer.MethodControlAddresses, s.where)
		peer.Handle(s.server, peer.MethodAnnounceControl, s.told)
		peer.Handle(s.server, peer.MethodPing, peer.Ping)
		peer.Handle(s.server, formation.MethodHello, s.hello)
	}
	return s
}

// Server is this process's peer server; nil where the control role has one.
func (s *Service) Server() *peer.Server { return s.server }

func (s *Service) where(context.Context, *peer.Empty) (*peer.ControlAddresses, error) {
	return &peer.ControlAddresses{Control: s.p.Directory.Learned()}, nil
}

func (s *Service) told(_ context.Context, w *peer.ControlAddresses) (*peer.Empty, error) {
	s.p.Directory.Learn(w.Control)
	return &peer.Empty{}, nil
}

func (s *Service) hello(_ context.Context, h *formation.Hello) (*formation.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.namer.Hello(*h)
	return &answer, nil
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.seek(ctx)
	if s.server == nil {
		return nil
	}
	l, err := s.p.Security.Listen(s.p.Settings.Peers.Listen, security.Peers)
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

// seek asks the seeds while this process hears of no quorum.
func (s *Service) seek(ctx context.Context) {
	turn := 0
	periodic.Run(ctx, clockwork.NewRealClock(), askInterval, func() {
		turn++
		seeds := s.p.Directory.Configured()
		if s.p.ConfigSync.StampAge() > lostAfter && len(seeds) > 0 {
			s.ask(ctx, seeds[turn%len(seeds)])
		}
	})
}

func (s *Service) ask(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	client := peer.NewClient(seed, s.p.Dial)
	defer client.Close()
	var where peer.ControlAddresses
	if err := client.Call(ctx, peer.MethodControlAddresses, peer.Empty{}, &where); err != nil {
		s.p.Log.V(logging.Detail).Info("seed not heard", "address", seed, "error", err.Error())
		return
	}
	s.p.Directory.Learn(where.Control)
}
