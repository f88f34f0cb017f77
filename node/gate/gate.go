// Package gate is the agent role's core: the only way to one upstream. It
// admits, queues and runs attempts, keeps their answers for a while, and knows
// for every attempt whether it ran. Attempts of an earlier start of the
// process are unknown to it, which its incarnation number tells.
package gate

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
)

// Params are what the service needs.
type Params struct {
	dig.In
	Settings *settings.Settings
	Log      logr.Logger
	Ring     *timeline.Ring
	Sync     *configsync.Service `name:"configsync"`
	Security *security.Store     `optional:"true"`
}

// Service is the gate of one upstream.
type Service struct {
	set    settings.AgentRole
	log    logr.Logger
	ring   *timeline.Ring
	sync   *configsync.Service
	secure *security.Store
	table  *table
	client *http.Client
	once   *http.Client // for attempts that must not be sent twice
	server *http.Server
	cancel context.CancelFunc

	mu        sync.Mutex
	told      bool // told to leave
	unhealthy bool // the upstream fails its health check
	parked    bool // the upstream holds no model, or is about to drop one

	incarnation uint64
}

var (
	ranVar      = expvar.NewInt("gate_attempts_ran")
	refusedVar  = expvar.NewInt("gate_attempts_refused")
	busyVar     = expvar.NewFloat("gate_busy_seconds")
	queueVar    = expvar.NewInt("gate_queued")
	inFlightVar = expvar.NewInt("gate_running")
)

const (
	defaultConcurrency = 8
	defaultQueue       = 64
	sweepInterval      = 20 * time.Millisecond
	maxRequestBody     = 64 << 20
	idleConns          = 64
	readHeaderTimeout  = 10 * time.Second
	idleTimeout        = 2 * time.Minute
)

// New returns the gate; Start opens its listener.
func New(p Params) *Service {
	s := &Service{set: p.Settings.Agent, log: p.Log, ring: p.Ring, sync: p.Sync, secure: p.Security, incarnation: p.Sync.Self().Incarnation}
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}}
	// On a fresh connection the transport never repeats a request by itself.
	s.once = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	s.table = newTable(clockwork.NewRealClock(), s.run, s.limitsOf(nil))
	p.Sync.OnChange(func(v *configsync.View) {
		sv := v.Config.Services[s.set.Service]
		s.table.setLimits(s.limitsOf(sv), sv != nil && sv.QueueDiscipline == "fifo")
	})
	r := chi.NewRouter()
	r.Post("/v1/attempts/{id}", s.handleSubmit)
	r.Get("/v1/attempts/{id}", s.handleStatus)
	r.Post("/v1/attempts/{id}/cancel", s.handleCancel)
	r.Get("/v1/attempts/{id}/answer", s.handleAttach)
	r.Post("/v1/leave", s.handleLeave)
	s.server = &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	return s
}

func (s *Service) limitsOf(sv *optext.Service) limits {
	l := limits{concurrency: defaultConcurrency, queueLength: defaultQueue, refuseLate: true, keep: s.set.KeepAnswers}
	if sv != nil {
		l.concurrency, l.queueLength = sv.Concurrency, sv.QueueLength
	}
	return l
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	l, err := s.secure.Listen(s.set.Listen, security.Peers)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.server.Serve(l)
	go s.sweep(ctx)
	return nil
}

// Stop implements kernel.Stopper: no new work, then every attempt in flight
// is brought to its end.
func (s *Service) Stop(ctx context.Context) error {
	s.Leave(true)
	defer s.cancel()
	for {
		queued, running, _ := s.table.load()
		if queued+running == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("gate: %d attempts cut at the end of the drain time", queued+running)
		case <-time.After(sweepInterval):
		}
	}
	return s.server.Shutdown(ctx)
}

// Leave stops the admission of new work, or opens it again. It takes effect
// here at once and is announced to the entries.
func (s *Service) Leave(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = leaving
	s.applyLeaving()
}

// SetHealthy says whether the upstream passes its health check. One that does
// not gets no new work.
func (s *Service) SetHealthy(healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unhealthy = !healthy
	s.applyLeaving()
}

func (s *Service) applyLeaving() {
	leaving := s.told || s.unhealthy || s.parked
	s.table.setLeaving(leaving)
	s.sync.SetLeaving(leaving)
}

func (s *Service) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.table.sweep()
			queued, running, _ := s.table.load()
			queueVar.Set(int64(queued))
			inFlightVar.Set(int64(running))
		}
	}
}

func (s *Service) handleSubmit(w http.ResponseWriter, r *http.Request) {
	s.observe(r)
	a, refusal := s.readAttempt(w, r)
	if refusal == nil {
		refusal = s.checkIncarnation(r)
	}
	if refusal == nil {
		refusal = s.table.submit(a)
	}
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	s.record("attempt-admitted", a, "")
	s.writeAnswer(w, r, a, 0)
}

func (s *Service) observe(r *http.Request) {
	s.ring.Clock.Observe(timeline.ParseStamp(r.Header.Get(wire.HeaderClock)))
	if v, err := strconv.ParseUint(r.Header.Get(wire.HeaderVersion), 10, 64); err == nil {
		s.sync.Saw(v)
	}
}

// checkIncarnation refuses an attempt that was meant for an earlier start of
// this process: that one may hold a tombstone which this one does not know.
func (s *Service) checkIncarnation(r *http.Request) *verdict.Error {
	want := r.Header.Get(wire.HeaderIncarnation)
	if want == strconv.FormatUint(s.incarnation, 10) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeIncarnation, "this gate was restarted; choose again").After(0)
}

func (s *Service) readAttempt(w http.ResponseWriter, r *http.Request) (*attempt, *verdict.Error) {
	h := r.Header
	budget, err := strconv.ParseInt(h.Get(wire.HeaderBudget), 10, 64)
	if err != nil || budget < 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "header %s is not a number of milliseconds", wire.HeaderBudget)
	}
	share, err := strconv.ParseFloat(h.Get(wire.HeaderShare), 64)
	if err != nil {
		share = 1
	}
	deadline := time.Now().Add(time.Duration(budget) * time.Millisecond)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "the request body was cut: %v", err)
	}
	return &attempt{
		id: wire.AttemptID(chi.URLParam(r, "id")), request: wire.RequestID(h.Get(wire.HeaderRequestID)),
		stage: h.Get(wire.HeaderStage), customer: h.Get(wire.HeaderCustomer), class: optext.Class(h.Get(wire.HeaderClass)),
		share: share, repeatable: h.Get(wire.HeaderRepeatable) == "true",
		method: h.Get(wire.HeaderMethod), path: h.Get(wire.HeaderPath), header: h.Get("Content-Type"),
		body: body, deadline: deadline, gateTime: readGateTime(h),
	}, nil
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
		h.Set(wire.HeaderVersion, strconv.FormatUint(v.Version, 10))
	}
}

func (s *Service) loadString() string {
	queued, running, limit := s.table.load()
	return fmt.Sprintf("%d/%d/%d", queued, running, limit)
}

// writeAnswer streams an attempt's answer from offset, then the end mark,
// length and checksum as trailers.
func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, a *attempt, offset int64) {
	status, contentType, failure, err := a.answer.head(r.Context())
	if err != nil {
		return // the entry went away; it can attach again
	}
	if status == 0 && failure != nil {
		s.refuse(w, failure)
		return
	}
	h := w.Header()
	s.setCommon(h)
	h.Set(wire.HeaderAttempt, string(a.id))
	h.Set(wire.HeaderStage, a.stage)
	h.Set(wire.HeaderStatus, strconv.Itoa(status))
	h.Set("Content-Type", contentType)
	h.Set("Trailer", wire.TrailerEnd+","+wire.TrailerLength+","+wire.TrailerSum+","+wire.TrailerLoad)
	w.WriteHeader(http.StatusOK)
	s.copyAnswer(w, r, a, offset)
}

func (s *Service) copyAnswer(w http.ResponseWriter, r *http.Request, a *attempt, offset int64) {
	flusher := http.NewResponseController(w)
	for {
		data, end, err := a.answer.next(r.Context(), offset)
		if err != nil {
			return
		}
		if end != "" {
			w.Header().Set(wire.TrailerEnd, end)
			w.Header().Set(wire.TrailerLength, strconv.FormatInt(a.answer.length(), 10))
			w.Header().Set(wire.TrailerSum, strconv.FormatUint(a.answer.checksum(), 16))
			w.Header().Set(wire.TrailerLoad, s.loadString())
			return
		}
		if _, err := w.Write(data); err != nil {
			return
		}
		offset += int64(len(data))
		if a.answer.endMark() == "" {
			flusher.Flush()
		}
	}
}

func (s *Service) writeStatus(w http.ResponseWriter, st wire.AttemptStatus) {
	st.Incarnation = s.incarnation
	st.GateTime = s.table.gateTime()
	s.setCommon(w.Header())
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(st)
}

func (s *Service) handleStatus(w http.ResponseWriter, r *http.Request) {
	s.writeStatus(w, s.table.status(wire.AttemptID(chi.URLParam(r, "id"))))
}

// handleCancel answers with the state after the cancellation. The caller must
// compare the incarnation: a tombstone of another incarnation proves nothing.
func (s *Service) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := wire.AttemptID(chi.URLParam(r, "id"))
	st := s.table.cancelClaimed(id, r.URL.Query().Get("abandon") == "true", readGateTime(r.Header))
	s.ring.Record(timeline.Event{Kind: "attempt-cancelled", Attempt: string(id), Detail: string(st.State)})
	s.writeStatus(w, st)
}

func (s *Service) handleAttach(w http.ResponseWriter, r *http.Request) {
	a := s.table.find(wire.AttemptID(chi.URLParam(r, "id")))
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	switch {
	case a == nil:
		s.refuse(w, verdict.New(verdict.MayHaveRun, verdict.CodeUnknown, "attempt unknown to incarnation %d", s.incarnation))
	case err != nil || offset < 0 || offset > a.answer.length():
		s.refuse(w, verdict.New(verdict.MayHaveRun, verdict.CodeInvalid, "offset out of range"))
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
