package admin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"caperdrum.org/api/strictini"
	"caperdrum.org/api/wire"
)

// maxOrderBytes limits the body of a rollout order.
const maxOrderBytes = 64 << 10

func (s *Service) listRollouts(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	if err := s.p.Control.Replica().ReadBarrier(ctx); err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, s.p.Control.Rollouts())
}

// startRollout starts a rollout. The order is based on the revision that this process knew when the request
// arrived.
func (s *Service) startRollout(w http.ResponseWriter, r *http.Request) {
	var order wire.RolloutOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&order); err != nil {
		s.writeError(w, strictini.Problems{{File: "request", Fault: err.Error(), Remedy: "send {target, span} as JSON, the span in nanoseconds"}})
		return
	}
	order.Service, order.Author = chi.URLParam(r, "service"), callerOf(r).Name
	order.Base = s.p.Control.Rollouts().Of(order.Service).Revision
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	result, err := s.p.Control.StartRollout(ctx, &order)
	s.writeResult(w, result, err, remedyRollout)
}

func (s *Service) abortRollout(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	result, err := s.p.Control.AbortRollout(ctx, chi.URLParam(r, "service"), callerOf(r).Name)
	s.writeResult(w, result, err, remedyRollout)
}

const remedyRollout = "see the roll-outs in GET /v1/rollouts"
