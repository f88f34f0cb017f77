package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"regexp"
	"time"

	"github.com/go-chi/chi/v5"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// initialTeam is the team whose key is returned when the cluster is initialized.
const initialTeam = "administrators"

const maxTeamBytes = 64 << 10

var teamName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// proposeTeam commits a change to a team. It returns whether that succeeded; if not, it has written the error
// response.
func (s *Service) proposeTeam(w http.ResponseWriter, r *http.Request, c state.TeamCommand) bool {
	c.Author = callerOf(r).Name
	if err := s.commitTeam(r.Context(), w, c); err != nil {
		return false
	}
	return true
}

func (s *Service) commitTeam(ctx context.Context, w http.ResponseWriter, c state.TeamCommand) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	res, err := s.p.Control.Replica().Propose(ctx, state.Command{Team: &c})
	if err != nil {
		s.writeError(w, err)
		return err
	}
	if !res.Team.Done {
		writeJSON(w, http.StatusConflict, Error{Message: res.Team.Reason, Remedy: "see GET /v1/teams"})
		return errResponseWritten
	}
	return nil
}

func (s *Service) listTeams(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.p.Control.Replica().View().Teams.List())
}

func (s *Service) putTeam(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "team")
	var info wire.TeamInfo
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTeamBytes)).Decode(&info); err != nil {
		writeJSON(w, http.StatusBadRequest, Error{Message: "body: " + err.Error(), Remedy: "send {role, services, pipelines} as JSON"})
		return
	}
	if !teamName.MatchString(name) {
		writeJSON(w, http.StatusBadRequest, Error{Message: "team: not a name", Remedy: "use lower-case letters, digits and hyphens, at most 63"})
		return
	}
	switch info.Role {
	case wire.RoleViewer, wire.RoleOperator, wire.RoleAdministrator:
	default:
		writeJSON(w, http.StatusBadRequest, Error{Message: "role: " + string(info.Role) + " is not known", Remedy: "use viewer, operator or administrator"})
		return
	}
	if s.proposeTeam(w, r, state.TeamCommand{Put: &state.Team{Name: name, Role: info.Role, Services: info.Services, Pipelines: info.Pipelines}}) {
		s.p.Ring.Record(timeline.Event{Kind: "team-changed", Detail: name + " by " + callerOf(r).Name})
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (s *Service) deleteTeam(w http.ResponseWriter, r *http.Request) {
	if s.proposeTeam(w, r, state.TeamCommand{Delete: chi.URLParam(r, "team")}) {
		s.p.Ring.Record(timeline.Event{Kind: "team-deleted", Detail: chi.URLParam(r, "team") + " by " + callerOf(r).Name})
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// addKey adds a key to a team. The secret is part of this response only.
func (s *Service) addKey(w http.ResponseWriter, r *http.Request) {
	key, newKeyReply := newKey(chi.URLParam(r, "team"))
	if s.proposeTeam(w, r, state.TeamCommand{AddKey: &key}) {
		s.p.Ring.Record(timeline.Event{Kind: "key-added", Detail: key.ID + " of " + key.Team + " by " + callerOf(r).Name})
		writeJSON(w, http.StatusOK, newKeyReply)
	}
}

// endKey revokes a key, at once or after the duration in the query parameter "after". A delay leaves time to
// distribute a new key first.
func (s *Service) endKey(w http.ResponseWriter, r *http.Request) {
	after := time.Duration(0)
	if raw := r.URL.Query().Get("after"); raw != "" {
		d, err := time.ParseDuration(raw)
		if err != nil || d < 0 {
			writeJSON(w, http.StatusBadRequest, Error{Message: "after: " + raw + " is not a duration", Remedy: "write it like 24h"})
			return
		}
		after = d
	}
	id := chi.URLParam(r, "key")
	if s.proposeTeam(w, r, state.TeamCommand{EndKey: id, EndAt: time.Now().Add(after).UnixMilli()}) {
		s.p.Ring.Record(timeline.Event{Kind: "key-ended", Detail: id + " by " + callerOf(r).Name})
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (s *Service) history(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.p.Control.Replica().View().ChangeHistory)
}
