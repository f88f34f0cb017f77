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
		s.fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, s.p.Control.Evacuations())
}

func (s *Service) startEvacuation(w http.ResponseWriter, r *http.Request) { s.evacuate(w, r, true) }

func (s *Service) endEvacuation(w http.ResponseWriter, r *http.Request) { s.evacuate(w, r, false) }

// evacuate carries out an order for the revision that this process knew when the call came.
func (s *Service) evacuate(w http.ResponseWriter, r *http.Request, out bool) {
	dataCenter := chi.URLParam(r, "data_center")
	order := &wire.EvacuationOrder{DataCenter: dataCenter, Evacuate: out, Base: s.p.Control.Evacuations().Of(dataCenter).Revision, Author: callerOf(r).Name}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	result, err := s.p.Control.Evacuate(ctx, order)
	s.answer(w, result, err, "see the data centres in GET /v1/members")
}

// answer writes the result of an order, or why it had none. remedy is where to see what orders may name.
func (s *Service) answer(w http.ResponseWriter, result any, err error, remedy string) {
	var v *verdict.Error
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, result)
	case errors.As(err, &v) && (v.Code == verdict.CodeNotFound || v.Code == verdict.CodeInvalidRequest || v.Code == verdict.CodeKeyConflict):
		writeJSON(w, v.Status, Error{Message: v.Message, Remedy: remedy})
	default:
		s.fail(w, err)
	}
}
