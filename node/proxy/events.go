package proxy

import (
	"bytes"
	"mime"
	"net/http"
)

// eventSplitter passes on only complete server-sent events, so that when a stream breaks inside an event, no part of it
// was passed on that the next upstream sends again. A line ends with LF, CR or both.
type eventSplitter struct {
	pending []byte // what follows the last complete event
	lastID  string // ID of the last complete event that has one
	seen    bool   // an event was complete since the last reset

	lines   int    // bytes of pending that are complete lines
	scanned int    // bytes of pending that are known to hold no further line end
	field   bool   // one of these lines is a field, not a comment
	id      []byte // ID of the incomplete event; nil if it has none yet
}

// reset drops an incomplete event: the stream goes on at another upstream.
func (e *eventSplitter) reset() {
	*e = eventSplitter{lastID: e.lastID}
}

// feed adds bytes and returns those that complete events. The slice is valid until the next call.
func (e *eventSplitter) feed(p []byte) []byte {
	e.pending = append(e.pending, p...)
	end := 0
	for {
		line, size := firstLine(e.pending[e.lines:], max(0, e.scanned-e.lines))
		if size == 0 {
			e.scanned = max(e.lines, len(e.pending)-1) // a CR at the end is looked at again
			break
		}
		e.lines += size
		if len(line) > 0 {
			e.noteLine(line)
			continue
		}
		end = e.lines
		e.endEvent()
	}
	if end == 0 {
		return nil
	}
	whole := e.pending[:end:end]
	e.pending = append([]byte(nil), e.pending[end:]...)
	e.lines -= end
	e.scanned = max(0, e.scanned-end)
	return whole
}

// firstLine returns the first complete line of p without its end, and its size with it. Without one, size is zero. A CR
// at the end of p may be half of the end of a line; a blank line ends an event all the same. There is no line end in the
// first scanned bytes.
func firstLine(p []byte, scanned int) (line []byte, size int) {
	i := bytes.IndexAny(p[scanned:], "\r\n")
	if i < 0 {
		return nil, 0
	}
	i += scanned
	switch {
	case p[i] == '\n', i+1 < len(p) && p[i+1] != '\n':
		return p[:i], i + 1
	case i+1 < len(p):
		return p[:i], i + 2
	case i == 0:
		return p[:0], 1
	default:
		return nil, 0
	}
}

func (e *eventSplitter) noteLine(line []byte) {
	if isComment(line) {
		return
	}
	e.field = true
	if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		e.id = append([]byte{}, bytes.TrimSpace(id)...)
	}
}

func (e *eventSplitter) endEvent() {
	if e.id != nil {
		e.lastID = string(e.id)
	}
	e.seen = e.seen || e.field
	e.field, e.id = false, nil
}

func isComment(line []byte) bool { return bytes.HasPrefix(line, []byte(":")) }

// insideEvent reports whether a stream that ends here ends within an event. Where its framing does not state the end, an
// incomplete comment is a sign of that as well.
func (e *eventSplitter) insideEvent(framed bool) bool {
	open := e.pending[e.lines:]
	return e.field || len(open) > 0 && !(framed && isComment(open))
}

// statesEvents reports whether a response with the headers may be a stream of events.
func statesEvents(h http.Header) bool {
	stated := h.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(stated)
	return stated == "" || err == nil && mediaType == "text/event-stream"
}
