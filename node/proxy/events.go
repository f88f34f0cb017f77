package proxy

import (
	"bytes"
)

// eventSplitter passes on only complete server-sent events, so that when a stream breaks inside an event,
// no part of it was passed on that the next upstream sends again.
type eventSplitter struct {
	pending []byte
	lastID  string // ID of the last complete event
}

// feed adds bytes and returns those that complete events. The slice is valid until the next call.
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

// completeEventsEnd returns the offset after the last blank line, which ends an event.
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
