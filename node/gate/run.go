package gate

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

const readChunk = 32 << 10 // bytes

// startRun implements startFunc.
func (s *Service) startRun(ctx context.Context, a *attempt) { go s.run(ctx, a) }

// run sends one started attempt to the upstream and reads the response.
func (s *Service) run(ctx context.Context, a *attempt) {
	started := time.Now()
	s.recordEvent("attempt-started", a, a.stage)
	failure := s.call(ctx, a)
	took := time.Since(started)
	ranVar.Add(1)
	busyVar.Add(took.Seconds())
	s.recordEvent("attempt-done", a, runDetail(a, failure, took))
	s.table.finished(a, failure)
}

func runDetail(a *attempt, failure *verdict.Error, took time.Duration) string {
	if failure != nil {
		return a.stage + " failed: " + failure.Error()
	}
	length, _, _ := a.response.size()
	return a.stage + " bytes=" + strconv.FormatInt(length, 10) + " ms=" + strconv.FormatFloat(took.Seconds()*1e3, 'f', 1, 64)
}

func (s *Service) call(ctx context.Context, a *attempt) *verdict.Error {
	// The transport may resend a repeatable attempt on a new connection, so a failed dial proves nothing once
	// a header was written.
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), a.method, "http://"+s.set.Upstream+a.path, bytes.NewReader(a.body))
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "no request can be made of %s %s", a.method, a.path)
	}
	req.Header = a.header
	req.Header.Set(wire.HeaderRequestID, string(a.request))
	if req.Header["User-Agent"] == nil {
		req.Header["User-Agent"] = nil
	}
	resp, err := s.upstream.clientFor(req, a.repeatable).Do(req)
	if err != nil {
		return callFailure(ctx, err, written.Load())
	}
	defer resp.Body.Close()
	s.recordLimit(upstream.ParseRequestLimit(resp.Header.Values(wire.HeaderRequestLimit)))
	header := http.Header{}
	wire.ForwardResponseHeaders(header, resp.Header)
	a.response.start(resp.StatusCode, header)
	return s.readResponse(a, resp)
}

func callFailure(ctx context.Context, err error, written bool) *verdict.Error {
	v := verdict.MayHaveRun
	if !written && isDialError(err) {
		v = verdict.NotRun
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(v, verdict.CodeDeadlineExceeded, "the deadline passed while the upstream worked")
	}
	return verdict.New(v, verdict.CodeUpstreamFailed, "upstream: %v", err).WithRetryAfter(time.Second)
}

var readBuffers = sync.Pool{New: func() any { return new([readChunk]byte) }}

func (s *Service) readResponse(a *attempt, resp *http.Response) *verdict.Error {
	buf := readBuffers.Get().(*[readChunk]byte)
	defer readBuffers.Put(buf)
	var tail []byte
	length := int64(0)
	for {
		n, err := resp.Body.Read(buf[:])
		if length+int64(n) > s.set.MaxAnswerBytes {
			return verdict.New(verdict.Ran, verdict.CodeTooLarge, "the answer exceeds %d bytes", s.set.MaxAnswerBytes)
		}
		if n > 0 {
			length = a.response.append(buf[:n])
			tail = lastBytes(tail, buf[:n])
		}
		if err != nil {
			return s.checkEnd(resp, err, tail)
		}
	}
}

const tailSize = 64 // bytes; longer than the final event of a stream

// lastBytes returns the last tailSize bytes of tail followed by p.
func lastBytes(tail, p []byte) []byte {
	if len(p) >= tailSize {
		return append(tail[:0], p[len(p)-tailSize:]...)
	}
	if over := len(tail) + len(p) - tailSize; over > 0 {
		tail = append(tail[:0], tail[over:]...)
	}
	return append(tail, p...)
}

// checkEnd returns an error unless the response, whose body ended with err, is complete.
func (s *Service) checkEnd(resp *http.Response, err error, tail []byte) *verdict.Error {
	ending := upstream.EndingOf(resp, upstream.BodyEnd{Err: err}, func() upstream.ProcessState { return upstream.Probe(s.set.Upstream, false) })
	answersEndedVar.Add(string(upstream.FramingOf(resp))+"/"+string(ending), 1)
	if !ending.Complete() {
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the upstream's answer was cut (%s, framing %s): %v", ending, upstream.FramingOf(resp), err)
	}
	return checkComplete(resp, tail)
}

// checkComplete detects an event stream that ended cleanly but without its final event.
func checkComplete(resp *http.Response, tail []byte) *verdict.Error {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), wire.ContentEventStream) || resp.StatusCode != http.StatusOK {
		return nil
	}
	if strings.HasSuffix(strings.TrimRight(string(tail), "\r\n"), wire.ChatStreamEnd) {
		return nil
	}
	return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the event stream ended without %q", wire.ChatStreamEnd)
}
