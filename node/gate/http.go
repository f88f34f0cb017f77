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
	maxRequestBody = 64 << 20 // bytes
	maxBudget      = 24 * time.Hour
	maxAllocation  = 64 << 10
	bodyTimeout    = 20 * time.Second // for an entry to send the body
)

func (s *Service) handleSubmit(w http.ResponseWriter, r *http.Request) {
	s.observeHeaders(r)
	a, refusal := s.readAttempt(w, r)
	if refusal != nil {
		s.writeRefusal(w, s.table.reject(attemptID(r), refusal))
		return
	}
	if refusal := s.table.submit(a); refusal != nil {
		s.writeRefusal(w, refusal)
		return
	}
	defer s.table.removeReader(a)
	s.recordEvent("attempt-admitted", a, "")
	s.writeResponse(w, r, a, 0)
}

func attemptID(r *http.Request) wire.AttemptID { return wire.AttemptID(chi.URLParam(r, "id")) }

func (s *Service) observeHeaders(r *http.Request) {
	s.ring.Clock.Observe(timeline.ParseStamp(r.Header.Get(wire.HeaderClock)))
	if v, err := strconv.ParseUint(r.Header.Get(wire.HeaderGateConfigVersion), 10, 64); err == nil {
		s.sync.ObserveVersion(v)
	}
}

// readAttempt parses a submitted attempt. Its incarnation is that of the gate it was addressed to: an earlier
// incarnation of this process may hold a tombstone that this one does not know.
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

// readBody reads the body into a single allocation if its length is known, unless it is so large that it must arrive before
// memory is taken for it.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	if control.SetReadDeadline(time.Now().Add(bodyTimeout)) == nil {
		defer control.SetReadDeadline(time.Time{})
	}
	body := http.MaxBytesReader(w, r.Body, maxRequestBody)
	if r.ContentLength < 0 || r.ContentLength > maxAllocation {
		return io.ReadAll(body)
	}
	buf := make([]byte, r.ContentLength)
	_, err := io.ReadFull(body, buf)
	return buf, err
}

func (s *Service) writeRefusal(w http.ResponseWriter, e *verdict.Error) {
	refusedVar.Add(1)
	s.setCommonHeaders(w.Header())
	w.Header().Set(wire.HeaderError, "true")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Status)
	json.NewEncoder(w).Encode(e)
}

func (s *Service) setCommonHeaders(h http.Header) {
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

// writeResponse streams the attempt's response from offset, followed by trailers with the end mark, length
// and checksum.
func (s *Service) writeResponse(w http.ResponseWriter, r *http.Request, a *attempt, offset int64) {
	status, upstreamHeader, failure, err := a.response.head(r.Context())
	if err != nil {
		return // the entry disconnected; it can attach again
	}
	if status == 0 {
		s.writeRefusal(w, failure)
		return
	}
	h := w.Header()
	s.setCommonHeaders(h)
	wire.ForwardResponseHeaders(h, upstreamHeader)
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps net/http from sniffing a content type
	}
	h.Set(wire.HeaderAttempt, string(a.id))
	h.Set(wire.HeaderStage, a.stage)
	h.Set(wire.HeaderUpstreamStatus, strconv.Itoa(status))
	h.Set("Trailer", responseTrailers)
	w.WriteHeader(http.StatusOK)
	s.copyResponse(w, r, a, offset)
}

const responseTrailers = wire.TrailerEnd + "," + wire.TrailerLength + "," + wire.TrailerSum + "," + wire.TrailerLoad

// copyResponse flushes an event stream as it arrives. The entry forwards any other response only once it is
// complete, so that one is written without flushes.
func (s *Service) copyResponse(w http.ResponseWriter, r *http.Request, a *attempt, offset int64) {
	flusher := http.NewResponseController(w)
	streams := strings.HasPrefix(w.Header().Get("Content-Type"), wire.ContentEventStream)
	for {
		data, end, err := a.response.next(r.Context(), offset)
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
			h.Set(wire.TrailerSum, strconv.FormatUint(a.response.checksum(), 16))
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
	s.setCommonHeaders(w.Header())
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(st)
}

func (s *Service) handleStatus(w http.ResponseWriter, r *http.Request) {
	s.writeStatus(w, s.table.status(attemptID(r)))
}

// handleCancel replies with the state after the cancellation. The caller must compare the incarnation: a
// tombstone of another incarnation proves nothing.
func (s *Service) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := attemptID(r)
	st := s.table.cancelAttempt(id, r.URL.Query().Get("abandon") == "true")
	s.ring.Record(timeline.Event{Kind: "attempt-cancelled", Attempt: string(id), Detail: string(st.State)})
	s.writeStatus(w, st)
}

func (s *Service) handleAttach(w http.ResponseWriter, r *http.Request) {
	a := s.table.addReader(attemptID(r))
	if a == nil {
		s.writeRefusal(w, verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "attempt unknown to incarnation %d", s.incarnation))
		return
	}
	defer s.table.removeReader(a)
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	length, _, dropped := a.response.size()
	switch {
	case dropped:
		s.writeRefusal(w, verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the attempt ran; its answer is no longer kept"))
	case err != nil || offset < 0 || offset > length:
		s.writeRefusal(w, verdict.New(verdict.MayHaveRun, verdict.CodeInvalidRequest, "offset out of range"))
	default:
		s.writeResponse(w, r, a, offset)
	}
}

// handleLeave lets an upstream, or the operator of its VM, take the upstream out of service with POST
// /v1/leave and return it with POST /v1/leave?cancel=true.
func (s *Service) handleLeave(w http.ResponseWriter, r *http.Request) {
	leaving := r.URL.Query().Get("cancel") != "true"
	s.Leave(leaving)
	s.log.Info("leave", "leaving", leaving)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) recordEvent(kind timeline.Kind, a *attempt, detail string) {
	s.ring.Record(timeline.Event{Kind: kind, Request: string(a.request), Attempt: string(a.id), Customer: a.customer, Detail: detail})
}
