// Package admin is the administration API of a control process: JSON over
// HTTP, the one way to change the configuration.
package admin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/pmezard/go-difflib/difflib"
	"go.uber.org/dig"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/strictini"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/control"
	"caperdrum.org/node/replica"
	"caperdrum.org/node/settings"
	"caperdrum.org/node/state"
)

// Params are what the service needs.
type Params struct {
	dig.In
	Settings *settings.Settings
	Ring     *timeline.Ring
	Control  *control.Service `name:"control"`
}

// Service is the administration listener.
type Service struct {
	p      Params
	server *http.Server
}

const (
	readHeaderTimeout = 5 * time.Second
	requestTimeout    = 5 * time.Second
	maxText           = 16 << 20
)

// New returns the service; Start opens its listener.
func New(p Params) *Service {
	s := &Service{p: p}
	r := chi.NewRouter()
	r.Route("/v1", func(r chi.Router) {
		r.Post("/init", s.init)
		r.Get("/status", s.status)
		r.Get("/members", s.members)
		r.Get("/config", s.config)
		r.Post("/config/validate", s.validate)
		r.Post("/config/diff", s.diff)
		r.Post("/config", s.apply)
	})
	s.server = &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	l, err := net.Listen("tcp", s.p.Settings.Control.Admin)
	if err != nil {
		return errors.Trace(err)
	}
	go s.server.Serve(l)
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Error is the JSON body of a refused call.
type Error struct {
	Message  string              `json:"message"`
	Remedy   string              `json:"remedy,omitempty"`
	Leader   string              `json:"leader,omitempty"` // peer address of the leader, when another process leads
	Problems []strictini.Problem `json:"problems,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *Service) fail(w http.ResponseWriter, err error) {
	var problems strictini.Problems
	switch {
	case errors.As(err, &problems):
		writeJSON(w, http.StatusUnprocessableEntity, Error{Message: "the text is not valid", Remedy: "correct every line named", Problems: problems})
	case errors.Is(err, replica.ErrNotLeader):
		writeJSON(w, http.StatusMisdirectedRequest, Error{Message: "this control process does not lead", Remedy: "ask the leader", Leader: s.p.Control.Replica().Leader().Address})
	case errors.Is(err, replica.ErrInitialized):
		writeJSON(w, http.StatusConflict, Error{Message: err.Error(), Remedy: "nothing needs to be done"})
	default:
		writeJSON(w, http.StatusServiceUnavailable, Error{Message: err.Error(), Remedy: "send the same call again: changes with the same change id are applied once"})
	}
}

func (s *Service) init(w http.ResponseWriter, r *http.Request) {
	if err := s.p.Control.Init(r.Context()); err != nil {
		s.fail(w, err)
		return
	}
	s.p.Ring.Record(timeline.Event{Kind: "cluster-initialized"})
	writeJSON(w, http.StatusOK, s.p.Control.Status())
}

func (s *Service) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.p.Control.Status())
}

func (s *Service) members(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.p.Control.Members())
}

func (s *Service) config(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	if err := s.p.Control.Replica().ReadBarrier(ctx); err != nil {
		s.fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, s.p.Control.Replica().View().Config)
}

func (s *Service) readChange(w http.ResponseWriter, r *http.Request) (*wire.ChangeRequest, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxText))
	if err != nil {
		return nil, errors.Trace(err)
	}
	c := &wire.ChangeRequest{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, strictini.Problems{{File: "request", Fault: err.Error(), Remedy: "send {number, text, change_id} as JSON"}}
	}
	if _, err := optext.Parse("text", []byte(c.Text)); err != nil {
		return nil, err
	}
	return c, nil
}

func (s *Service) validate(w http.ResponseWriter, r *http.Request) {
	if _, err := s.readChange(w, r); err != nil {
		s.fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Service) diff(w http.ResponseWriter, r *http.Request) {
	c, err := s.readChange(w, r)
	if err != nil {
		s.fail(w, err)
		return
	}
	v := s.p.Control.Replica().View()
	writeJSON(w, http.StatusOK, wire.ChangeResult{Version: v.Config.Version, Diff: textDiff(v.Config.Text, c.Text)})
}

func (s *Service) apply(w http.ResponseWriter, r *http.Request) {
	c, err := s.readChange(w, r)
	if err != nil {
		s.fail(w, err)
		return
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	res, err := s.p.Control.Replica().Propose(ctx, state.Command{Change: c})
	if err != nil {
		s.fail(w, err)
		return
	}
	out := *res.Change
	status := http.StatusOK
	if !out.Accepted {
		status = http.StatusConflict
		out.Diff = textDiff(s.p.Control.Replica().View().Config.Text, c.Text)
	}
	s.p.Ring.Record(timeline.Event{Kind: "config-change", Detail: c.ChangeID + " " + out.Reason})
	writeJSON(w, status, out)
}

const diffContext = 3

func textDiff(from, to string) string {
	d, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{A: difflib.SplitLines(from), B: difflib.SplitLines(to),
		FromFile: "in force", ToFile: "proposed", Context: diffContext})
	if err != nil {
		return err.Error()
	}
	return d
}
