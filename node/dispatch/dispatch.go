// Package dispatch sends one attempt from an entry to a gate and reads the response. It turns every failure
// into an error with a verdict, and never takes a truncated response for a complete one.
package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/routing"
	"caperdrum.org/node/security"
)

// Call is one attempt's request to an upstream.
type Call struct {
	Request     wire.RequestID
	Attempt     wire.AttemptID
	Stage       string
	Service     string
	Customer    string
	Class       string
	Share       float64
	Repeatable  bool
	Method      string
	Path        string
	ContentType string
	Header      http.Header // further request headers; wire.ForwardRequestHeaders selects those that are forwarded
	Body        []byte
	Deadline    time.Time
	Claimed     bool // an idempotency key is claimed for the attempt
}

// Params are the dependencies of the service.
type Params struct {
	dig.In
	Ring     *timeline.Ring
	Sync     *configsync.Service `name:"configsync"`
	Security *security.Store     `optional:"true"`
}

// Service sends attempts.
type Service struct {
	ring   *timeline.Ring
	sync   *configsync.Service
	client *http.Client
}

const (
	statusTimeout     = time.Second           // for a gate to report or cancel an attempt
	lateCancelTimeout = 50 * time.Millisecond // the same once the caller is owed a response
	maxReattach       = 3
	idleConnections   = 256
	idleTimeout       = 90 * time.Second // shorter than the gate's
	maxStatusBytes    = 64 << 10         // of a gate's status or refusal
)

// New returns the service.
func New(p Params) *Service {
	t := &http.Transport{DialContext: p.Security.DialContext, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: 2 * wire.MaxResponseHeadBytes}
	client := &http.Client{Transport: wire.CheckResponses(t), CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return &Service{ring: p.Ring, sync: p.Sync, client: client}
}

// Response is an upstream's response. Body returns io.EOF only when the response was complete; any other end is
// an error with a verdict. Body must be closed.
type Response struct {
	Status      int
	ContentType string
	Header      http.Header // the headers that are forwarded to the caller
	Body        io.ReadCloser
}

// Do submits an attempt and returns once the upstream's response header arrived. The attempt's id must come
// from wire.NewAttemptID and be used once.
func (s *Service) Do(ctx context.Context, e *routing.Endpoint, c Call) (*Response, error) {
	resp, err := s.submit(ctx, e, c)
	if err == nil {
		var a *Response
		if a, err = s.openResponse(ctx, e, c, resp); !errors.Is(err, errNotOurResponse) {
			return a, err
		}
	}
	return s.recoverAttempt(ctx, e, c, err)
}

func (s *Service) submit(ctx context.Context, e *routing.Endpoint, c Call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, attemptURL(e, c.Attempt, ""), bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport never sends a body twice. The gate would refuse the second copy, but the
	// response to the first would be lost.
	req.GetBody = nil
	h := req.Header
	wire.ForwardRequestHeaders(h, c.Header)
	s.setCommonHeaders(h)
	if c.ContentType != "" {
		h.Set("Content-Type", c.ContentType)
	}
	h.Set(wire.HeaderRequestID, string(c.Request))
	h.Set(wire.HeaderStage, c.Stage)
	h.Set(wire.HeaderService, c.Service)
	h.Set(wire.HeaderCustomer, c.Customer)
	h.Set(wire.HeaderClass, c.Class)
	h.Set(wire.HeaderShare, strconv.FormatFloat(c.Share, 'g', -1, 64))
	if c.Claimed {
		h.Set(wire.HeaderClaimed, "true")
	}
	h.Set(wire.HeaderRepeatable, strconv.FormatBool(c.Repeatable))
	h.Set(wire.HeaderMethod, c.Method)
	h.Set(wire.HeaderPath, c.Path)
	h.Set(wire.HeaderIncarnation, strconv.FormatUint(e.Member.Incarnation, 10))
	h.Set(wire.HeaderBudget, strconv.FormatInt(max(time.Until(c.Deadline).Milliseconds(), 0), 10))
	return s.client.Do(req)
}

func attemptURL(e *routing.Endpoint, id wire.AttemptID, rest string) string {
	return "http://" + e.Member.Gate + "/v1/attempts/" + url.PathEscape(string(id)) + rest
}

func (s *Service) setCommonHeaders(h http.Header) {
	h.Set(wire.HeaderClock, s.ring.Clock.Now().String())
	if v := s.sync.View(); v != nil {
		h.Set(wire.HeaderGateConfigVersion, strconv.FormatUint(v.Version, 10))
	}
}

func (s *Service) observeHeaders(e *routing.Endpoint, h http.Header) {
	s.ring.Clock.Observe(timeline.ParseStamp(h.Get(wire.HeaderClock)))
	if v, err := strconv.ParseUint(h.Get(wire.HeaderGateConfigVersion), 10, 64); err == nil {
		s.sync.ObserveVersion(v)
	}
	reportLoad(e, h.Get(wire.HeaderLoad))
}

func reportLoad(e *routing.Endpoint, load string) {
	parts := strings.Split(load, "/")
	if len(parts) != 3 {
		return
	}
	var n [3]int64
	for i, p := range parts {
		v, err := strconv.ParseInt(p, 10, 64)
		if err != nil {
			return
		}
		n[i] = v
	}
	e.Report(n[0], n[1], n[2])
}

// errNotOurResponse is returned for a response that says nothing about the attempt.
const errNotOurResponse = errors.ConstError("the response tells nothing about the attempt")

// openResponse checks a gate's response and wraps its body. The error is a verdict.Error from the gate, or
// errNotOurResponse.
func (s *Service) openResponse(ctx context.Context, e *routing.Endpoint, c Call, resp *http.Response) (*Response, error) {
	s.observeHeaders(e, resp.Header)
	if resp.Header.Get(wire.HeaderError) != "" {
		defer resp.Body.Close()
		return nil, decodeRefusal(resp)
	}
	status, err := strconv.Atoi(resp.Header.Get(wire.HeaderUpstreamStatus))
	if err != nil || !matchesAttempt(resp, e, c) {
		resp.Body.Close()
		return nil, errNotOurResponse
	}
	body := &bodyReader{s: s, ctx: ctx, endpoint: e, call: c, resp: resp, sum: xxhash.New()}
	a := &Response{Status: status, ContentType: resp.Header.Get("Content-Type"), Header: http.Header{}, Body: body}
	wire.ForwardResponseHeaders(a.Header, resp.Header)
	return a, nil
}

func decodeRefusal(resp *http.Response) error {
	v := &verdict.Error{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(v); err != nil || v.Code == "" || v.Status == 0 {
		return errNotOurResponse
	}
	return v
}

// matchesAttempt reports whether a response belongs to this attempt and comes from the incarnation of the
// gate that it was sent to.
func matchesAttempt(resp *http.Response, e *routing.Endpoint, c Call) bool {
	h := resp.Header
	return resp.StatusCode == http.StatusOK && h.Get(wire.HeaderAttempt) == string(c.Attempt) && h.Get(wire.HeaderStage) == c.Stage &&
		h.Get(wire.HeaderIncarnation) == strconv.FormatUint(e.Member.Incarnation, 10)
}

// recoverAttempt finds out what became of an attempt whose response was lost. It cancels the attempt if it
// has not started, and otherwise attaches to its response.
func (s *Service) recoverAttempt(ctx context.Context, e *routing.Endpoint, c Call, cause error) (*Response, error) {
	var op *net.OpError
	if errors.As(cause, &op) && op.Op == "dial" {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "the gate of %s is not reached", e.Member.ID)
	}
	if ctx.Err() != nil || !time.Now().Before(c.Deadline) {
		return nil, s.cancelAbandoned(e, c)
	}
	st, err := s.Cancel(e, c.Attempt, false)
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the connection to %s was lost: %v", e.Member.ID, cause)
	}
	if v := s.verdictAfterCancel(e, st); v != nil {
		return nil, v
	}
	if a, err := s.Attach(ctx, e, c, 0); err == nil || !errors.Is(err, errNotOurResponse) {
		return a, err
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the answer of %s was lost", e.Member.ID)
}

// cancelAbandoned makes sure that an attempt does not start after its caller has disconnected or its deadline
// has passed. It returns within lateCancelTimeout and then continues the cancellation in the background.
func (s *Service) cancelAbandoned(e *routing.Endpoint, c Call) error {
	ctx, cancel := context.WithTimeout(context.Background(), lateCancelTimeout)
	defer cancel()
	st, err := s.cancelCall(ctx, e, c.Attempt, c.Repeatable)
	if err != nil {
		go s.Cancel(e, c.Attempt, c.Repeatable)
	} else if v := s.verdictAfterCancel(e, st); v != nil {
		return v
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "the deadline passed before an answer came")
}

// verdictAfterCancel returns the verdict that follows from the status after a cancellation, or nil if the
// attempt has started.
func (s *Service) verdictAfterCancel(e *routing.Endpoint, st wire.AttemptStatus) *verdict.Error {
	switch {
	case st.Incarnation != e.Member.Incarnation:
		return verdict.New(verdict.MayHaveRun, verdict.CodeIncarnationChanged, "the gate of %s was restarted", e.Member.ID)
	case st.State == wire.AttemptTombstoned:
		return verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "the attempt at %s is cancelled", e.Member.ID).WithRetryAfter(statusTimeout)
	case st.State != wire.AttemptRunning && st.State != wire.AttemptDone:
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the gate of %s does not know the attempt", e.Member.ID)
	}
	return nil
}

// Cancel makes sure that an attempt that has not started never does. With abandon set, it cancels a running
// one too.
func (s *Service) Cancel(e *routing.Endpoint, id wire.AttemptID, abandon bool) (wire.AttemptStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return s.cancelCall(ctx, e, id, abandon)
}

func (s *Service) cancelCall(ctx context.Context, e *routing.Endpoint, id wire.AttemptID, abandon bool) (wire.AttemptStatus, error) {
	rest := "/cancel"
	if abandon {
		rest += "?abandon=true"
	}
	return s.statusCall(ctx, e, http.MethodPost, attemptURL(e, id, rest))
}

// CancelClaimed makes sure that the attempt of a claimed idempotency key never starts if it has not yet. It
// does not cancel a running one. The state AttemptForgotten leaves open whether the attempt ran.
func (s *Service) CancelClaimed(ctx context.Context, e *routing.Endpoint, id wire.AttemptID) (wire.AttemptStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return s.cancelCall(ctx, e, id, false)
}

// Status asks a gate for the state of an attempt.
func (s *Service) Status(ctx context.Context, e *routing.Endpoint, id wire.AttemptID) (wire.AttemptStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return s.statusCall(ctx, e, http.MethodGet, attemptURL(e, id, ""))
}

func (s *Service) statusCall(ctx context.Context, e *routing.Endpoint, method, u string) (wire.AttemptStatus, error) {
	var st wire.AttemptStatus
	req, err := http.NewRequestWithContext(ctx, method, u, nil)
	if err != nil {
		return st, errors.Trace(err)
	}
	s.setCommonHeaders(req.Header)
	resp, err := s.client.Do(req)
	if err != nil {
		return st, errors.Trace(err)
	}
	defer resp.Body.Close()
	s.observeHeaders(e, resp.Header)
	if resp.StatusCode != http.StatusOK {
		return st, errors.Errorf("the gate answers with status %d", resp.StatusCode)
	}
	return st, errors.Trace(json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&st))
}

// Attach reads an attempt's response from the given byte offset.
func (s *Service) Attach(ctx context.Context, e *routing.Endpoint, c Call, offset int64) (*Response, error) {
	resp, err := s.attach(ctx, e, c, offset)
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "attach: %v", err)
	}
	return s.openResponse(ctx, e, c, resp)
}

func (s *Service) attach(ctx context.Context, e *routing.Endpoint, c Call, offset int64) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, attemptURL(e, c.Attempt, fmt.Sprintf("/answer?offset=%d", offset)), nil)
	if err != nil {
		return nil, err
	}
	s.setCommonHeaders(req.Header)
	return s.client.Do(req)
}
