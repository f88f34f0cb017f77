package admin

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"caperdrum.org/api/wire"
)

func (s *Service) listQuarantine(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	if err := s.p.Control.Replica().ReadBarrier(ctx); err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, s.p.Control.Quarantine())
}

func (s *Service) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	err := s.p.Control.LiftQuarantine(ctx, wire.Fingerprint(chi.URLParam(r, "fingerprint")))
	s.writeResult(w, struct{}{}, err, "see the fingerprints in GET /v1/quarantine")
}
