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

// work is a call and what its attempts need to be chosen and judged.
type work struct {
	dispatch.Call
	service *optext.Service
	stream  bool // an event stream is expected
	size    int  // bytes of the request
	model   string
	prefix  []uint64
}

// answer is an upstream's answer: whole, or an event stream that has begun.
type answer struct {
	status      int
	contentType string
	whole       []byte
	stream      *stream
}

// stream is an event stream under way.
type stream struct {
	events *bufio.Reader
	body   *measured
	cancel context.CancelFunc // abandons the attempt
	watch  *time.Timer        // fails the stream when it fires; nil until it is first needed
}

// event reads an event into e. When it does not come within the given time the
// stream fails.
func (s *stream) event(e *event, patience func() time.Duration) error {
	if s.buffered() {
		return readEvent(s.events, e)
	}
	if limit := patience(); s.watch == nil {
		s.watch = time.AfterFunc(limit, s.fail)
	} else {
		s.watch.Reset(limit)
	}
	defer s.watch.Stop()
	return readEvent(s.events, e)
}

// buffered reports whether an event with data was received whole, so that to
// read it waits for nothing. It may say no for one whose lines end otherwise
// than with a newline.
func (s *stream) buffered() bool {
	b, _ := s.events.Peek(s.events.Buffered()) // as many as there are
	return bytes.HasPrefix(b, dataField) && bytes.Contains(b, eventEnd)
}

// fail abandons the attempt as one that failed by falling silent.
func (s *stream) fail() {
	s.body.silent.Store(true)
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

func (a *answer) reader() io.ReadCloser {
	if a.stream != nil {
		return a.stream
	}
	return io.NopCloser(bytes.NewReader(a.whole))
}

func (a *answer) close() {
	if a.stream != nil {
		a.stream.Close()
	}
}

// failure returns the error that a status stands for.
func (a *answer) failure() error {
	switch {
	case a.status >= http.StatusInternalServerError || a.status == http.StatusTooManyRequests:
		return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the upstream answered with status %d", a.status).WithRetryAfter(comeBack)
	case a.status >= http.StatusMultipleChoices:
		return verdict.New(verdict.Ran, verdict.CodeInvalidRequest, "the upstream refused the request with status %d", a.status)
	}
	return nil
}

const streamBuffer = 16 << 10

// attempt sends the call to an endpoint and waits for the whole answer, or for
// the first byte of an event stream. Cached is how many bytes of the prompt the
// endpoint is expected to have cached. When ctx ends the attempt is abandoned.
func (s *Service) attempt(ctx context.Context, e *routing.Endpoint, w *work, cached int) (*answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := w.Call
	c.Attempt = wire.NewAttemptID()
	m := &measured{s: s, ctx: ctx, w: w, endpoint: e, started: time.Now()}
	if len(w.prefix) > 0 {
		m.foretold = float64(cached) / float64(max(w.size, 1))
	}
	s.record("attempt-sent", &c, c.Stage+" to "+string(e.Member.ID))
	m.flight = e.Start(w.size - cached)
	s.pressure.Report(w.Service, false)
	a, err := s.dispatch.Do(ctx, e, c)
	if err != nil {
		cancel()
		m.finish(err)
		s.record("attempt-failed", &c, verdict.From(err).Error())
		return nil, err
	}
	e.Sent(w.prefix)
	m.ReadCloser, m.status = a.Body, a.Status
	out := &answer{status: a.Status, contentType: a.ContentType}
	if strings.HasPrefix(a.ContentType, wire.ContentEventStream) {
		out.stream, err = begun(m, cancel, w.Repeatable)
	} else {
		out.whole, err = readWhole(m)
		m.Close()
		cancel()
	}
	if err != nil {
		s.record("attempt-failed", &c, verdict.From(err).Error())
		return nil, err
	}
	return out, nil
}

// begun waits for the first byte of a stream that may still be run elsewhere.
func begun(m *measured, cancel context.CancelFunc, wait bool) (*stream, error) {
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

// readWhole reads an answer to its end. One that is too long is an error, not
// a shorter answer.
func readWhole(r io.Reader) ([]byte, error) {
	var b bytes.Buffer
	n, err := b.ReadFrom(io.LimitReader(r, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if n > maxAnswer {
		return nil, verdict.New(verdict.Ran, verdict.CodeTooLarge, "the answer exceeds %d bytes", maxAnswer)
	}
	return b.Bytes(), nil
}

// measured counts an attempt out when its answer was read, and keeps its last
// bytes, where the usage stands.
type measured struct {
	io.ReadCloser
	s        *Service
	ctx      context.Context
	w        *work
	endpoint *routing.Endpoint
	flight   routing.Flight
	started  time.Time
	status   int     // of the answer
	foretold float64 // share of the prompt that was expected to be cached
	tail     []byte
	silent   atomic.Bool
	once     sync.Once
}

const usageTail = 512

// Read implements io.Reader.
func (m *measured) Read(p []byte) (int, error) {
	n, err := m.ReadCloser.Read(p)
	if len(m.w.prefix) > 0 {
		m.keep(p[:n])
	}
	if err == io.EOF {
		m.finish(nil)
	} else if err != nil {
		m.finish(err)
	}
	return n, err
}

func (m *measured) keep(p []byte) {
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
func (m *measured) Close() error {
	m.finish(errAbandoned)
	return m.ReadCloser.Close()
}

var errAbandoned = verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "the attempt was given up")

func (m *measured) finish(err error) {
	m.once.Do(func() {
		took := time.Since(m.started)
		o := outcomeOf(m.ctx, err)
		if err == nil {
			o = outcomeOfStatus(m.status)
		}
		if m.silent.Load() {
			o = routing.Failed
		}
		found, told := cachedShare(m.tail)
		if told {
			m.flight.Resize(int(float64(m.w.size) * (1 - found)))
		}
		m.flight.End(o)
		m.s.noteCapacity(m.w, err)
		if verdict.Of(err) != verdict.NotRun {
			countStage(m.w.Stage, took, o == routing.Answered)
		}
		if verdict.From(orNil(err)).Code == verdict.CodeUpstreamLeaving {
			m.endpoint.Leaves()
		}
		if told && o == routing.Answered {
			m.endpoint.Found(found, m.foretold)
		}
	})
}

// orNil lets a nil error be asked for its code.
func orNil(err error) error {
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

// outcomeOfStatus keeps an upstream that answers errors at once from looking
// like the fastest one.
func outcomeOfStatus(status int) routing.Outcome {
	switch {
	case status >= http.StatusInternalServerError:
		return routing.Failed
	case status == http.StatusTooManyRequests:
		return routing.Refused
	}
	return routing.Answered
}

func (s *Service) noteCapacity(w *work, err error) {
	if verdict.LacksCapacity(err) {
		s.pressure.Report(w.Service, true)
	}
}
