package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/routing"
)

// callSpec is a call and the parameters that select an endpoint for its attempts.
type callSpec struct {
	dispatch.Call
	service *optext.Service
	stream  bool // an event stream is expected
	size    int  // of the request, in bytes
	model   string
	prefix  []uint64
}

// response is an upstream's response: either its complete body, or an event stream that has begun.
type response struct {
	status      int
	contentType string
	body        []byte
	stream      *stream
}

// stream is an event stream that is being read.
type stream struct {
	events *bufio.Reader
	body   *trackedBody
	cancel context.CancelFunc // abandons the attempt
	timer  *time.Timer        // fails the stream when it fires; nil until first needed
}

// nextEvent reads an event into e. The stream fails if the event does not arrive within the given time.
func (s *stream) nextEvent(e *event, timeout func() time.Duration) error {
	if s.buffered() {
		return readEvent(s.events, e)
	}
	if limit := timeout(); s.timer == nil {
		s.timer = time.AfterFunc(limit, s.failSilent)
	} else {
		s.timer.Reset(limit)
	}
	defer s.timer.Stop()
	return readEvent(s.events, e)
}

// buffered reports whether an event with data was received completely, so that reading it does not block. It
// may report false for an event with other line ends than a newline.
func (s *stream) buffered() bool {
	b, _ := s.events.Peek(s.events.Buffered()) // all that is buffered
	return bytes.HasPrefix(b, dataField) && bytes.Contains(b, eventEnd)
}

// failSilent abandons the attempt and marks it as failed by a timeout.
func (s *stream) failSilent() {
	s.body.timedOut.Store(true)
	s.cancel()
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) { return s.events.Read(p) }

// Close implements io.Closer.
func (s *stream) Close() error {
	err := s.body.Close()
	s.cancel()
	return err
}

func (a *response) bodyReader() io.ReadCloser {
	if a.stream != nil {
		return a.stream
	}
	return io.NopCloser(bytes.NewReader(a.body))
}

func (a *response) close() {
	if a.stream != nil {
		a.stream.Close()
	}
}

// statusError returns the error that the status stands for, or nil.
func (a *response) statusError() error {
	switch {
	case a.status >= http.StatusInternalServerError || a.status == http.StatusTooManyRequests:
		return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the upstream answered with status %d", a.status).WithRetryAfter(defaultRetryAfter)
	case a.status >= http.StatusMultipleChoices:
		return verdict.New(verdict.Ran, verdict.CodeInvalidRequest, "the upstream refused the request with status %d", a.status)
	}
	return nil
}

const streamBuffer = 16 << 10 // bytes

// attempt sends the call to an endpoint and waits for the complete response, or for the first byte of an
// event stream. cached is how many bytes of the prompt the endpoint is expected to have cached. When ctx ends
// the attempt is abandoned.
func (s *Service) attempt(ctx context.Context, e *routing.Endpoint, w *callSpec, cached int) (*response, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := w.Call
	c.Attempt = wire.NewAttemptID()
	m := &trackedBody{s: s, ctx: ctx, w: w, endpoint: e, started: time.Now()}
	if len(w.prefix) > 0 {
		m.expectedCached = float64(cached) / float64(max(w.size, 1))
	}
	s.recordEvent("attempt-sent", &c, c.Stage+" to "+string(e.Member.ID))
	m.flight = e.Start(w.size - cached)
	s.capacity.Report(w.Service, false)
	a, err := s.dispatch.Do(ctx, e, c)
	if err != nil {
		cancel()
		m.finish(err)
		s.recordEvent("attempt-failed", &c, verdict.From(err).Error())
		return nil, err
	}
	e.Sent(w.prefix)
	m.ReadCloser, m.status = a.Body, a.Status
	out := &response{status: a.Status, contentType: a.ContentType}
	if strings.HasPrefix(a.ContentType, wire.ContentEventStream) {
		out.stream, err = openStream(m, cancel, w.Repeatable)
	} else {
		out.body, err = readComplete(m)
		m.Close()
		cancel()
	}
	if err != nil {
		s.recordEvent("attempt-failed", &c, verdict.From(err).Error())
		return nil, err
	}
	return out, nil
}

// openStream starts to read an event stream. With wait set it waits for the first byte, because the call may
// still be run elsewhere until then.
func openStream(m *trackedBody, cancel context.CancelFunc, wait bool) (*stream, error) {
	st := &stream{events: bufio.NewReaderSize(m, streamBuffer), body: m, cancel: cancel}
	if !wait {
		return st, nil
	}
	if _, err := st.events.Peek(1); err != nil {
		st.Close()
		if err == io.EOF {
			err = verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the event stream was empty")
		}
		return nil, err
	}
	return st, nil
}

// readComplete reads a response to its end. One that exceeds maxResponse is an error, not truncated.
func readComplete(r io.Reader) ([]byte, error) {
	var b bytes.Buffer
	n, err := b.ReadFrom(io.LimitReader(r, maxResponse+1))
	if err != nil {
		return nil, err
	}
	if n > maxResponse {
		return nil, verdict.New(verdict.Ran, verdict.CodeTooLarge, "the answer exceeds %d bytes", maxResponse)
	}
	return b.Bytes(), nil
}

// trackedBody records the end of an attempt once its response was read, and keeps the last bytes, which
// contain the token usage.
type trackedBody struct {
	io.ReadCloser
	s              *Service
	ctx            context.Context
	w              *callSpec
	endpoint       *routing.Endpoint
	flight         routing.Attempt
	started        time.Time
	status         int     // of the response
	expectedCached float64 // share of the prompt that was expected to be cached
	tail           []byte
	timedOut       atomic.Bool
	once           sync.Once
}

const usageTail = 512 // bytes

// Read implements io.Reader.
func (m *trackedBody) Read(p []byte) (int, error) {
	n, err := m.ReadCloser.Read(p)
	if len(m.w.prefix) > 0 {
		m.keepTail(p[:n])
	}
	if err == io.EOF {
		m.finish(nil)
	} else if err != nil {
		m.finish(err)
	}
	return n, err
}

func (m *trackedBody) keepTail(p []byte) {
	if len(p) >= usageTail {
		m.tail = append(m.tail[:0], p[len(p)-usageTail:]...)
		return
	}
	if over := len(m.tail) + len(p) - usageTail; over > 0 {
		m.tail = m.tail[:copy(m.tail, m.tail[over:])]
	}
	m.tail = append(m.tail, p...)
}

// Close implements io.Closer. Closing before the end abandons the attempt.
func (m *trackedBody) Close() error {
	m.finish(errAbandoned)
	return m.ReadCloser.Close()
}

var errAbandoned = verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "the attempt was given up")

func (m *trackedBody) finish(err error) {
	m.once.Do(func() {
		took := time.Since(m.started)
		o := outcomeOf(m.ctx, err)
		if err == nil {
			o = outcomeOfStatus(m.status)
		}
		if m.timedOut.Load() {
			o = routing.Failed
		}
		found, reported := cachedShare(m.tail)
		if reported {
			m.flight.Resize(int(float64(m.w.size) * (1 - found)))
		}
		m.flight.End(o)
		m.s.reportCapacity(m.w, err)
		if verdict.Of(err) != verdict.NotRun {
			countStage(m.w.Stage, took, o == routing.Answered)
		}
		if verdict.From(orEmpty(err)).Code == verdict.CodeUpstreamLeaving {
			m.endpoint.SetLeaving()
		}
		if reported && o == routing.Answered {
			m.endpoint.LearnCacheShare(found, m.expectedCached)
		}
	})
}

// orEmpty makes a nil error safe to inspect.
func orEmpty(err error) error {
	if err == nil {
		return &verdict.Error{}
	}
	return err
}

func outcomeOf(ctx context.Context, err error) routing.Outcome {
	if err == nil {
		return routing.Answered
	}
	if ctx.Err() != nil || err == error(errAbandoned) {
		return routing.Abandoned
	}
	v := verdict.From(err)
	if v.Verdict == verdict.NotRun {
		switch v.Code {
		case verdict.CodeOverloaded, verdict.CodeDeadlineUnreachable, verdict.CodeUpstreamLeaving:
			return routing.Refused
		}
	}
	return routing.Failed
}

// outcomeOfStatus keeps an upstream that returns errors at once from appearing to be the fastest one.
func outcomeOfStatus(status int) routing.Outcome {
	switch {
	case status >= http.StatusInternalServerError:
		return routing.Failed
	case status == http.StatusTooManyRequests:
		return routing.Refused
	}
	return routing.Answered
}

func (s *Service) reportCapacity(w *callSpec, err error) {
	if verdict.LacksCapacity(err) {
		s.capacity.Report(w.Service, true)
	}
}
