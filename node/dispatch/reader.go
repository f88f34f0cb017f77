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

// bodyReader reads a response and checks its end mark, length and checksum. When the connection breaks it
// attaches again at the current offset.
type bodyReader struct {
	s             *Service
	ctx           context.Context
	endpoint      *routing.Endpoint
	call          Call
	resp          *http.Response
	sum           *xxhash.Digest
	offset        int64
	reattachCount int
	err           error
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for b.err == nil {
		n, err := b.resp.Body.Read(p)
		b.offset += int64(n)
		b.sum.Write(p[:n])
		switch {
		case err == io.EOF:
			b.err = b.checkTrailers()
		case err != nil:
			b.err = b.reattach(err)
		}
		if n > 0 {
			return n, nil
		}
	}
	return 0, b.err
}

// checkTrailers returns io.EOF for a complete response.
func (b *bodyReader) checkTrailers() error {
	t := b.resp.Trailer
	reportLoad(b.endpoint, t.Get(wire.TrailerLoad))
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

// reattach attaches again after a broken connection. It returns nil when reading can continue.
func (b *bodyReader) reattach(cause error) error {
	if b.ctx.Err() != nil {
		go b.s.cancelAbandoned(b.endpoint, b.call)
		return verdict.New(verdict.Ran, verdict.CodeDeadlineExceeded, "the deadline passed before the whole answer came")
	}
	if b.reattachCount >= maxReattach {
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the answer was cut: %v", cause)
	}
	b.reattachCount++
	resp, err := b.s.attach(b.ctx, b.endpoint, b.call, b.offset)
	if err != nil {
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the answer was cut: %v", err)
	}
	if resp.Header.Get(wire.HeaderError) != "" || !matchesAttempt(resp, b.endpoint, b.call) {
		resp.Body.Close()
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the answer was cut: %v", errors.Cause(cause))
	}
	b.resp.Body.Close()
	b.resp = resp
	return nil
}

// Close implements io.Closer. Closing before the end cancels a repeatable attempt.
func (b *bodyReader) Close() error {
	if b.err == nil {
		go b.s.cancelAbandoned(b.endpoint, b.call)
	}
	return b.resp.Body.Close()
}
