// Package gate is the agent role's core: the only way to one upstream. It
// admits, queues and runs attempts, keeps their answers for a while, and knows
// for every attempt whether it ran. Attempts of an earlier start of the
// process are unknown to it, which its incarnation number tells.
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
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
)

// Params are what the service needs.
type Params struct {
	dig.In
	Settings *settings.Settings
	Log      logr.Logger
	Ring     *timeline.Ring
	Sync     *configsync.Service `name:"configsync"`
	Security *security.Store     `optional:"true"`
}

// Service is the gate of one upstream.
type Service struct {
	set      settings.AgentRole
	log      logr.Logger
	ring     *timeline.Ring
	sync     *configsync.Service
	secure   *security.Store
	table    *table
	upstream upstreamClients
	server   *http.Server
	address  string

	mu        sync.Mutex
	told      bool // told to leave
	unhealthy bool // the upstream fails its health check
	parked    bool // the upstream holds no model, or is about to drop one

	incarnation uint64
}

var (
	ranVar      = expvar.NewInt("gate_attempts_ran")
	refusedVar  = expvar.NewInt("gate_attempts_refused")
	busyVar     = expvar.NewFloat("gate_busy_seconds")
	queueVar    = expvar.NewInt("gate_queued")
	inFlightVar = expvar.NewInt("gate_running")
)

const (
	defaultConcurrency = 8
	defaultQueue       = 64
	drainPoll          = 20 * time.Millisecond // only while the process stops
	readHeaderTimeout  = 10 * time.Second
	idleTimeout        = 2 * time.Minute
)

// New returns the gate; Start opens its listener.
func New(p Params) *Service {
	s := &Service{set: p.Settings.Agent, log: p.Log, ring: p.Ring, sync: p.Sync, secure: p.Security, incarnation: p.Sync.Self().Incarnation}
	s.upstream = newUpstreamClients()
	s.table = newTable(clockwork.NewRealClock(), s.incarnation, s.begin, s.limitsOf(nil))
	p.Sync.OnChange(func(v *configsync.View) { s.table.setLimits(s.limitsOf(v.Config.Services[s.set.Service])) })
	r := chi.NewRouter()
	r.Post("/v1/attempts/{id}", s.handleSubmit)
	r.Get("/v1/attempts/{id}", s.handleStatus)
	r.Post("/v1/attempts/{id}/cancel", s.handleCancel)
	r.Get("/v1/attempts/{id}/answer", s.handleAttach)
	r.Post("/v1/leave", s.handleLeave)
	s.server = &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
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

// Address returns where the gate listens.
func (s *Service) Address() string { return s.address }

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	l, err := s.secure.Listen(s.set.Listen, security.Peers)
	if err != nil {
		return errors.Trace(err)
	}
	s.address = l.Addr().String()
	go s.server.Serve(l)
	return nil
}

// Stop implements kernel.Stopper: no new work, then every attempt in flight
// is brought to its end. New work is refused as not run until the entries have
// heard of the leaving: a submission that met a closing connection instead
// could not be told from one that ran.
func (s *Service) Stop(ctx context.Context) error {
	s.Leave(true)
	heard := time.Now().Add(s.set.LeaveGrace)
	for {
		queued, running, _ := s.table.load()
		if queued+running == 0 && !time.Now().Before(heard) {
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

// cutOff ends the listener with what is under way now: what was when Stop looked last may have ended since.
func (s *Service) cutOff() error {
	queued, running, _ := s.table.load()
	err := s.server.Close()
	if queued+running == 0 {
		return err
	}
	return errors.Errorf("gate: %d attempts cut at the end of the drain time", queued+running)
}

// Leave stops the admission of new work, or opens it again. It takes effect
// here at once and is announced to the entries.
func (s *Service) Leave(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = leaving
	s.applyLeaving()
}

// SetHealthy says whether the upstream passes its health check. One that does
// not gets no new work.
func (s *Service) SetHealthy(healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unhealthy = !healthy
	s.applyLeaving()
}

func (s *Service) applyLeaving() {
	leaving := s.told || s.unhealthy || s.parked
	s.table.setLeaving(leaving)
	s.sync.SetLeaving(leaving)
}
