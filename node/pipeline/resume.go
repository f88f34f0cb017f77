package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/dispatch"
)

// resumer passes on a chat's event stream, whole events only. When the stream
// is cut it has another engine continue after the last event passed on, so the
// caller sees one stream without a gap or a repetition. The engine recomputes
// the prefix: the request carries the text so far as a final assistant message
// to be continued.
type resumer struct {
	ctx     context.Context
	s       *Service
	call    dispatch.Call
	service *optext.Service

	body    io.ReadCloser
	events  *bufio.Reader
	text    strings.Builder // content passed on so far
	pending []byte          // rest of an event that the caller has not read yet
	ended   bool            // the final event was passed on
	err     error
}

const doneEvent = wire.EndStreamOfChat + "\n\n"

func newResumer(ctx context.Context, s *Service, c dispatch.Call, sv *optext.Service, body io.ReadCloser) *resumer {
	return &resumer{ctx: ctx, s: s, call: c, service: sv, body: body, events: bufio.NewReader(body)}
}

// Read implements io.Reader.
func (r *resumer) Read(p []byte) (int, error) {
	for len(r.pending) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		r.fill()
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// Close implements io.Closer.
func (r *resumer) Close() error { return r.body.Close() }

func (r *resumer) fill() {
	event, err := r.nextEvent()
	if err == nil {
		r.note(event)
		r.pending = event
		return
	}
	if err == io.EOF && r.ended {
		r.err = io.EOF
		return
	}
	if err == io.EOF {
		err = verdict.New(verdict.Ran, verdict.CodeCut, "the stream ended without its final event")
	}
	if r.ended {
		// All events were passed on; only the end mark was lost.
		r.err = io.EOF
		return
	}
	if resumeErr := r.resume(); resumeErr != nil {
		r.err = errors.Wrap(resumeErr, err)
	}
}

// nextEvent returns one whole event with its empty line. A part of an event at
// the end of a cut stream is dropped.
func (r *resumer) nextEvent() ([]byte, error) {
	var event []byte
	for {
		line, err := r.events.ReadBytes('\n')
		if err != nil {
			return nil, err
		}
		event = append(event, line...)
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
}

type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// note keeps the text of an event that is passed on.
func (r *resumer) note(event []byte) {
	if string(event) == doneEvent {
		r.ended = true
		return
	}
	for line := range bytes.Lines(event) {
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		var c streamChunk
		if ok && json.Unmarshal(data, &c) == nil && len(c.Choices) > 0 {
			r.text.WriteString(c.Choices[0].Delta.Content)
		}
	}
}

// resume continues the stream at another engine.
func (r *resumer) resume() error {
	if r.ctx.Err() != nil || !time.Now().Before(r.call.Deadline) {
		return verdict.New(verdict.Ran, verdict.CodeTimeout, "the deadline passed before the whole answer came")
	}
	if !r.s.budget(r.service).Take() {
		return verdict.New(verdict.Ran, verdict.CodeCut, "the stream was cut and the retry budget is used up")
	}
	body, err := continuation(r.call.Body, r.text.String())
	if err != nil {
		return err
	}
	next := r.call
	next.Body = body
	a, err := r.s.Call(r.ctx, next, r.service)
	if err != nil {
		return err
	}
	retriesVar.Add(1)
	r.s.p.Ring.Record(timeline.Event{Kind: "stream-resumed", Request: string(r.call.Request), Customer: r.call.Customer, Detail: r.call.Stage})
	r.body.Close()
	r.body, r.events = a.Body, bufio.NewReader(a.Body)
	return nil
}

// continuation returns the chat request that goes on after text. It keeps
// every field of the original request.
func continuation(request []byte, text string) ([]byte, error) {
	if text == "" {
		return request, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(request, &fields); err != nil {
		return nil, errors.Trace(err)
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return nil, errors.Trace(err)
	}
	partial, err := json.Marshal(message{Role: "assistant", Content: text})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if fields["messages"], err = json.Marshal(append(messages, partial)); err != nil {
		return nil, errors.Trace(err)
	}
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	out, err := json.Marshal(fields)
	return out, errors.Trace(err)
}
