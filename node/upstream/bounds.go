package upstream

import (
	"bytes"
	"expvar"
	"io"

	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// Bounds of what is read of a response besides its body, which its reader bounds. An upstream may send bytes without end.
const (
	maxHeadBytes = wire.MaxResponseHeadBytes
	// maxHeadLines bounds the memory of a parsed head, which is many times the bytes of a short field.
	maxHeadLines = 256
	// maxInterimResponses bounds the informational responses before a response.
	maxInterimResponses = 16
	// maxStrayBytes bounds the body of a response to another call, which is read to reach the next response.
	maxStrayBytes = 8 << 20
)

// oversizedVar counts responses of which more came than is read, by part of the response.
var oversizedVar = expvar.NewMap("upstream_responses_oversized")

// CountOversized counts a response one part of which, such as an event, is above the bound of its reader.
func CountOversized(part string) { oversizedVar.Add(part, 1) }

// Reasons to stop reading a response.
var (
	errHeadTooLarge   = errors.Errorf("upstream: the head of the answer is above %d bytes or %d lines", maxHeadBytes, maxHeadLines)
	errTooManyInterim = errors.Errorf("upstream: there are more than %d interim answers", maxInterimResponses)
	errStrayTooLarge  = errors.Errorf("upstream: an answer to another call is above %d bytes", maxStrayBytes)
)

// headReader bounds what a connection's buffer reads while a head is being parsed. A head that is complete in the buffer
// is not affected by what follows it there.
type headReader struct {
	r       io.Reader
	parsing bool
	bytes   int // read since begin
	lines   int
	above   bool // the head is above the bound
}

// begin starts to bound what is read.
func (h *headReader) begin() { h.parsing, h.bytes, h.lines, h.above = true, 0, 0, false }

// end removes the bound.
func (h *headReader) end() { h.parsing = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.parsing {
		return h.r.Read(p)
	}
	if h.bytes >= maxHeadBytes || h.lines >= maxHeadLines {
		h.above = true
		return 0, errHeadTooLarge
	}
	n, err := h.r.Read(p)
	h.bytes += n
	h.lines += bytes.Count(p[:n], []byte("\n"))
	return n, err
}

// discardStray reads and drops the body of a response to another call.
func discardStray(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBytes+1))
	if err == nil && n > maxStrayBytes {
		return errStrayTooLarge
	}
	return err
}

// countOversized counts a response that was given up because of its size.
func countOversized(err error) {
	switch {
	case errors.Is(err, errHeadTooLarge):
		CountOversized("head")
	case errors.Is(err, errTooManyInterim):
		CountOversized("interim")
	case errors.Is(err, errStrayTooLarge):
		CountOversized("stray")
	}
}
