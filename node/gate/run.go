package gate

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

const readChunk = 32 << 10

// run performs one started attempt against the upstream.
func (s *Service) run(ctx context.Context, a *attempt) {
	started := time.Now()
	s.record("attempt-started", a, a.stage)
	failure := s.call(ctx, a)
	took := time.Since(started)
	ranVar.Add(1)
	busyVar.Add(took.Seconds())
	detail := fmt.Sprintf("%s bytes=%d ms=%.1f", a.stage, a.answer.length(), float64(took.Microseconds())/1000)
	if failure != nil {
		detail = fmt.Sprintf("%s failed: %s", a.stage, failure)
	}
	s.record("attempt-done", a, detail)
	s.table.finished(a, failure, took)
}

func (s *Service) call(ctx context.Context, a *attempt) *verdict.Error {
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+s.set.Upstream+a.path, bytes.NewReader(a.body))
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "no request can be made of %s %s", a.method, a.path)
	}
	if a.header != "" {
		req.Header.Set("Content-Type", a.header)
	}
	req.Header.Set(wire.HeaderRequestID, string(a.request))
	client := s.client
	if !a.repeatable {
		client = s.once
	}
	resp, err := client.Do(req)
	if err != nil {
		return callFailure(ctx, err)
	}
	defer resp.Body.Close()
	a.answer.start(resp.StatusCode, resp.Header.Get("Content-Type"))
	return s.readBody(ctx, a, resp)
}

func callFailure(ctx context.Context, err error) *verdict.Error {
	v := verdict.MayHaveRun
	if isDialError(err) {
		v = verdict.NotRun
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(v, verdict.CodeTimeout, "the deadline passed while the upstream worked")
	}
	return verdict.New(v, verdict.CodeUpstream, "upstream: %v", err).After(time.Second)
}

func (s *Service) readBody(ctx context.Context, a *attempt, resp *http.Response) *verdict.Error {
	buf := make([]byte, readChunk)
	var tail []byte
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if a.answer.length()+int64(n) > s.set.MaxAnswer {
				return verdict.New(verdict.Ran, verdict.CodeTooLarge, "the answer exceeds %d bytes", s.set.MaxAnswer)
			}
			a.answer.append(buf[:n])
			tail = lastBytes(tail, buf[:n])
		}
		if err == io.EOF {
			return checkWhole(resp, tail)
		}
		if err != nil {
			return verdict.New(verdict.Ran, verdict.CodeCut, "the upstream's answer was cut: %v", err)
		}
	}
}

const tailSize = 64

func lastBytes(tail, p []byte) []byte {
	tail = append(tail, p...)
	if len(tail) > tailSize {
		tail = append([]byte(nil), tail[len(tail)-tailSize:]...)
	}
	return tail
}

// checkWhole tells a whole event stream from one that ended early but cleanly.
func checkWhole(resp *http.Response, tail []byte) *verdict.Error {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), wire.ContentEventStream) || resp.StatusCode != http.StatusOK {
		return nil
	}
	if strings.HasSuffix(strings.TrimRight(string(tail), "\r\n"), wire.EndStreamOfChat) {
		return nil
	}
	return verdict.New(verdict.Ran, verdict.CodeCut, "the event stream ended without %q", wire.EndStreamOfChat)
}
