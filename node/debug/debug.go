// Package debug serves the metrics (expvar), profiles and event timeline of a process over HTTP.
package debug

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/connlimit"
	"caperdrum.org/node/httpstop"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
)

// Params are the dependencies of the service.
type Params struct {
	dig.In
	Settings *settings.Settings
	Ring     *timeline.Ring
	Security *security.Store    `optional:"true"`
	Limits   *connlimit.Service `optional:"true"`
}

// Server serves the debug endpoints.
type Server struct {
	address  string
	security *security.Store
	limits   *connlimit.Service
	http     *http.Server
}

// Address returns the listen address of the server.
func (s *Server) Address() string { return s.address }

const (
	readHeaderTimeout = 5 * time.Second
	stopGrace         = time.Second
	// writeTimeout limits how long a client may take to read a response, which a profile precedes by its duration.
	writeTimeout = 5 * time.Minute
	idleTimeout  = time.Minute
)

// New returns the server. Start opens its listener.
func New(p Params) *Server {
	r := chi.NewRouter()
	r.Handle("/debug/vars", expvar.Handler())
	r.Get("/metrics", writeMetrics)
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.Get("/debug/timeline", func(w http.ResponseWriter, req *http.Request) { writeTimeline(w, req, p.Ring) })
	return &Server{address: p.Settings.Debug.Listen, security: p.Security, limits: p.Limits, http: &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: wire.MaxRequestHeadBytes}}
}

func writeTimeline(w http.ResponseWriter, req *http.Request, ring *timeline.Ring) {
	q := req.URL.Query()
	f := timeline.Filter{Request: q.Get("request"), Customer: q.Get("customer"), VM: q.Get("vm"),
		Kind: timeline.Kind(q.Get("kind")), Since: timeline.ParseStamp(q.Get("since"))}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(ring.Events(f))
}

// Start implements kernel.Starter.
func (s *Server) Start(context.Context) error {
	l, err := s.limits.Listen(s.address, connlimit.Debug, s.security.Encrypt(security.Peers))
	if err != nil {
		return errors.Trace(err)
	}
	s.address = l.Addr().String()
	go s.limits.Serve(s.http, l)
	return nil
}

// Stop implements kernel.Stopper.
func (s *Server) Stop(ctx context.Context) error { return httpstop.Stop(ctx, s.http, stopGrace) }
