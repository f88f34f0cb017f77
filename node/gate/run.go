package gate

import (
	"bytes"
	"context"
	"io"
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
)

const readChunk = 32 << 10

// begin implements starter.
func (s *Service) begin(ctx context.Context, a *attempt) { go s.run(ctx, a) }

// run performs one started attempt against the upstream.
func (s *Service) run(ctx context.Context, a *attempt) {
	started := time.Now()
	s.record("attempt-started", a, a.stage)
	failure := s.call(ctx, a)
	took := time.Since(started)
	ranVar.Add(1)
	busyVar.Add(took.Seconds())
	s.record("attempt-done", a, runDetail(a, failure, took))
	s.table.finished(a, failure)
}

func runDetail(a *attempt, failure *verdict.Error, took time.Duration) string {
	if failure != nil {
		return a.stage + " failed: " + failure.Error()
	}
	length, _, _ := a.answer.size()
	return a.stage + " bytes=" + strconv.FormatInt(length, 10) + " ms=" + strconv.FormatFloat(took.Seconds()*1e3, 'f', 1, 64)
}

func (s *Service) call(ctx context.Context, a *attempt) *verdict.Error {
	// The transport may repeat a repeatable attempt on a new connection, so a
	// failed dial proves nothing once a header was written.
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
	resp, err := s.upstream.of(req, a.repeatable).Do(req)
	if err != nil {
		return callFailure(ctx, err, written.Load())
	}
	defer resp.Body.Close()
	passed := http.Header{}
	wire.ForwardResponseHeaders(passed, resp.Header)
	a.answer.start(resp.StatusCode, passed)
	return s.readAnswer(a, resp)
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

func (s *Service) readAnswer(a *attempt, resp *http.Response) *verdict.Error {
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
			length = a.answer.append(buf[:n])
			tail = lastBytes(tail, buf[:n])
		}
		if err == io.EOF {
			return checkWhole(resp, tail)
		}
		if err != nil {
			return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the upstream's answer was cut: %v", err)
		}
	}
}

const tailSize = 64

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

// checkWhole tells a whole event stream from one that ended early but cleanly.
func checkWhole(resp *http.Response, tail []byte) *verdict.Error {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), wire.ContentEventStream) || resp.StatusCode != http.StatusOK {
		return nil
	}
	if strings.HasSuffix(strings.TrimRight(string(tail), "\r\n"), wire.ChatStreamEnd) {
		return nil
	}
	return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the event stream ended without %q", wire.ChatStreamEnd)
}
