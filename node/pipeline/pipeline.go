// Package pipeline runs the stages of a request in the order of their dependencies, under one deadline. It
// retries, hedges and resumes the calls that it makes.
package pipeline

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"go.uber.org/dig"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/admission"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/retry"
	"caperdrum.org/node/routing"
)

// Params are the dependencies of the service.
type Params struct {
	dig.In
	Ring      *timeline.Ring
	Sync      *configsync.Service `name:"configsync"`
	Routing   *routing.Service    `name:"routing"`
	Dispatch  *dispatch.Service   `name:"dispatch"`
	Admission *admission.Service  `name:"admission"`
}

// router selects endpoints.
type router interface {
	Choose(routing.Request) *routing.Endpoint
	Size(service string) int
}

// dispatcher sends one attempt, and abandons it when the context ends.
type dispatcher interface {
	Do(context.Context, *routing.Endpoint, dispatch.Call) (*dispatch.Response, error)
}

// capacityReporter is notified of every attempt that is sent, and of those that were refused for lack of
// capacity.
type capacityReporter interface {
	Report(service string, refused bool)
}

// Service runs pipelines and single calls.
type Service struct {
	ring      *timeline.Ring
	routing   router
	dispatch  dispatcher
	capacity  capacityReporter
	estimates estimates
	gaps      eventGaps
	probes    probeLimiter

	mu      sync.Mutex
	retries map[string]*sizedBudget
	hedges  map[string]*sizedBudget
}

// New returns the service.
func New(p Params) *Service { return newService(p.Ring, p.Routing, p.Dispatch, p.Admission) }

func newService(ring *timeline.Ring, r router, d dispatcher, p capacityReporter) *Service {
	return &Service{ring: ring, routing: r, dispatch: d, capacity: p, retries: map[string]*sizedBudget{}, hedges: map[string]*sizedBudget{}}
}

// Request is one caller's request to a pipeline.
type Request struct {
	ID       wire.RequestID
	Customer *optext.Customer
	Pipeline *optext.Pipeline
	Config   *optext.Config
	Deadline time.Time
	Input    Input
}

// Input is the body of the caller's request.
type Input struct {
	Query    string          `json:"query"`
	Messages json.RawMessage `json:"messages,omitempty"` // as in the OpenAI chat API
	Model    string          `json:"model,omitempty"`
	Stream   bool            `json:"stream,omitempty"`
	TopK     int             `json:"top_k,omitempty"`
	Raw      []byte          `json:"-"` // the body as received
}

// Result is the response of the last stage. Body must be closed.
type Result struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
}

const (
	defaultRetryAfter = time.Second // for a refusal that states none
	maxResponse       = 16 << 20    // bytes of a response that is buffered until it is complete
)

// Run runs all stages. The last one's event stream is forwarded as it arrives; every other response is read
// completely.
func (s *Service) Run(ctx context.Context, r *Request) (*Result, error) {
	run := newPipelineRun(s, r)
	if err := run.refuseLate(); err != nil {
		return nil, err
	}
	return run.run(ctx)
}

// Call makes attempts of a single call until one succeeds.
func (s *Service) Call(ctx context.Context, c dispatch.Call, sv *optext.Service) (*dispatch.Response, error) {
	w := &callSpec{Call: c, service: sv, size: len(c.Body)}
	a, err := s.exchange(ctx, w)
	if err != nil {
		return nil, err
	}
	return &dispatch.Response{Status: a.status, ContentType: a.contentType, Body: a.bodyReader()}, nil
}

// sizedBudget is a budget and the percentage that it was created for.
type sizedBudget struct {
	percent int
	budget  *retry.Budget
}

func (s *Service) budget(all map[string]*sizedBudget, name string, percent int, make func(int) *retry.Budget) *retry.Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := all[name]
	if b == nil || b.percent != percent {
		b = &sizedBudget{percent, make(percent)}
		all[name] = b
	}
	return b.budget
}

func (s *Service) retryBudget(sv *optext.Service) *retry.Budget {
	return s.budget(s.retries, sv.Name, sv.RetryPercent, retry.NewBudget)
}

func (s *Service) hedgeBudget(sv *optext.Service) *retry.Budget {
	return s.budget(s.hedges, sv.Name, sv.HedgePercent, retry.NewHedgeBudget)
}

func (s *Service) recordEvent(kind timeline.Kind, c *dispatch.Call, detail string) {
	s.ring.Record(timeline.Event{Kind: kind, Request: string(c.Request), Attempt: string(c.Attempt), Customer: c.Customer, Detail: detail})
}
