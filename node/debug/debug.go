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
	"caperdrum.org/node/httpstop"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
)

// Params are the dependencies of the service.
type Params struct {
	dig.In
	Settings *settings.Settings
	Ring     *timeline.Ring
	Security *security.Store `optional:"true"`
}

// Server serves the debug endpoints.
type Server struct {
	address  string
	security *security.Store
	http     *http.Server
}

// Address returns the listen address of the server.
func (s *Server) Address() string { return s.address }

const (
	readHeaderTimeout = 5 * time.Second
	stopGrace         = time.Second
)

// New returns the server. Start opens its listener.
func New(p Params) *Server {
	r := chi.NewRouter()
	r.Handle("/debug/vars", expvar.Handler())
	r.Get("/metrics", writeMetrics)
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.Get("/debug/timeline", func(w http.ResponseWriter, req *http.Request) { writeTimeline(w, req, p.Ring) })
	return &Server{address: p.Settings.Debug.Listen, security: p.Security, http: &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: wire.MaxRequestHeadBytes}}
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
	l, err := s.security.Listen(s.address, security.Peers)
	if err != nil {
		return errors.Trace(err)
	}
	s.address = l.Addr().String()
	go s.http.Serve(l)
	return nil
}

// Stop implements kernel.Stopper.
func (s *Server) Stop(ctx context.Context) error { return httpstop.Stop(ctx, s.http, stopGrace) }
