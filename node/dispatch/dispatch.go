// Package dispatch carries one attempt from an entry to a gate and back. It
// turns every failure into an error with a verdict, and it never takes a cut
// answer for a whole one.
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

// Call is what an attempt asks of an upstream.
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
	Body        []byte
	Deadline    time.Time
	GateTime    int64 // gate time read before the key was claimed; zero without a key
}

// Params are what the service needs.
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
	settleTimeout   = time.Second // a gate asked about an attempt must answer within
	maxReattach     = 3
	idleConnections = 256
)

// New returns the service.
func New(p Params) *Service {
	t := &http.Transport{DialContext: p.Security.DialNetwork, MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	return &Service{ring: p.Ring, sync: p.Sync, client: &http.Client{Transport: t}}
}

// Answer is an upstream's answer. Body returns io.EOF only when the answer was
// whole; any other end is an error with a verdict. Close must be called.
type Answer struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
}

// Do submits an attempt and returns once the upstream's response header came.
func (s *Service) Do(ctx context.Context, e *routing.Endpoint, c Call) (*Answer, error) {
	resp, err := s.submit(ctx, e, c)
	if err != nil {
		return nil, s.resolveLost(ctx, e, c, err)
	}
	return s.open(ctx, e, c, resp)
}

func (s *Service) submit(ctx context.Context, e *routing.Endpoint, c Call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, attemptURL(e, c.Attempt, ""), bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport never sends a body twice. The gate would
	// refuse the second copy, but then the answer to the first would be lost.
	req.GetBody = nil
	h := req.Header
	s.setCommon(h)
	h.Set("Content-Type", c.ContentType)
	h.Set(wire.HeaderRequestID, string(c.Request))
	h.Set(wire.HeaderStage, c.Stage)
	h.Set(wire.HeaderService, c.Service)
	h.Set(wire.HeaderCustomer, c.Customer)
	h.Set(wire.HeaderClass, c.Class)
	h.Set(wire.HeaderShare, strconv.FormatFloat(c.Share, 'g', -1, 64))
	h.Set(wire.HeaderRepeatable, strconv.FormatBool(c.Repeatable))
	h.Set(wire.HeaderMethod, c.Method)
	h.Set(wire.HeaderPath, c.Path)
	h.Set(wire.HeaderIncarnation, strconv.FormatUint(e.Member.Incarnation, 10))
	h.Set(wire.HeaderBudget, strconv.FormatInt(max(time.Until(c.Deadline).Milliseconds(), 0), 10))
	setGateTime(h, c.GateTime)
	return s.client.Do(req)
}

func setGateTime(h http.Header, gateTime int64) {
	if gateTime > 0 {
		h.Set(wire.HeaderGateTime, strconv.FormatInt(gateTime, 10))
	}
}

func attemptURL(e *routing.Endpoint, id wire.AttemptID, rest string) string {
	return "http://" + e.Member.Gate + "/v1/attempts/" + url.PathEscape(string(id)) + rest
}

func (s *Service) setCommon(h http.Header) {
	h.Set(wire.HeaderClock, s.ring.Clock.Now().String())
	if v := s.sync.View(); v != nil {
		h.Set(wire.HeaderVersion, strconv.FormatUint(v.Version, 10))
	}
}

func (s *Service) observe(e *routing.Endpoint, h http.Header) {
	s.ring.Clock.Observe(timeline.ParseStamp(h.Get(wire.HeaderClock)))
	if v, err := strconv.ParseUint(h.Get(wire.HeaderVersion), 10, 64); err == nil {
		s.sync.Saw(v)
	}
	report(e, h.Get(wire.HeaderLoad))
}

func report(e *routing.Endpoint, load string) {
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

// open checks a gate's response and wraps its body.
func (s *Service) open(ctx context.Context, e *routing.Endpoint, c Call, resp *http.Response) (*Answer, error) {
	s.observe(e, resp.Header)
	if resp.Header.Get(wire.HeaderError) != "" {
		defer resp.Body.Close()
		v := &verdict.Error{}
		if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeCut, "the gate's refusal was cut: %v", err)
		}
		return nil, v
	}
	if resp.Header.Get(wire.HeaderAttempt) != string(c.Attempt) || resp.Header.Get(wire.HeaderStage) != c.Stage {
		resp.Body.Close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeCut, "the answer belongs to another attempt")
	}
	status, err := strconv.Atoi(resp.Header.Get(wire.HeaderStatus))
	if err != nil {
		resp.Body.Close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeCut, "the answer has no status")
	}
	body := &bodyReader{s: s, ctx: ctx, endpoint: e, call: c, resp: resp, sum: xxhash.New()}
	return &Answer{Status: status, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// resolveLost finds out what became of an attempt whose submission failed.
func (s *Service) resolveLost(ctx context.Context, e *routing.Endpoint, c Call, cause error) error {
	var op *net.OpError
	if errors.As(cause, &op) && op.Op == "dial" {
		return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "the gate of %s is not reached", e.Member.ID)
	}
	if ctx.Err() != nil || !time.Now().Before(c.Deadline) {
		// Also when the caller went away: the attempt must not start later.
		go s.giveUp(e, c)
		return verdict.New(verdict.MayHaveRun, verdict.CodeTimeout, "the deadline passed before an answer came")
	}
	st, err := s.CancelClaimed(context.WithoutCancel(ctx), e, c.Attempt, c.GateTime)
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstream, "the connection to %s was lost: %v", e.Member.ID, cause)
	}
	if st.Incarnation != e.Member.Incarnation {
		return verdict.New(verdict.MayHaveRun, verdict.CodeIncarnation, "the gate of %s was restarted", e.Member.ID)
	}
	if st.State == wire.AttemptTombstoned {
		return verdict.New(verdict.NotRun, verdict.CodeUpstream, "the connection to %s was lost; the attempt is cancelled", e.Member.ID)
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstream, "the connection to %s was lost", e.Member.ID)
}

// giveUp cancels an attempt that nobody waits for any more.
func (s *Service) giveUp(e *routing.Endpoint, c Call) {
	s.cancel(context.Background(), e, c.Attempt, c.Repeatable, c.GateTime)
}

// Cancel makes sure that an attempt that has not started never does. With
// abandon set, a running one is ended too.
func (s *Service) Cancel(e *routing.Endpoint, id wire.AttemptID, abandon bool) (wire.AttemptStatus, error) {
	return s.cancel(context.Background(), e, id, abandon, 0)
}

// CancelClaimed makes sure that the attempt of a claim, if it has not started,
// never does. It never ends a running one. The state AttemptForgotten leaves
// open whether the attempt ran.
func (s *Service) CancelClaimed(ctx context.Context, e *routing.Endpoint, id wire.AttemptID, gateTime int64) (wire.AttemptStatus, error) {
	return s.cancel(ctx, e, id, false, gateTime)
}

func (s *Service) cancel(ctx context.Context, e *routing.Endpoint, id wire.AttemptID, abandon bool, gateTime int64) (wire.AttemptStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	rest := "/cancel"
	if abandon {
		rest += "?abandon=true"
	}
	return s.statusCall(ctx, e, http.MethodPost, attemptURL(e, id, rest), gateTime)
}

// Status asks a gate what it knows of an attempt.
func (s *Service) Status(ctx context.Context, e *routing.Endpoint, id wire.AttemptID) (wire.AttemptStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return s.statusCall(ctx, e, http.MethodGet, attemptURL(e, id, ""), 0)
}

func (s *Service) statusCall(ctx context.Context, e *routing.Endpoint, method, u string, gateTime int64) (wire.AttemptStatus, error) {
	var st wire.AttemptStatus
	req, err := http.NewRequestWithContext(ctx, method, u, nil)
	if err != nil {
		return st, errors.Trace(err)
	}
	s.setCommon(req.Header)
	setGateTime(req.Header, gateTime)
	resp, err := s.client.Do(req)
	if err != nil {
		return st, errors.Trace(err)
	}
	defer resp.Body.Close()
	s.observe(e, resp.Header)
	return st, errors.Trace(json.NewDecoder(resp.Body).Decode(&st))
}

// Attach reads an attempt's answer from the given offset.
func (s *Service) Attach(ctx context.Context, e *routing.Endpoint, c Call, offset int64) (*Answer, error) {
	resp, err := s.attach(ctx, e, c, offset)
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstream, "attach: %v", err)
	}
	return s.open(ctx, e, c, resp)
}

func (s *Service) attach(ctx context.Context, e *routing.Endpoint, c Call, offset int64) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, attemptURL(e, c.Attempt, fmt.Sprintf("/answer?offset=%d", offset)), nil)
	if err != nil {
		return nil, err
	}
	s.setCommon(req.Header)
	return s.client.Do(req)
}
