// Package admin implements the administration API of a control process: JSON over HTTP. It is the only way to
// change the configuration.
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	"caperdrum.org/node/connlimit"
	"caperdrum.org/node/control"
	"caperdrum.org/node/httpstop"
	"caperdrum.org/node/replica"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
	"caperdrum.org/node/state"
)

// Params are the dependencies of the service.
type Params struct {
	dig.In
	Settings *settings.Settings
	Ring     *timeline.Ring
	Control  *control.Service   `name:"control"`
	Security *security.Store    `optional:"true"`
	Limits   *connlimit.Service `optional:"true"`
}

// Service serves the administration API.
type Service struct {
	p      Params
	server *http.Server
}

const (
	readHeaderTimeout = 5 * time.Second
	requestTimeout    = 5 * time.Second
	stopGrace         = time.Second
	// transferTimeout limits how long a client may take to send a request or to read its response.
	transferTimeout = 30 * time.Second
	idleTimeout     = time.Minute
	maxChangeBytes  = 16 << 20
)

// New returns the service. Start opens its listener.
func New(p Params) *Service {
	s := &Service{p: p}
	r := chi.NewRouter()
	r.Post("/v1/init", s.init) // unauthenticated: works only once, on empty data folders
	r.Group(func(r chi.Router) {
		r.Use(s.authenticate)
		s.routes(r)
	})
	s.server = &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: transferTimeout, WriteTimeout: transferTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: wire.MaxRequestHeadBytes}
	return s
}

// Handler returns the HTTP handler of the API, for use without the listener.
func (s *Service) Handler() http.Handler { return s.server.Handler }

func (s *Service) routes(r chi.Router) {
	r.Get("/v1/status", s.status)
	r.Get("/v1/members", s.members)
	r.Get("/v1/config", s.config)
	r.Get("/v1/config/history", s.history)
	r.Get("/v1/teams", s.listTeams)
	r.Get("/v1/evacuations", s.listEvacuations)
	r.Get("/v1/quarantine", s.listQuarantine)
	r.Get("/v1/rollouts", s.listRollouts)
	r.Post("/v1/config/validate", s.validate)
	r.Post("/v1/config/diff", s.diff)
	r.Group(func(r chi.Router) {
		r.Use(require(wire.RoleOperator, wire.RoleAdministrator))
		r.Post("/v1/config", s.apply)
		r.Put("/v1/evacuations/{data_center}", s.startEvacuation)
		r.Delete("/v1/evacuations/{data_center}", s.endEvacuation)
		r.Delete("/v1/quarantine/{fingerprint}", s.liftQuarantine)
		r.Put("/v1/rollouts/{service}", s.startRollout)
		r.Delete("/v1/rollouts/{service}", s.abortRollout)
	})
	r.Group(func(r chi.Router) {
		r.Use(require(wire.RoleAdministrator))
		r.Put("/v1/teams/{team}", s.putTeam)
		r.Delete("/v1/teams/{team}", s.deleteTeam)
		r.Post("/v1/teams/{team}/keys", s.addKey)
		r.Delete("/v1/keys/{key}", s.endKey)
	})
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	l, err := s.p.Limits.Listen(s.p.Settings.Control.Admin, connlimit.Operators, s.p.Security.Encrypt(security.Callers))
	if err != nil {
		return errors.Trace(err)
	}
	go s.p.Limits.Serve(s.server, l)
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(ctx context.Context) error { return httpstop.Stop(ctx, s.server, stopGrace) }

// errResponseWritten says that the error response has already been written.
var errResponseWritten = errors.New("admin: refused")

// versionAheadError rejects a change whose base version does not exist yet. It must not be proposed, because
// there was no text to check the permissions against.
type versionAheadError struct{ number, current uint64 }

// Error implements error.
func (e *versionAheadError) Error() string {
	return fmt.Sprintf("number %d is not the version in force, %d, plus one", e.number, e.current)
}

// Error is the JSON body of a rejected call.
type Error struct {
	Message  string              `json:"message"`
	Remedy   string              `json:"remedy,omitempty"`
	Leader   string              `json:"leader,omitempty"` // peer address of the leader, if another process leads
	Problems []strictini.Problem `json:"problems,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *Service) writeError(w http.ResponseWriter, err error) {
	var problems strictini.Problems
	var future *versionAheadError
	switch {
	case errors.As(err, &future):
		writeJSON(w, http.StatusConflict, wire.ChangeResult{Version: future.current, Reason: future.Error()})
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

// init bootstraps a new cluster and returns the key of the initial administrators team.
func (s *Service) init(w http.ResponseWriter, r *http.Request) {
	if err := s.p.Control.Init(r.Context()); err != nil {
		s.writeError(w, err)
		return
	}
	key, newKeyReply := newKey(initialTeam)
	for _, c := range []state.TeamCommand{{Put: &state.Team{Name: initialTeam, Role: wire.RoleAdministrator}}, {AddKey: &key}} {
		if err := s.commitWhenLeader(r.Context(), w, c); err != nil {
			return
		}
	}
	s.p.Ring.Record(timeline.Event{Kind: "cluster-initialized"})
	writeJSON(w, http.StatusOK, wire.InitReply{Status: s.p.Control.Status(), Key: newKeyReply})
}

const leaderPollInterval = 50 * time.Millisecond

// commitWhenLeader waits until the only voter of the new cluster has become leader, and then commits the
// change.
func (s *Service) commitWhenLeader(ctx context.Context, w http.ResponseWriter, c state.TeamCommand) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for !s.p.Control.Replica().IsLeader() && ctx.Err() == nil {
		time.Sleep(leaderPollInterval)
	}
	return s.commitTeam(ctx, w, c)
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
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, s.p.Control.Replica().View().Config)
}

func (s *Service) readChange(w http.ResponseWriter, r *http.Request) (*wire.ChangeRequest, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	if err != nil {
		return nil, errors.Trace(err)
	}
	c := &wire.ChangeRequest{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, strictini.Problems{{File: "request", Fault: err.Error(), Remedy: "send {number, text, change_id} as JSON"}}
	}
	config, err := optext.Parse("text", []byte(c.Text))
	if err != nil {
		return nil, err
	}
	if err := s.p.Control.CheckRegions(config); err != nil {
		return nil, strictini.Problems{{File: "text", Fault: err.Error(), Remedy: "name regions of [data_center:NAME] sections"}}
	}
	return c, nil
}

func (s *Service) validate(w http.ResponseWriter, r *http.Request) {
	if _, err := s.readChange(w, r); err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Service) diff(w http.ResponseWriter, r *http.Request) {
	c, err := s.readChange(w, r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	v := s.p.Control.Replica().View()
	writeJSON(w, http.StatusOK, wire.ChangeResult{Version: v.Config.Version, Diff: textDiff(v.Config.Text, c.Text)})
}

func (s *Service) apply(w http.ResponseWriter, r *http.Request) {
	c, err := s.readChange(w, r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	if err := s.checkRights(ctx, r, c); err != nil {
		s.writeError(w, err)
		return
	}
	res, err := s.p.Control.Replica().Propose(ctx, state.Command{Change: c})
	if err != nil {
		s.writeError(w, err)
		return
	}
	out := *res.Change
	status := http.StatusOK
	if !out.Accepted {
		status = http.StatusConflict
		out.Diff = textDiff(s.p.Control.Replica().View().Config.Text, c.Text)
	}
	s.p.Ring.Record(timeline.Event{Kind: "config-change", Detail: c.ChangeID + " by " + c.Author + " " + out.Reason})
	writeJSON(w, status, out)
}

// checkRights records the author of the change and the sections that it modifies, and rejects it if the team
// has no permission for one of them. It compares with the text in force. If another change is committed in
// between, this change's number is taken and it is rejected anyway.
func (s *Service) checkRights(ctx context.Context, r *http.Request, c *wire.ChangeRequest) error {
	if err := s.p.Control.Replica().ReadBarrier(ctx); err != nil {
		return err
	}
	team := callerOf(r)
	current := s.p.Control.Replica().View().Config
	c.Author = team.Name
	c.Sections = nil
	switch {
	case c.Number <= current.Version:
		return nil // a resend or a conflict: nothing will be applied
	case c.Number > current.Version+1:
		return &versionAheadError{number: c.Number, current: current.Version}
	}
	c.Sections = optext.ChangedSections(current.Text, c.Text)
	return optext.CheckRights(c.Sections, rightsOf(team))
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
