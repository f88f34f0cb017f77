package pipeline

import (
	"bufio"
	"bytes"
	"encoding/json"

	"caperdrum.org/api/verdict"
)

// event is one server-sent event (WHATWG HTML, "Server-sent events").
type event struct {
	raw  []byte // including its empty line; line ends are normalized to a newline
	data []byte // the data lines joined by newlines; nil for a comment
}

var (
	donePayload = []byte("[DONE]")
	doneEvent   = []byte("data: [DONE]\n\n")
	dataField   = []byte("data:")
	eventEnd    = []byte("\n\n")
)

func (e *event) isDone() bool { return bytes.Equal(e.data, donePayload) }

// isObject reports whether the data starts like a JSON object.
func (e *event) isObject() bool { return len(e.data) > 0 && e.data[0] == '{' }

// isError reports whether the event is an engine's error instead of a chunk.
func (e *event) isError() bool {
	if !e.isObject() || !bytes.HasPrefix(bytes.TrimLeft(e.data[1:], " \t\r\n"), []byte(`"error"`)) {
		return false
	}
	var c struct {
		Error json.RawMessage `json:"error"`
	}
	return json.Unmarshal(e.data, &c) == nil && len(c.Error) > 0 && string(c.Error) != "null"
}

// readEvent reads one complete event into e and reuses its buffer. An incomplete event at the end of the
// stream is dropped.
func readEvent(r *bufio.Reader, e *event) error {
	e.raw, e.data = e.raw[:0], nil
	for {
		start := len(e.raw)
		if err := readLine(r, &e.raw); err != nil {
			return err
		}
		line := e.raw[start:]
		if len(line) == 1 {
			if start > 0 {
				e.joinData()
				return nil
			}
			e.raw = e.raw[:0] // empty lines before an event are ignored
		}
		if len(e.raw) > maxResponse {
			return verdict.New(verdict.Ran, verdict.CodeTooLarge, "an event exceeds %d bytes", maxResponse)
		}
	}
}

// readLine appends a line to b and normalizes its end to a newline.
func readLine(r *bufio.Reader, b *[]byte) error {
	for {
		part, err := r.ReadSlice('\n')
		*b = append(*b, part...)
		if err == bufio.ErrBufferFull && len(*b) <= maxResponse {
			continue
		}
		if err != nil {
			return err
		}
		if n := len(*b); n >= 2 && (*b)[n-2] == '\r' {
			*b = append((*b)[:n-2], '\n')
		}
		return nil
	}
}

// joinData sets the data of the event. A single data line is not copied.
func (e *event) joinData() {
	lines := 0
	for line := range bytes.Lines(e.raw) {
		rest, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		rest = bytes.TrimPrefix(rest[:len(rest)-1], []byte(" "))
		lines++
		switch lines {
		case 1:
			e.data = rest[:len(rest):len(rest)]
		default:
			e.data = append(append(e.data, '\n'), rest...)
		}
	}
}

// appendEvent appends an event with the given data.
func appendEvent(b, data []byte) []byte {
	for line := range bytes.Lines(data) {
		b = append(b, "data: "...)
		b = append(b, bytes.TrimSuffix(line, []byte("\n"))...)
		b = append(b, '\n')
	}
	return append(b, '\n')
}

// errorEvent returns the event that reports why a stream cannot be resumed.
func errorEvent(e *verdict.Error) []byte {
	var body struct {
		Error struct {
			Message string          `json:"message"`
			Type    string          `json:"type"`
			Code    verdict.Code    `json:"code"`
			Verdict verdict.Verdict `json:"verdict"`
		} `json:"error"`
	}
	body.Error.Message, body.Error.Type, body.Error.Code, body.Error.Verdict = e.Message, "server_error", e.Code, e.Verdict
	data, _ := json.Marshal(body) // marshalling these types cannot fail
	return appendEvent(nil, data)
}
