// Package gate implements the agent role: the only path to one upstream. A gate admits, queues and runs
// attempts, retains their responses for a while, and can tell for every attempt whether it ran. It knows
// nothing of attempts sent to an earlier incarnation of the process; the incarnation number tells them apart.
package gate

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/connlimit"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
)

// Params are the dependencies of the service.
type Params struct {
	dig.In
	Settings *settings.Settings
	Log      logr.Logger
	Ring     *timeline.Ring
	Sync     *configsync.Service `name:"configsync"`
	Security *security.Store     `optional:"true"`
	Limits   *connlimit.Service  `optional:"true"`
}

// Service is the gate of one upstream.
type Service struct {
	set      settings.AgentRole
	log      logr.Logger
	ring     *timeline.Ring
	sync     *configsync.Service
	secure   *security.Store
	clients  *connlimit.Service
	table    *table
	upstream upstreamClients
	server   *http.Server
	address  string

	mu             sync.Mutex
	leaveRequested bool // an upstream or operator asked through Leave
	unhealthy      bool // the upstream fails its health check
	noModel        bool // the upstream has no model loaded, or is about to unload it

	incarnation uint64
}

var (
	ranVar          = expvar.NewInt("gate_attempts_ran")
	refusedVar      = expvar.NewInt("gate_attempts_refused")
	busyVar         = expvar.NewFloat("gate_busy_seconds")
	answersEndedVar = expvar.NewMap("gate_answers_ended") // responses of the upstream, by framing/ending
	queueVar        = expvar.NewInt("gate_queued")
	inFlightVar     = expvar.NewInt("gate_running")
)

const (
	defaultConcurrency = 8
	defaultQueue       = 64
	drainPoll          = 20 * time.Millisecond // used only while the process stops
	readHeaderTimeout  = 10 * time.Second
	idleTimeout        = 2 * time.Minute
)

// New returns the gate; Start opens its listener.
func New(p Params) *Service {
	s := &Service{set: p.Settings.Agent, log: p.Log, ring: p.Ring, sync: p.Sync, secure: p.Security, clients: p.Limits, incarnation: p.Sync.Self().Incarnation}
	s.upstream = newUpstreamClients()
	s.table = newTable(clockwork.NewRealClock(), s.incarnation, s.startRun, s.limitsOf(nil))
	p.Sync.OnChange(func(v *configsync.View) { s.table.setLimits(s.limitsOf(v.Config.Services[s.set.Service])) })
	r := chi.NewRouter()
	r.Post("/v1/attempts/{id}", s.handleSubmit)
	r.Get("/v1/attempts/{id}", s.handleStatus)
	r.Post("/v1/attempts/{id}/cancel", s.handleCancel)
	r.Get("/v1/attempts/{id}/answer", s.handleAttach)
	r.Post("/v1/leave", s.handleLeave)
	s.server = &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: wire.MaxRequestHeadBytes}
	return s
}

func (s *Service) limitsOf(sv *optext.Service) limits {
	l := limits{concurrency: defaultConcurrency, queueLength: defaultQueue, refuseLate: true, keep: s.set.KeepAnswers, keepBytes: s.set.KeepAnswerBytes}
	if sv != nil {
		l.concurrency, l.queueLength = sv.Concurrency, sv.QueueLength
		l.fifo, l.limiter = sv.QueueDiscipline == "fifo", sv.Limiter
	}
	return l
}

// Address returns the address the gate listens on.
func (s *Service) Address() string { return s.address }

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	l, err := s.clients.Listen(s.set.Listen, connlimit.Callers, s.secure.Encrypt(security.Peers))
	if err != nil {
		return errors.Trace(err)
	}
	s.address = l.Addr().String()
	go s.clients.Serve(s.server, l)
	return nil
}

// BeginStop implements kernel.Drainer. It announces that the upstream is leaving.
func (s *Service) BeginStop() { s.Leave(true) }

// Stop implements kernel.Stopper. It admits no new work and waits for every attempt in flight. The listener
// stays open for at least LeaveGrace and refuses new work as not run, until the entries know that the gate is
// leaving: a submission lost on a closing connection could not be told from one that ran. When ctx ends, the
// remaining attempts are cut off and Stop returns an error with their number.
func (s *Service) Stop(ctx context.Context) error {
	s.BeginStop()
	graceEnd := time.Now().Add(s.set.LeaveGrace)
	for {
		queued, running, _ := s.table.load()
		if queued+running == 0 && !time.Now().Before(graceEnd) {
			break
		}
		select {
		case <-ctx.Done():
			return s.cutOff()
		case <-time.After(drainPoll):
		}
	}
	return s.server.Shutdown(ctx)
}

// cutOff closes the listener and all connections. It counts the attempts again, because those that Stop saw
// may have ended since.
func (s *Service) cutOff() error {
	queued, running, _ := s.table.load()
	err := s.server.Close()
	if queued+running == 0 {
		return err
	}
	return errors.Errorf("gate: drain time ended with %d attempts unfinished", queued+running)
}

// Leave stops the admission of new work, or resumes it. It takes effect at this gate at once and is announced
// to the entries.
func (s *Service) Leave(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveRequested = leaving
	s.applyLeaving()
}

// SetHealthy sets whether the upstream passes its health check. An unhealthy upstream gets no new work.
func (s *Service) SetHealthy(healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unhealthy = !healthy
	s.applyLeaving()
}

func (s *Service) applyLeaving() {
	leaving := s.leaveRequested || s.unhealthy || s.noModel
	s.table.setLeaving(leaving)
	s.sync.SetLeaving(leaving)
}
