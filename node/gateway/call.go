package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/admission"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/pipeline"
)

// call is one caller's request.
type call struct {
	id         wire.RequestID
	received   time.Time
	view       *configsync.View
	customer   *optext.Customer
	timeout    time.Duration // zero if the caller set none
	body       []byte
	pipeline   *optext.Pipeline // nil for a single call
	service    string           // of a single call
	status     int              // of the response, once known
	deadlineAt time.Time        // the deadline, once known
	release    func()           // releases the admission; nil when refused
	headerSent bool             // the response's status line was sent
}

// admissionWork returns the load that the request puts on the services.
func (c *call) admissionWork() admission.Work {
	if c.pipeline != nil {
		return admission.PipelineWork(c.pipeline, c.view.Config.Services)
	}
	return admission.CallWork(c.view.Config.Services[c.service])
}

func (c *call) customerName() string {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}

const (
	maxRequestID   = 128
	bodyTimeout    = 20 * time.Second // for the caller to send the body
	defaultTimeout = 30 * time.Second // for a call of a plain service without a timeout header
	serviceClass   = optext.Interactive
)

// readRequest reads headers and body. The returned call is never nil.
func (s *Service) readRequest(w http.ResponseWriter, r *http.Request) (*call, error) {
	c := &call{id: wire.RequestID(r.Header.Get(wire.HeaderRequestID)), received: time.Now()}
	if c.id == "" || len(c.id) > maxRequestID {
		c.id = wire.RequestID(uuid.NewString())
	}
	w.Header().Set(wire.HeaderRequestID, string(c.id))
	if refusal := s.checkServing(); refusal != nil {
		return c, refusal
	}
	c.view = s.p.Sync.View()
	w.Header().Set(wire.HeaderConfigVersion, strconv.FormatUint(c.view.Version, 10))
	name := r.Header.Get(wire.HeaderCustomer)
	c.customer = c.view.Config.Customers[name]
	if c.customer == nil {
		return c, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "customer %q is not known: set the header %s to a customer of the operators' text", name, wire.HeaderCustomer)
	}
	if len(c.customer.Regions) > 0 {
		return c, verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "customer %q may be served in regions %s only, and pipelines keep to no region: use a route", name, strings.Join(c.customer.Regions, ", "))
	}
	if err := c.readTimeout(r); err != nil {
		return c, err
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return c, bodyError(err, s.set.MaxBodyBytes)
	}
	c.body = body
	s.p.Ring.Record(timeline.Event{Kind: "request", Request: string(c.id), Customer: name, Detail: r.Method + " " + r.URL.Path})
	return c, nil
}

// readBody reads the whole body. A caller that sends it too slowly is disconnected.
func (s *Service) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > s.set.MaxBodyBytes {
		return nil, &http.MaxBytesError{Limit: s.set.MaxBodyBytes}
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.set.MaxBodyBytes))
	control.SetReadDeadline(time.Time{})
	return body, err
}

func (c *call) readTimeout(r *http.Request) error {
	raw := r.Header.Get(wire.HeaderTimeout)
	if raw == "" {
		return nil
	}
	d, err := time.ParseDuration(raw)
	if err != nil || d <= 0 {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "header %s: %q is not a duration: write it like 1.5s or 800ms", wire.HeaderTimeout, raw)
	}
	c.timeout = d
	return nil
}

func bodyError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body exceeds %d bytes: send less or raise max_body_bytes", limit)
	}
	return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "the body was cut: %v", err)
}

// setDeadline sets and returns the deadline: the caller's timeout after the request arrived, or the given
// limit if that is shorter.
func (c *call) setDeadline(limit time.Duration) time.Time {
	if c.timeout > 0 && c.timeout < limit {
		limit = c.timeout
	}
	c.deadlineAt = c.received.Add(limit)
	return c.deadlineAt
}

func (s *Service) handleChat(w http.ResponseWriter, r *http.Request, c *call) error {
	in, err := readInput(c.body)
	if err != nil {
		return err
	}
	p := c.view.Config.ByModel(in.Model)
	if p == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no pipeline serves model %q: name one that the operators' text lists", in.Model)
	}
	if len(in.Messages) == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "the body has no messages")
	}
	return s.runPipeline(w, r, c, p, in)
}

func (s *Service) handlePipeline(w http.ResponseWriter, r *http.Request, c *call) error {
	name := chi.URLParam(r, "pipeline")
	p := c.view.Config.Pipelines[name]
	if p == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "pipeline %q is not in the operators' text", name)
	}
	in, err := readInput(c.body)
	if err != nil {
		return err
	}
	return s.runPipeline(w, r, c, p, in)
}

func readInput(body []byte) (pipeline.Input, error) {
	in := pipeline.Input{}
	if err := json.Unmarshal(body, &in); err != nil {
		return in, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "the body is not the expected JSON: %v", err)
	}
	in.Raw = body
	if in.Query == "" && len(in.Messages) > 0 {
		query, err := lastUserText(in.Messages)
		if err != nil {
			return in, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "messages must be a list of objects with role and content: %v", err)
		}
		in.Query = query
	}
	return in, nil
}

// lastUserText returns the text of the last user message, which a pipeline with stages before its engine uses
// as the retrieval query. Content that is not plain text counts as empty.
func lastUserText(messages json.RawMessage) (string, error) {
	var list []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(messages, &list); err != nil {
		return "", err
	}
	for i := len(list) - 1; i >= 0; i-- {
		var text string
		if list[i].Role == "user" && json.Unmarshal(list[i].Content, &text) == nil {
			return text, nil
		}
	}
	return "", nil
}

func (s *Service) runPipeline(w http.ResponseWriter, r *http.Request, c *call, p *optext.Pipeline, in pipeline.Input) error {
	c.pipeline = p
	if err := s.admitCall(c); err != nil {
		return err
	}
	deadline := c.setDeadline(p.Deadline)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	res, err := s.p.Pipeline.Run(ctx, &pipeline.Request{ID: c.id, Customer: c.customer, Pipeline: p, Config: c.view.Config, Deadline: deadline, Input: in})
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return c.writeResponse(w, res.Status, res.ContentType, res.Body)
}

// handleService forwards a call to a plain service. Calls that are not repeatable and carry an idempotency
// key go through the ledger.
func (s *Service) handleService(w http.ResponseWriter, r *http.Request, c *call) error {
	name := chi.URLParam(r, "service")
	sv := c.view.Config.Services[name]
	if sv == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "service %q is not in the operators' text", name)
	}
	c.service = name
	if err := s.admitCall(c); err != nil {
		return err
	}
	deadline := c.setDeadline(defaultTimeout)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	path := "/" + chi.URLParam(r, "*")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	class := serviceClass
	if !sv.Repeatable {
		class = optext.Confirmation
	}
	d := dispatch.Call{Request: c.id, Stage: name, Service: name, Customer: c.customer.Name, Class: string(class), Share: c.customer.Share,
		Repeatable: sv.Repeatable, Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Header: r.Header, Body: c.body, Deadline: deadline}
	if key := r.Header.Get(wire.HeaderIdempotencyKey); key != "" && !sv.Repeatable {
		return s.callWithKey(ctx, w, c, d, key, sv)
	}
	a, err := s.p.Pipeline.Call(ctx, d, sv)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	wire.ForwardResponseHeaders(w.Header(), a.Header)
	return c.writeResponse(w, a.Status, a.ContentType, a.Body)
}

func (s *Service) callWithKey(ctx context.Context, w http.ResponseWriter, c *call, d dispatch.Call, key string, sv *optext.Service) error {
	s.p.Admission.Report(sv.Name, false)
	res, err := s.p.Ledger.Run(ctx, key, d, sv.RoutingPolicy)
	if verdict.LacksCapacity(err) {
		s.p.Admission.Report(sv.Name, true)
	}
	if err != nil {
		return err
	}
	if res.Replayed {
		w.Header().Set(wire.HeaderReplayed, "true")
	}
	h := w.Header()
	h.Set(wire.HeaderVerdict, verdict.Ran.String())
	h.Set("Content-Type", res.Outcome.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(res.Outcome.Body)))
	c.headerSent = true
	w.WriteHeader(res.Outcome.Status)
	_, err = w.Write(res.Outcome.Body)
	return err
}

const copyChunk = 32 << 10 // bytes

// writeResponse copies a response to the caller. A plain response is buffered until it is complete, so that a
// failure can still be reported by status. An event stream is forwarded as it arrives, and cut if its source
// is.
func (c *call) writeResponse(w http.ResponseWriter, status int, contentType string, body io.Reader) error {
	c.status = status
	if !strings.HasPrefix(contentType, wire.ContentEventStream) {
		complete, err := io.ReadAll(body)
		if err != nil {
			return err
		}
		h := w.Header()
		h.Set(wire.HeaderVerdict, verdict.Ran.String())
		h.Set("Content-Type", contentType)
		h.Set("Content-Length", strconv.Itoa(len(complete)))
		c.headerSent = true
		w.WriteHeader(status)
		_, err = w.Write(complete)
		return err
	}
	h := w.Header()
	h.Set(wire.HeaderVerdict, verdict.Ran.String())
	h.Set("Content-Type", contentType)
	c.headerSent = true
	w.WriteHeader(status)
	return copyFlushing(w, body)
}

func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	flusher := http.NewResponseController(w)
	buf := make([]byte, copyChunk)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			flusher.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
