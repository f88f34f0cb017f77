// Package pipeline runs the stages of one request in the order of their
// dependencies, all under one deadline.
package pipeline

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/dig"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/retry"
	"caperdrum.org/node/routing"
)

// Params are what the service needs.
type Params struct {
	dig.In
	Ring     *timeline.Ring
	Sync     *configsync.Service `name:"configsync"`
	Routing  *routing.Service    `name:"routing"`
	Dispatch *dispatch.Service   `name:"dispatch"`
}

// Service runs pipelines and single calls.
type Service struct {
	p       Params
	mu      sync.Mutex
	budgets map[string]*budgetOf
}

type budgetOf struct {
	percent int
	budget  *retry.Budget
}

// New returns the service.
func New(p Params) *Service { return &Service{p: p, budgets: map[string]*budgetOf{}} }

// Request is one caller's request to a pipeline.
type Request struct {
	ID       wire.RequestID
	Customer *optext.Customer
	Pipeline *optext.Pipeline
	Config   *optext.Config
	Deadline time.Time
	Input    Input
}

// Input is the caller's body.
type Input struct {
	Query    string          `json:"query"`
	Messages json.RawMessage `json:"messages,omitempty"` // as in the OpenAI chat API
	Model    string          `json:"model,omitempty"`
	Stream   bool            `json:"stream,omitempty"`
	TopK     int             `json:"top_k,omitempty"`
	Raw      []byte          `json:"-"` // the body as it came
}

// Result is the answer of the last stage. Body must be closed.
type Result struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
}

const (
	comeBack    = time.Second
	maxAttempts = 4
	maxBuffered = 16 << 20
)

var (
	stageSeconds = expvar.NewMap("stage_upstream_seconds") // cost by stage: time an upstream was held
	stageCalls   = expvar.NewMap("stage_calls")
	retriesVar   = expvar.NewInt("retries")
)

// Run runs all stages. The last one's answer is streamed; every other answer
// is read whole before the next stage starts.
func (s *Service) Run(ctx context.Context, r *Request) (*Result, error) {
	run := &stages{s: s, r: r, outputs: map[string]chan struct{}{}, bodies: map[string][]byte{}}
	return run.all(ctx)
}

// stages is the state of one running request.
type stages struct {
	s *Service
	r *Request

	mu      sync.Mutex
	outputs map[string]chan struct{} // closed when the stage's answer is whole
	bodies  map[string][]byte
}

func (p *stages) all(ctx context.Context) (*Result, error) {
	list := p.r.Pipeline.Stages
	for _, st := range list {
		p.outputs[st.Name] = make(chan struct{})
	}
	inner, cancel := context.WithCancel(ctx)
	failed := make(chan error, len(list))
	for _, st := range list[:len(list)-1] {
		go func() {
			if err := p.buffered(inner, st); err != nil {
				failed <- err
			}
		}()
	}
	type lastAnswer struct {
		res *Result
		err error
	}
	done := make(chan lastAnswer, 1)
	go func() {
		res, err := p.last(inner, list[len(list)-1])
		done <- lastAnswer{res, err}
	}()
	select {
	case err := <-failed:
		cancel()
		return nil, err
	case a := <-done:
		if a.err != nil {
			cancel()
			return nil, a.err
		}
		a.res.Body = &closer{a.res.Body, cancel}
		return a.res, nil
	}
}

// closer releases the request's context when the answer was read.
type closer struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}

func (p *stages) wait(ctx context.Context, st *optext.Stage) error {
	for _, name := range st.After {
		select {
		case <-p.outputs[name]:
		case <-ctx.Done():
			return verdict.New(verdict.MayHaveRun, verdict.CodeTimeout, "stage %s: an earlier stage did not end in time", st.Name)
		}
	}
	return nil
}

func (p *stages) buffered(ctx context.Context, st *optext.Stage) error {
	if err := p.wait(ctx, st); err != nil {
		return err
	}
	call, err := p.call(st, false)
	if err != nil {
		return err
	}
	body, err := p.s.Whole(ctx, call, p.r.Config.Services[st.Service])
	if err != nil {
		return annotate(err, st.Name)
	}
	p.mu.Lock()
	p.bodies[st.Name] = body
	p.mu.Unlock()
	close(p.outputs[st.Name])
	return nil
}

func (p *stages) last(ctx context.Context, st *optext.Stage) (*Result, error) {
	if err := p.wait(ctx, st); err != nil {
		return nil, err
	}
	call, err := p.call(st, p.r.Input.Stream)
	if err != nil {
		return nil, err
	}
	a, err := p.s.Call(ctx, call, p.r.Config.Services[st.Service])
	if err != nil {
		return nil, annotate(err, st.Name)
	}
	body := a.Body
	sv := p.r.Config.Services[st.Service]
	if sv.Repeatable && optext.Kind(sv.Kind) == optext.Engine && a.Status == http.StatusOK && strings.HasPrefix(a.ContentType, wire.ContentEventStream) {
		body = newResumer(ctx, p.s, call, sv, body)
	}
	return &Result{Status: a.Status, ContentType: a.ContentType, Body: body}, nil
}

func annotate(err error, stage string) error {
	e := *verdict.From(err)
	e.Message = fmt.Sprintf("stage %s: %s", stage, e.Message)
	return &e
}

func (p *stages) call(st *optext.Stage, stream bool) (dispatch.Call, error) {
	sv := p.r.Config.Services[st.Service]
	p.mu.Lock()
	path, body, err := buildBody(sv, st, p.r, p.bodies, stream)
	p.mu.Unlock()
	if err != nil {
		return dispatch.Call{}, verdict.New(verdict.Ran, verdict.CodeUpstream, "stage %s: %v", st.Name, err)
	}
	return dispatch.Call{
		Request: p.r.ID, Stage: p.r.Pipeline.Name + "/" + st.Name, Service: st.Service,
		Customer: p.r.Customer.Name, Class: p.r.Pipeline.Class, Share: p.r.Customer.Share,
		Repeatable: sv.Repeatable, Method: "POST", Path: path, ContentType: "application/json", Body: body, Deadline: p.r.Deadline,
	}, nil
}

// Whole makes a call and reads its answer to the end. A repeatable call whose
// answer is cut is made again, as far as the retry budget goes.
func (s *Service) Whole(ctx context.Context, c dispatch.Call, sv *optext.Service) ([]byte, error) {
	for {
		a, err := s.Call(ctx, c, sv)
		if err != nil {
			return nil, err
		}
		body, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered))
		a.Body.Close()
		if err == nil && a.Status >= 500 {
			err = verdict.New(verdict.Ran, verdict.CodeUpstream, "the upstream answered with status %d", a.Status)
		}
		if err == nil && a.Status >= 300 {
			return nil, verdict.New(verdict.Ran, verdict.CodeInvalid, "the upstream refused the request with status %d", a.Status)
		}
		if err == nil {
			return body, nil
		}
		if !sv.Repeatable || !time.Now().Before(c.Deadline) || !s.budget(sv).Take() {
			return nil, err
		}
		retriesVar.Add(1)
	}
}

// Call makes attempts until one is answered. After a NotRun it tries another
// endpoint; after any other failure only if the service is repeatable.
func (s *Service) Call(ctx context.Context, c dispatch.Call, sv *optext.Service) (*dispatch.Answer, error) {
	budget := s.budget(sv)
	budget.First()
	tried := map[wire.MemberID]bool{}
	ran := verdict.NotRun // the worst verdict over all attempts
	var last *verdict.Error
	for try := 0; try < maxAttempts; try++ {
		if try > 0 && (!time.Now().Before(c.Deadline) || ctx.Err() != nil || !budget.Take()) {
			break
		}
		e := s.p.Routing.Choose(routing.Request{Service: c.Service, Policy: sv.RoutingPolicy, Exclude: tried, Now: time.Now()})
		if e == nil {
			if last == nil {
				last = verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "no upstream of %s can take the call", c.Service).After(comeBack)
			}
			break
		}
		if try > 0 {
			retriesVar.Add(1)
			s.p.Ring.Record(timeline.Event{Kind: "retry", Request: string(c.Request), Customer: c.Customer, Detail: c.Stage})
		}
		a, err := s.attempt(ctx, e, c)
		if err == nil {
			return a, nil
		}
		last = verdict.From(err)
		if last.Verdict != verdict.NotRun {
			ran = last.Verdict
			if !sv.Repeatable {
				break
			}
		}
		tried[e.Member.ID] = true
	}
	out := *last
	if out.Verdict == verdict.NotRun {
		out.Verdict = ran
	}
	if out.RetryAfter == 0 {
		out.RetryAfter = comeBack
	}
	return nil, &out
}

func (s *Service) attempt(ctx context.Context, e *routing.Endpoint, c dispatch.Call) (*dispatch.Answer, error) {
	c.Attempt = wire.NewAttemptID()
	started := time.Now()
	s.p.Ring.Record(timeline.Event{Kind: "attempt-sent", Request: string(c.Request), Attempt: string(c.Attempt), Customer: c.Customer,
		Detail: c.Stage + " to " + string(e.Member.ID)})
	e.Begin()
	a, err := s.p.Dispatch.Do(ctx, e, c)
	if err != nil {
		v := verdict.From(err)
		e.End(v.Code == verdict.CodeOverloaded || v.Code == verdict.CodeDeadline, 0)
		s.p.Ring.Record(timeline.Event{Kind: "attempt-failed", Request: string(c.Request), Attempt: string(c.Attempt), Customer: c.Customer, Detail: v.Error()})
		return nil, err
	}
	a.Body = &measured{ReadCloser: a.Body, endpoint: e, stage: c.Stage, started: started}
	return a, nil
}

// measured counts an attempt out when its answer was read.
type measured struct {
	io.ReadCloser
	endpoint *routing.Endpoint
	stage    string
	started  time.Time
	once     sync.Once
	err      error
}

func (m *measured) Read(p []byte) (int, error) {
	n, err := m.ReadCloser.Read(p)
	if err != nil {
		m.err = err
		m.finish()
	}
	return n, err
}

func (m *measured) Close() error {
	m.finish()
	return m.ReadCloser.Close()
}

func (m *measured) finish() {
	m.once.Do(func() {
		took := time.Since(m.started)
		m.endpoint.End(m.err == nil || m.err == io.EOF, took)
		stageSeconds.AddFloat(m.stage, took.Seconds())
		stageCalls.Add(m.stage, 1)
	})
}

func (s *Service) budget(sv *optext.Service) *retry.Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[sv.Name]
	if b == nil || b.percent != sv.RetryPercent {
		b = &budgetOf{sv.RetryPercent, retry.NewBudget(sv.RetryPercent)}
		s.budgets[sv.Name] = b
	}
	return b.budget
}
