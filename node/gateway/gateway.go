// Package gateway implements the HTTP interface of an entry for callers.
package gateway

import (
	"context"
	"expvar"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/admission"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/connlimit"
	"caperdrum.org/node/ledger"
	"caperdrum.org/node/pipeline"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
)

// Params are the dependencies of the service.
type Params struct {
	dig.In
	Settings  *settings.Settings
	Log       logr.Logger
	Ring      *timeline.Ring
	Sync      *configsync.Service `name:"configsync"`
	Admission *admission.Service  `name:"admission"`
	Pipeline  *pipeline.Service   `name:"pipeline"`
	Ledger    *ledger.Service     `name:"ledger"`
	Security  *security.Store     `optional:"true"`
	Limits    *connlimit.Service  `optional:"true"`
}

// Service serves the callers' listener.
type Service struct {
	p           Params
	set         settings.EntryRole
	server      *http.Server
	viewApplied atomic.Bool // the entry's other services have applied a configuration view
	draining    atomic.Bool
	rotated     <-chan time.Time // when the load balancer has noticed; set by BeginStop
	receiving   atomic.Int64     // requests being read, refused or served
}

var (
	requestsVar = expvar.NewMap("requests") // by verdict; "whole" counts complete responses
	inFlightVar = expvar.NewInt("requests_in_flight")
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	receivingFactor   = 2                      // times MaxInFlight: some requests are still being read or refused
	balancerGrace     = 500 * time.Millisecond // for the load balancer to notice that the entry is not ready
)

// New returns the gateway; Start opens its listener.
func New(p Params) *Service {
	s := &Service{p: p, set: p.Settings.Entry}
	// Callbacks run in order: the services passed to New have applied the view before.
	p.Sync.OnChange(func(*configsync.View) { s.viewApplied.Store(true) })
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", s.handleReady)
	r.Get("/v1/models", s.handleModels)
	r.Post("/v1/chat/completions", s.wrapHandler(s.handleChat))
	r.Post("/v1/pipelines/{pipeline}", s.wrapHandler(s.handlePipeline))
	r.HandleFunc("/v1/services/{service}", s.wrapHandler(s.handleService))
	r.HandleFunc("/v1/services/{service}/*", s.wrapHandler(s.handleService))
	r.NotFound(func(w http.ResponseWriter, req *http.Request) {
		s.writeFailure(w, "", verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such path: %s; use /v1/chat/completions, /v1/pipelines/NAME or /v1/services/NAME/PATH", req.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, req *http.Request) {
		e := verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "method %s is not allowed for %s: use POST", req.Method, req.URL.Path)
		e.Status = http.StatusMethodNotAllowed
		s.writeFailure(w, "", e)
	})
	s.server = &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	return s
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	l, err := s.p.Limits.Listen(s.set.Listen, connlimit.Callers, s.p.Security.Encrypt(security.Callers))
	if err != nil {
		return errors.Trace(err)
	}
	go s.p.Limits.Serve(s.server, l)
	return nil
}

// BeginStop implements kernel.Drainer. It ends readiness, so that the load balancer sends no more requests.
func (s *Service) BeginStop() {
	if !s.draining.Swap(true) {
		s.rotated = time.After(balancerGrace)
	}
}

// Stop implements kernel.Stopper. It waits until the load balancer has noticed, and for the requests in flight.
func (s *Service) Stop(ctx context.Context) error {
	s.BeginStop()
	select {
	case <-s.rotated:
	case <-ctx.Done():
	}
	return s.server.Shutdown(ctx)
}

func (s *Service) handleReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Service) notReady() string {
	v := s.p.Sync.View()
	switch {
	case s.draining.Load():
		return "draining"
	case v == nil || v.Version == 0 || !s.viewApplied.Load():
		return "no configuration yet"
	case !s.p.Sync.ViewApplied():
		return "configuration not taken over yet"
	case s.p.Sync.StampAge() > s.set.StaleAfter:
		return "configuration not confirmed lately"
	}
	return ""
}

// checkServing refuses requests while the entry cannot serve any.
func (s *Service) checkServing() *verdict.Error {
	v := s.p.Sync.View()
	switch {
	case v == nil || v.Version == 0:
		return verdict.New(verdict.NotRun, verdict.CodeConfigStale, "this entry has no configuration yet").WithRetryAfter(time.Second)
	case s.set.RefuseStale && s.p.Sync.StampAge() > s.set.StaleAfter:
		return verdict.New(verdict.NotRun, verdict.CodeConfigStale, "this entry's configuration is not confirmed").WithRetryAfter(time.Second)
	case s.receiving.Load() > receivingFactor*int64(s.set.MaxInFlight):
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "this entry receives too many requests").WithRetryAfter(time.Second)
	}
	return nil
}

// wrapHandler wraps a handler with the checks before it, the request id and the accounting of outcomes.
func (s *Service) wrapHandler(handle func(http.ResponseWriter, *http.Request, *call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.receiving.Add(1)
		inFlightVar.Add(1)
		defer func() {
			s.receiving.Add(-1)
			inFlightVar.Add(-1)
		}()
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		c, err := s.readRequest(w, r)
		defer func() {
			if c.release != nil {
				c.release()
			}
		}()
		if err == nil {
			err = handle(w, r, c)
		}
		s.finishRequest(w, r, c, err)
	}
}

// admitCall admits the request, or refuses it at once.
func (s *Service) admitCall(c *call) error {
	release, refusal := s.p.Admission.Admit(c.customer, c.admissionWork(), len(c.body))
	if refusal != nil {
		return refusal
	}
	c.release = release
	return nil
}

func (s *Service) finishRequest(w http.ResponseWriter, r *http.Request, c *call, err error) {
	c.countAttainment(err)
	if err == nil {
		requestsVar.Add("whole", 1)
		s.p.Ring.Record(timeline.Event{Kind: "request-whole", Request: string(c.id), Customer: c.customerName()})
		return
	}
	e := verdict.From(err)
	requestsVar.Add(e.Verdict.String(), 1)
	s.p.Ring.Record(timeline.Event{Kind: "request-failed", Request: string(c.id), Customer: c.customerName(), Detail: e.Error()})
	if c.headerSent {
		// The status line was sent already: only cutting the connection keeps the caller from taking a
		// partial response for a complete one.
		panic(http.ErrAbortHandler)
	}
	s.writeFailure(w, c.id, e)
}

// writeFailure sends an error response; nothing may have been sent before.
func (s *Service) writeFailure(w http.ResponseWriter, id wire.RequestID, e *verdict.Error) {
	writeError(w, id, e)
}
