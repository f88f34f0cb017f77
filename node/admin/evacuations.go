package admin

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

func (s *Service) listEvacuations(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	if err := s.p.Control.Replica().ReadBarrier(ctx); err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, s.p.Control.Evacuations())
}

func (s *Service) startEvacuation(w http.ResponseWriter, r *http.Request) { s.evacuate(w, r, true) }

func (s *Service) endEvacuation(w http.ResponseWriter, r *http.Request) { s.evacuate(w, r, false) }

// evacuate starts or ends an evacuation. The order is based on the revision that this process knew when the
// request arrived.
func (s *Service) evacuate(w http.ResponseWriter, r *http.Request, out bool) {
	dataCenter := chi.URLParam(r, "data_center")
	order := &wire.EvacuationOrder{DataCenter: dataCenter, Evacuate: out, Base: s.p.Control.Evacuations().Of(dataCenter).Revision, Author: callerOf(r).Name}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	result, err := s.p.Control.Evacuate(ctx, order)
	s.writeResult(w, result, err, "see the data centres in GET /v1/members")
}

// writeResult writes the result of an order, or the reason for its rejection. remedy says where to look up
// the valid targets.
func (s *Service) writeResult(w http.ResponseWriter, result any, err error, remedy string) {
	var v *verdict.Error
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, result)
	case errors.As(err, &v) && (v.Code == verdict.CodeNotFound || v.Code == verdict.CodeInvalidRequest || v.Code == verdict.CodeKeyConflict):
		writeJSON(w, v.Status, Error{Message: v.Message, Remedy: remedy})
	default:
		s.writeError(w, err)
	}
}
