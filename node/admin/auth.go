package admin

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

const (
	keyPrefix     = "cdk"
	secretBytes   = 32
	bearer        = "Bearer "
	anonymousTeam = "loopback" // team of unauthenticated callers if the settings allow them
)

type teamContextKey struct{}

// authenticate requires a valid bearer key. A key that was just revoked at another control process is
// accepted until this process has applied the change.
func (s *Service) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		team, ok := s.teamOf(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, Error{Message: "no valid key", Remedy: "send the header Authorization: Bearer KEY with a key of your team"})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), teamContextKey{}, team)))
	})
}

func (s *Service) teamOf(r *http.Request) (state.Team, bool) {
	header := r.Header.Get("Authorization")
	if header == "" && s.p.Settings.Control.OpenAdmin {
		return state.Team{Name: anonymousTeam, Role: wire.RoleAdministrator}, true
	}
	key, ok := strings.CutPrefix(header, bearer)
	if !ok {
		return state.Team{}, false
	}
	parts := strings.Split(key, "_")
	if len(parts) != 3 || parts[0] != keyPrefix {
		return state.Team{}, false
	}
	return s.p.Control.Replica().View().Teams.Authenticate(parts[1], parts[2], time.Now())
}

func callerOf(r *http.Request) state.Team {
	team, _ := r.Context().Value(teamContextKey{}).(state.Team)
	return team
}

// require admits only teams with one of the roles.
func require(roles ...wire.Role) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			team := callerOf(r)
			for _, role := range roles {
				if team.Role == role {
					next.ServeHTTP(w, r)
					return
				}
			}
			writeJSON(w, http.StatusForbidden, Error{Message: "team " + team.Name + " has the role " + string(team.Role) + ", which may not do this", Remedy: "ask an administrator"})
		})
	}
}

func rightsOf(t state.Team) optext.Rights {
	return optext.Rights{All: t.Role == wire.RoleAdministrator, Services: t.Services, Pipelines: t.Pipelines}
}

// newKey generates a bearer key. Only its hash enters the replicated state.
func newKey(team string) (state.Key, wire.NewKey) {
	var secret [secretBytes]byte
	rand.Read(secret[:]) // never fails
	text := hex.EncodeToString(secret[:])
	id := strings.ReplaceAll(uuid.NewString(), "-", "")[:12]
	return state.Key{ID: id, Team: team, Hash: sha256.Sum256([]byte(text))},
		wire.NewKey{ID: id, Key: keyPrefix + "_" + id + "_" + text}
}
