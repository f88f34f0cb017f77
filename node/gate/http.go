package gate

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

const (
	maxRequestBody = 64 << 20
	maxBudget      = 24 * time.Hour
)

func (s *Service) handleSubmit(w http.ResponseWriter, r *http.Request) {
	s.observe(r)
	a, refusal := s.readAttempt(w, r)
	if refusal != nil {
		s.refuse(w, s.table.reject(attemptID(r), refusal))
		return
	}
	if refusal := s.table.submit(a); refusal != nil {
		s.refuse(w, refusal)
		return
	}
	defer s.table.leave(a)
	s.record("attempt-admitted", a, "")
	s.writeAnswer(w, r, a, 0)
}

func attemptID(r *http.Request) wire.AttemptID { return wire.AttemptID(chi.URLParam(r, "id")) }

func (s *Service) observe(r *http.Request) {
	s.ring.Clock.Observe(timeline.ParseStamp(r.Header.Get(wire.HeaderClock)))
	if v, err := strconv.ParseUint(r.Header.Get(wire.HeaderGateConfigVersion), 10, 64); err == nil {
		s.sync.Saw(v)
	}
}

// readAttempt reads an attempt. Its incarnation is the one of the gate that it
// is meant for: an earlier start of this process may hold a tombstone that this
// one does not know.
func (s *Service) readAttempt(w http.ResponseWriter, r *http.Request) (*attempt, *verdict.Error) {
	h := r.Header
	received := time.Now()
	budget, err := strconv.ParseInt(h.Get(wire.HeaderBudget), 10, 64)
	if err != nil || budget < 0 || budget > maxBudget.Milliseconds() {
		return nil, invalid("header %s is not a number of milliseconds", wire.HeaderBudget)
	}
	incarnation, err := strconv.ParseUint(h.Get(wire.HeaderIncarnation), 10, 64)
	if err != nil {
		return nil, invalid("header %s is not a number", wire.HeaderIncarnation)
	}
	share, err := strconv.ParseFloat(h.Get(wire.HeaderShare), 64)
	if err != nil {
		share = 1
	}
	path := h.Get(wire.HeaderPath)
	if _, err := url.ParseRequestURI(path); err != nil || !strings.HasPrefix(path, "/") {
		return nil, invalid("header %s is not a path", wire.HeaderPath)
	}
	body, err := readBody(w, r)
	if err != nil {
		return nil, invalid("the request body was cut: %v", err)
	}
	a := &attempt{
		id: attemptID(r), incarnation: incarnation, request: wire.RequestID(h.Get(wire.HeaderRequestID)),
		stage: h.Get(wire.HeaderStage), customer: h.Get(wire.HeaderCustomer), class: optext.Class(h.Get(wire.HeaderClass)),
		share: share, repeatable: h.Get(wire.HeaderRepeatable) == "true",
		method: h.Get(wire.HeaderMethod), path: path, header: http.Header{},
		body: body, deadline: received.Add(time.Duration(budget) * time.Millisecond), readers: 1,
		claimed: h.Get(wire.HeaderClaimed) == "true",
	}
	wire.ForwardRequestHeaders(a.header, h)
	return a, nil
}

func invalid(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, format, args...)
}

// readBody reads a whole body into one piece when its length is known.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body := http.MaxBytesReader(w, r.Body, maxRequestBody)
	if r.ContentLength < 0 || r.ContentLength > maxRequestBody {
		return io.ReadAll(body)
	}
	buf := make([]byte, r.ContentLength)
	_, err := io.ReadFull(body, buf)
	return buf, err
}

func (s *Service) refuse(w http.ResponseWriter, e *verdict.Error) {
	refusedVar.Add(1)
	s.setCommon(w.Header())
	w.Header().Set(wire.HeaderError, "true")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Status)
	json.NewEncoder(w).Encode(e)
}

func (s *Service) setCommon(h http.Header) {
	h.Set(wire.HeaderIncarnation, strconv.FormatUint(s.incarnation, 10))
	h.Set(wire.HeaderLoad, s.loadString())
	h.Set(wire.HeaderClock, s.ring.Clock.Now().String())
	if v := s.sync.View(); v != nil {
		h.Set(wire.HeaderGateConfigVersion, strconv.FormatUint(v.Version, 10))
	}
}

func (s *Service) loadString() string {
	queued, running, limit := s.table.load()
	return fmt.Sprintf("%d/%d/%d", queued, running, limit)
}

// writeAnswer streams an attempt's answer from offset, then the end mark,
// length and checksum as trailers.
func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, a *attempt, offset int64) {
	status, passed, failure, err := a.answer.head(r.Context())
	if err != nil {
		return // the entry went away; it can attach again
	}
	if status == 0 {
		s.refuse(w, failure)
		return
	}
	h := w.Header()
	s.setCommon(h)
	wire.ForwardResponseHeaders(h, passed)
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // no guess from the bytes
	}
	h.Set(wire.HeaderAttempt, string(a.id))
	h.Set(wire.HeaderStage, a.stage)
	h.Set(wire.HeaderUpstreamStatus, strconv.Itoa(status))
	h.Set("Trailer", answerTrailers)
	w.WriteHeader(http.StatusOK)
	s.copyAnswer(w, r, a, offset)
}

const answerTrailers = wire.TrailerEnd + "," + wire.TrailerLength + "," + wire.TrailerSum + "," + wire.TrailerLoad

// copyAnswer sends an event stream's bytes on as they come. An entry passes on
// any other answer only when it is whole, so that one leaves in as few writes
// as its length allows.
func (s *Service) copyAnswer(w http.ResponseWriter, r *http.Request, a *attempt, offset int64) {
	flusher := http.NewResponseController(w)
	streams := strings.HasPrefix(w.Header().Get("Content-Type"), wire.ContentEventStream)
	for {
		data, end, err := a.answer.next(r.Context(), offset)
		if err != nil {
			return
		}
		if _, err := w.Write(data); err != nil {
			return
		}
		offset += int64(len(data))
		if end != "" {
			h := w.Header()
			h.Set(wire.TrailerEnd, end)
			h.Set(wire.TrailerLength, strconv.FormatInt(offset, 10))
			h.Set(wire.TrailerSum, strconv.FormatUint(a.answer.checksum(), 16))
			h.Set(wire.TrailerLoad, s.loadString())
			return
		}
		if streams {
			flusher.Flush()
		}
	}
}

func (s *Service) writeStatus(w http.ResponseWriter, st wire.AttemptStatus) {
	st.Incarnation = s.incarnation
	s.setCommon(w.Header())
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(st)
}

func (s *Service) handleStatus(w http.ResponseWriter, r *http.Request) {
	s.writeStatus(w, s.table.status(attemptID(r)))
}

// handleCancel answers with the state after the cancellation. The caller must
// compare the incarnation: a tombstone of another incarnation proves nothing.
func (s *Service) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := attemptID(r)
	st := s.table.cancelAttempt(id, r.URL.Query().Get("abandon") == "true")
	s.ring.Record(timeline.Event{Kind: "attempt-cancelled", Attempt: string(id), Detail: string(st.State)})
	s.writeStatus(w, st)
}

func (s *Service) handleAttach(w http.ResponseWriter, r *http.Request) {
	a := s.table.join(attemptID(r))
	if a == nil {
		s.refuse(w, verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "attempt unknown to incarnation %d", s.incarnation))
		return
	}
	defer s.table.leave(a)
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	length, _, dropped := a.answer.size()
	switch {
	case dropped:
		s.refuse(w, verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the attempt ran; its answer is no longer kept"))
	case err != nil || offset < 0 || offset > length:
		s.refuse(w, verdict.New(verdict.MayHaveRun, verdict.CodeInvalidRequest, "offset out of range"))
	default:
		s.writeAnswer(w, r, a, offset)
	}
}

// handleLeave is how an upstream, or the operator of its VM, takes it out of
// service: POST /v1/leave, and POST /v1/leave?cancel=true to come back.
func (s *Service) handleLeave(w http.ResponseWriter, r *http.Request) {
	leaving := r.URL.Query().Get("cancel") != "true"
	s.Leave(leaving)
	s.log.Info("leave", "leaving", leaving)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) record(kind timeline.Kind, a *attempt, detail string) {
	s.ring.Record(timeline.Event{Kind: kind, Request: string(a.request), Attempt: string(a.id), Customer: a.customer, Detail: detail})
}
