package pipeline

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/routing"
)

// pipelineRun is the state of one running request.
type pipelineRun struct {
	s    *Service
	r    *Request
	size int // of the caller's input, in bytes

	mu         sync.Mutex
	completed  map[string]chan struct{} // by stage; closed when its response is complete
	responses  map[string][]byte
	undecided  int  // stages whose outcome is not known yet
	mayHaveRun bool // a stage ran, or may have
	ran        bool // a stage certainly ran
}

func newPipelineRun(s *Service, r *Request) *pipelineRun {
	return &pipelineRun{s: s, r: r, size: len(r.Input.Raw), completed: map[string]chan struct{}{}, responses: map[string][]byte{}}
}

type lastResult struct {
	res *Result
	err error
}

func (p *pipelineRun) run(ctx context.Context) (*Result, error) {
	list := p.r.Pipeline.Stages
	for _, st := range list {
		p.completed[st.Name] = make(chan struct{})
	}
	inner, cancel := context.WithCancel(ctx)
	failed := make(chan error, len(list))
	for _, st := range list[:len(list)-1] {
		go func() {
			if err := p.runBuffered(inner, st); err != nil {
				failed <- err
			}
		}()
	}
	done := make(chan lastResult, 1)
	go func() {
		res, err := p.runLast(inner, list[len(list)-1])
		done <- lastResult{res, err}
	}()
	select {
	case err := <-failed:
		cancel()
		return nil, p.requestError(err)
	case a := <-done:
		if a.err != nil {
			cancel()
			return nil, p.requestError(a.err)
		}
		a.res.Body = &cancelOnClose{a.res.Body, cancel}
		return a.res, nil
	}
}

// requestError turns a stage's error into the request's: a request is NotRun only if no stage of it ran.
func (p *pipelineRun) requestError(err error) error {
	e := *verdict.From(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.Verdict != verdict.NotRun {
		return &e
	}
	switch {
	case p.ran:
		e.Verdict = verdict.Ran
		e.Message += " (earlier stages ran)"
	case p.mayHaveRun || p.undecided > 0:
		e.Verdict = verdict.MayHaveRun
		e.Message += " (other stages may have run)"
	}
	return &e
}

// stageStarted and stageEnded record that a stage's outcome is open, and what it became.
func (p *pipelineRun) stageStarted() {
	p.mu.Lock()
	p.undecided++
	p.mu.Unlock()
}

func (p *pipelineRun) stageEnded(v verdict.Verdict) {
	p.mu.Lock()
	p.undecided--
	p.mayHaveRun = p.mayHaveRun || v != verdict.NotRun
	p.ran = p.ran || v == verdict.Ran
	p.mu.Unlock()
}

// cancelOnClose releases the request's context when the body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}

func (p *pipelineRun) waitForInputs(ctx context.Context, st *optext.Stage) error {
	for _, name := range st.After {
		select {
		case <-p.completed[name]:
		case <-ctx.Done():
			return verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "stage %s: an earlier stage did not end in time", st.Name)
		}
	}
	return nil
}

func (p *pipelineRun) runBuffered(ctx context.Context, st *optext.Stage) error {
	if err := p.waitForInputs(ctx, st); err != nil {
		return err
	}
	started := time.Now()
	a, _, err := p.exchange(ctx, st, false)
	if err != nil {
		return prefixStage(err, st.Name)
	}
	if err := a.statusError(); err != nil {
		return prefixStage(err, st.Name)
	}
	p.estimate(st).add(p.size, time.Since(started))
	p.mu.Lock()
	p.responses[st.Name] = a.body
	p.mu.Unlock()
	close(p.completed[st.Name])
	return nil
}

func (p *pipelineRun) runLast(ctx context.Context, st *optext.Stage) (*Result, error) {
	if err := p.waitForInputs(ctx, st); err != nil {
		return nil, err
	}
	started := time.Now()
	a, w, err := p.exchange(ctx, st, p.r.Input.Stream)
	if err != nil {
		return nil, prefixStage(err, st.Name)
	}
	body := a.bodyReader()
	if a.stream != nil && w.service.Repeatable && optext.Kind(w.service.Kind) == optext.Engine {
		body = newResumer(ctx, p.s, w, a.stream)
	}
	if a.status < http.StatusMultipleChoices {
		body = &callbackOnEOF{ReadCloser: body, done: func() { p.estimate(st).add(p.size, time.Since(started)) }}
	}
	return &Result{Status: a.status, ContentType: a.contentType, Body: body}, nil
}

// callbackOnEOF calls done when the body was read to its end.
type callbackOnEOF struct {
	io.ReadCloser
	done func()
}

// Read implements io.Reader.
func (t *callbackOnEOF) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err == io.EOF && t.done != nil {
		t.done()
		t.done = nil
	}
	return n, err
}

// exchange runs one stage under its own part of the deadline.
func (p *pipelineRun) exchange(ctx context.Context, st *optext.Stage, stream bool) (*response, *callSpec, error) {
	deadline, err := p.stageDeadline(st)
	if err != nil {
		return nil, nil, err
	}
	w, err := p.newCall(st, stream, deadline)
	if err != nil {
		return nil, nil, err
	}
	p.stageStarted()
	a, err := p.s.exchange(ctx, w)
	p.stageEnded(verdict.Of(err))
	return a, w, err
}

func prefixStage(err error, stage string) error {
	e := *verdict.From(err)
	e.Message = fmt.Sprintf("stage %s: %s", stage, e.Message)
	return &e
}

func (p *pipelineRun) newCall(st *optext.Stage, stream bool, deadline time.Time) (*callSpec, error) {
	sv := p.r.Config.Services[st.Service]
	p.mu.Lock()
	path, body, err := buildBody(sv, st, p.r, p.responses, stream)
	p.mu.Unlock()
	if err != nil {
		return nil, verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "stage %s: %v", st.Name, err)
	}
	w := &callSpec{service: sv, stream: stream, size: len(body), Call: dispatch.Call{
		Request: p.r.ID, Stage: p.r.Pipeline.Name + "/" + st.Name, Service: st.Service,
		Customer: p.r.Customer.Name, Class: p.r.Pipeline.Class, Share: p.r.Customer.Share,
		Repeatable: sv.Repeatable, Method: http.MethodPost, Path: path, ContentType: "application/json", Body: body, Deadline: deadline,
	}}
	if optext.Kind(sv.Kind) == optext.Engine {
		w.model = p.r.Input.Model
		w.prefix = routing.PrefixHashes(w.model, prompt(p.r, st, body))
	}
	return w, nil
}

// prompt returns the part of a request to an engine that prefix caching covers.
func prompt(r *Request, st *optext.Stage, body []byte) []byte {
	if len(st.After) == 0 && len(r.Input.Messages) > 0 {
		return r.Input.Messages
	}
	return body
}
