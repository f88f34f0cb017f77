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

// stages is the state of one running request.
type stages struct {
	s    *Service
	r    *Request
	size int // bytes of the caller's input

	mu      sync.Mutex
	outputs map[string]chan struct{} // closed when the stage's answer is whole
	bodies  map[string][]byte
	under   int  // stages whose outcome is not known yet
	ran     bool // a stage ran, or may have
	sure    bool // a stage ran
}

func newStages(s *Service, r *Request) *stages {
	return &stages{s: s, r: r, size: len(r.Input.Raw), outputs: map[string]chan struct{}{}, bodies: map[string][]byte{}}
}

type lastAnswer struct {
	res *Result
	err error
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
	done := make(chan lastAnswer, 1)
	go func() {
		res, err := p.last(inner, list[len(list)-1])
		done <- lastAnswer{res, err}
	}()
	select {
	case err := <-failed:
		cancel()
		return nil, p.whole(err)
	case a := <-done:
		if a.err != nil {
			cancel()
			return nil, p.whole(a.err)
		}
		a.res.Body = &closer{a.res.Body, cancel}
		return a.res, nil
	}
}

// whole turns a stage's error into the request's: NotRun holds for a request
// only if no stage of it ran.
func (p *stages) whole(err error) error {
	e := *verdict.From(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.Verdict != verdict.NotRun {
		return &e
	}
	switch {
	case p.sure:
		e.Verdict = verdict.Ran
		e.Message += " (earlier stages ran)"
	case p.ran || p.under > 0:
		e.Verdict = verdict.MayHaveRun
		e.Message += " (other stages may have run)"
	}
	return &e
}

// begin and end note that a stage's outcome is open, and what became of it.
func (p *stages) begin() {
	p.mu.Lock()
	p.under++
	p.mu.Unlock()
}

func (p *stages) end(v verdict.Verdict) {
	p.mu.Lock()
	p.under--
	p.ran = p.ran || v != verdict.NotRun
	p.sure = p.sure || v == verdict.Ran
	p.mu.Unlock()
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
			return verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "stage %s: an earlier stage did not end in time", st.Name)
		}
	}
	return nil
}

func (p *stages) buffered(ctx context.Context, st *optext.Stage) error {
	if err := p.wait(ctx, st); err != nil {
		return err
	}
	started := time.Now()
	a, _, err := p.exchange(ctx, st, false)
	if err != nil {
		return annotate(err, st.Name)
	}
	if err := a.failure(); err != nil {
		return annotate(err, st.Name)
	}
	p.estimate(st).add(p.size, time.Since(started))
	p.mu.Lock()
	p.bodies[st.Name] = a.whole
	p.mu.Unlock()
	close(p.outputs[st.Name])
	return nil
}

func (p *stages) last(ctx context.Context, st *optext.Stage) (*Result, error) {
	if err := p.wait(ctx, st); err != nil {
		return nil, err
	}
	started := time.Now()
	a, w, err := p.exchange(ctx, st, p.r.Input.Stream)
	if err != nil {
		return nil, annotate(err, st.Name)
	}
	body := a.reader()
	if a.stream != nil && w.service.Repeatable && optext.Kind(w.service.Kind) == optext.Engine {
		body = newResumer(ctx, p.s, w, a.stream)
	}
	if a.status < http.StatusMultipleChoices {
		body = &timed{ReadCloser: body, done: func() { p.estimate(st).add(p.size, time.Since(started)) }}
	}
	return &Result{Status: a.status, ContentType: a.contentType, Body: body}, nil
}

// timed calls done when all was read.
type timed struct {
	io.ReadCloser
	done func()
}

// Read implements io.Reader.
func (t *timed) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err == io.EOF && t.done != nil {
		t.done()
		t.done = nil
	}
	return n, err
}

// exchange runs one stage under its own part of the deadline.
func (p *stages) exchange(ctx context.Context, st *optext.Stage, stream bool) (*answer, *work, error) {
	deadline, err := p.giveUp(st)
	if err != nil {
		return nil, nil, err
	}
	w, err := p.work(st, stream, deadline)
	if err != nil {
		return nil, nil, err
	}
	p.begin()
	a, err := p.s.exchange(ctx, w)
	p.end(verdict.Of(err))
	return a, w, err
}

func annotate(err error, stage string) error {
	e := *verdict.From(err)
	e.Message = fmt.Sprintf("stage %s: %s", stage, e.Message)
	return &e
}

func (p *stages) work(st *optext.Stage, stream bool, deadline time.Time) (*work, error) {
	sv := p.r.Config.Services[st.Service]
	p.mu.Lock()
	path, body, err := buildBody(sv, st, p.r, p.bodies, stream)
	p.mu.Unlock()
	if err != nil {
		return nil, verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "stage %s: %v", st.Name, err)
	}
	w := &work{service: sv, stream: stream, size: len(body), Call: dispatch.Call{
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

// prompt returns the part of an engine's request whose prefixes it caches.
func prompt(r *Request, st *optext.Stage, body []byte) []byte {
	if len(st.After) == 0 && len(r.Input.Messages) > 0 {
		return r.Input.Messages
	}
	return body
}
