package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/routing"
)

// bodyReader reads an answer and checks its end mark, length and checksum.
// When the connection breaks it attaches again where it stopped.
type bodyReader struct {
	s        *Service
	ctx      context.Context
	endpoint *routing.Endpoint
	call     Call
	resp     *http.Response
	sum      *xxhash.Digest
	offset   int64
	attached int
	failed   error
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for b.failed == nil {
		n, err := b.resp.Body.Read(p)
		b.offset += int64(n)
		b.sum.Write(p[:n])
		switch {
		case err == io.EOF:
			b.failed = b.checkEnd()
		case err != nil:
			b.failed = b.reattach(err)
		}
		if n > 0 {
			return n, nil
		}
	}
	return 0, b.failed
}

// checkEnd returns io.EOF for a whole answer.
func (b *bodyReader) checkEnd() error {
	t := b.resp.Trailer
	report(b.endpoint, t.Get(wire.TrailerLoad))
	switch end := t.Get(wire.TrailerEnd); {
	case end == "":
		return b.reattach(io.ErrUnexpectedEOF)
	case end != wire.EndWhole:
		return verdict.New(verdict.Ran, verdict.Code(end), "the upstream's answer was not whole")
	case t.Get(wire.TrailerLength) != strconv.FormatInt(b.offset, 10), t.Get(wire.TrailerSum) != strconv.FormatUint(b.sum.Sum64(), 16):
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the answer's length or checksum is wrong")
	}
	return io.EOF
}

// reattach continues after a broken connection. It returns nil when reading
// can go on.
func (b *bodyReader) reattach(cause error) error {
	if b.ctx.Err() != nil {
		go b.s.giveUp(b.endpoint, b.call)
		return verdict.New(verdict.Ran, verdict.CodeDeadlineExceeded, "the deadline passed before the whole answer came")
	}
	if b.attached >= maxReattach {
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the answer was cut: %v", cause)
	}
	b.attached++
	resp, err := b.s.attach(b.ctx, b.endpoint, b.call, b.offset)
	if err != nil {
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the answer was cut: %v", err)
	}
	if resp.Header.Get(wire.HeaderError) != "" || !belongs(resp, b.endpoint, b.call) {
		resp.Body.Close()
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the answer was cut: %v", errors.Cause(cause))
	}
	b.resp.Body.Close()
	b.resp = resp
	return nil
}

// Close implements io.Closer. Closing before the end abandons a repeatable
// attempt.
func (b *bodyReader) Close() error {
	if b.failed == nil {
		go b.s.giveUp(b.endpoint, b.call)
	}
	return b.resp.Body.Close()
}
