package proxy

import (
	"bytes"
)

// eventSplitter cuts a stream of server-sent events into whole events, so that
// a break in the middle of one passes nothing on that the next upstream sends
// again.
type eventSplitter struct {
	pending []byte
	lastID  string // id of the last whole event
}

// feed takes in bytes and returns those that complete events; the slice is
// valid until the next call.
func (e *eventSplitter) feed(p []byte) []byte {
	e.pending = append(e.pending, p...)
	end := completeEventsEnd(e.pending)
	if end == 0 {
		return nil
	}
	whole := e.pending[:end:end]
	e.noteID(whole)
	e.pending = append([]byte(nil), e.pending[end:]...)
	return whole
}

// wholeEvents returns where the last blank line ends.
func completeEventsEnd(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(p, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

func (e *eventSplitter) noteID(whole []byte) {
	for line := range bytes.Lines(whole) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}
