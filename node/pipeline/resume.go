package pipeline

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
)

// resumer passes on a chat's event stream, whole events only. When the stream
// is cut, falls silent or ends without its final event, another engine goes on
// after the last event passed on, so the caller sees one stream without a gap
// or a repetition. The engine recomputes the prefix: the request carries the
// text so far as a final assistant message to be continued.
type resumer struct {
	ctx context.Context
	s   *Service
	w   *work
	cur *stream

	passed   transcript
	origin   *progress // what was passed on before the current engine; nil for the first one
	pending  []byte    // events that the caller has not read yet
	event    event
	ended    bool // the final event was passed on
	err      error
	lastData time.Time
	first    bool // no event of the current engine was read yet
	barren   int  // resumptions in a row without any new text
	gap      *gap
}

const (
	silenceFactor = 20 // times the usual gap between events
	minSilence    = 500 * time.Millisecond
	coldSilence   = 2 * time.Second
	endWait       = 250 * time.Millisecond // for the end mark after the final event
	maxBarren     = 4
)

func newResumer(ctx context.Context, s *Service, w *work, st *stream) *resumer {
	return &resumer{ctx: ctx, s: s, w: w, cur: st, lastData: time.Now(), first: true, gap: s.gaps.of(w.Service)}
}

// Read implements io.Reader. It returns as many whole events as have come.
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
func (r *resumer) Close() error { return r.cur.Close() }

// fill reads at least one event, and those that follow without a wait.
func (r *resumer) fill() {
	r.pending = r.pending[:0]
	if r.ended {
		r.drain()
		r.err = io.EOF
		return
	}
	for {
		err := r.next()
		if err == nil {
			err = r.pass()
		}
		if err != nil {
			r.cut(err)
			return
		}
		if r.ended || len(r.pending) > 0 && r.cur.events.Buffered() == 0 {
			return
		}
	}
}

// next reads an event, and abandons the attempt when none comes for much
// longer than usual.
func (r *resumer) next() error {
	err := r.cur.event(&r.event, r.patience)
	if err == io.EOF {
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the stream ended without its final event")
	}
	if err != nil {
		return err
	}
	if len(r.event.data) > 0 {
		r.noteData(time.Now())
	}
	return nil
}

func (r *resumer) noteData(now time.Time) {
	if !r.first {
		r.gap.add(now.Sub(r.lastData))
	}
	r.first = false
	r.lastData = now
}

// patience returns how long to wait for the next event. Comments do not renew
// it: an engine that hangs may still send them.
func (r *resumer) patience() time.Duration {
	limit := coldSilence
	if usual := time.Duration(r.gap.value.Load()); usual > 0 && !r.first {
		limit = max(silenceFactor*usual, minSilence)
	}
	limit = min(limit, max(time.Until(r.w.Deadline)/2, minSilence))
	return max(limit-time.Since(r.lastData), 0)
}

// pass hands the event to the caller.
func (r *resumer) pass() error {
	switch {
	case r.event.data == nil:
		r.pending = append(r.pending, r.event.raw...) // a comment
	case !r.event.object() && !r.event.done():
		// Neither a chunk nor the final event: a caller could not read it.
	case r.event.object() && !json.Valid(r.event.data):
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "an event of the stream was cut")
	case r.event.failed():
		return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the engine reported an error in its stream")
	case r.event.done():
		r.ended = true
		r.pending = append(r.pending, doneEvent...)
	case r.origin == nil:
		r.passed.add(r.event.data)
		r.pending = append(r.pending, r.event.raw...)
	default:
		data, err := r.origin.rewrite(r.event.data)
		if err != nil {
			return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "an event of the stream is not a chunk: %v", err)
		}
		if data != nil {
			r.passed.add(data)
			r.pending = appendEvent(r.pending, data)
		}
	}
	return nil
}

// drain reads the end mark behind the final event, so that the connection can
// be used again. All events were passed on, so a failure means nothing.
func (r *resumer) drain() {
	watch := time.AfterFunc(endWait, r.cur.cancel)
	defer watch.Stop()
	io.Copy(io.Discard, r.cur)
}

// cut goes on elsewhere after the given failure, or ends the stream with an
// error event and the failure.
func (r *resumer) cut(cause error) {
	r.cur.Close()
	err := r.resume()
	if err == nil {
		return
	}
	e := *verdict.From(err)
	e.Message += " (after: " + verdict.From(cause).Message + ")"
	r.pending = append(r.pending, errorEvent(&e)...)
	r.err = &e
}

// resume continues the stream at another engine.
func (r *resumer) resume() error {
	p := r.passed.read()
	switch {
	case p.finished:
		r.complete()
		return nil
	case r.ctx.Err() != nil || !time.Now().Before(r.w.Deadline):
		return verdict.New(verdict.Ran, verdict.CodeDeadlineExceeded, "the deadline passed before the whole answer came")
	case !p.resumable:
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the stream was cut and holds more than one choice of plain text")
	case r.stuck(&p):
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the stream was cut again and again without any new text")
	case !r.s.retryBudget(r.w.service).Take():
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the stream was cut and the retry budget is used up")
	}
	body, err := continuation(r.w.Body, &p)
	if errors.Is(err, errComplete) {
		return r.completeAtLimit(&p)
	}
	if err != nil {
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the stream was cut and cannot go on: %v", err)
	}
	return r.goOn(body, &p)
}

func (r *resumer) stuck(p *progress) bool {
	if r.origin != nil && p.tokens == r.origin.tokens {
		r.barren++
	} else {
		r.barren = 0
	}
	return r.barren >= maxBarren
}

func (r *resumer) goOn(body []byte, p *progress) error {
	next := *r.w
	next.Body = body
	a, err := r.s.exchange(r.ctx, &next)
	if err != nil {
		e := *verdict.From(err)
		e.Verdict = verdict.Ran // the part before the cut did
		return &e
	}
	if a.stream == nil {
		return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the engine that was to go on answered with status %d", a.status)
	}
	resumesVar.Add(1)
	recomputed.Add(int64(p.tokens))
	r.s.record("stream-resumed", &r.w.Call, r.w.Stage)
	r.cur, r.origin = a.stream, p
	r.first, r.lastData = true, time.Now()
	return nil
}

// complete ends a stream of which only the final event was lost.
func (r *resumer) complete() {
	r.pending = append(r.pending, doneEvent...)
	r.ended = true
}

// completeAtLimit ends a stream whose last token was passed on, but not the
// chunk that says so.
func (r *resumer) completeAtLimit(p *progress) error {
	p.first["choices"] = json.RawMessage(`[{"index":0,"delta":{},"finish_reason":"length"}]`)
	delete(p.first, "usage")
	data, err := json.Marshal(p.first)
	if err != nil {
		return errors.Trace(err)
	}
	r.pending = appendEvent(r.pending, data)
	r.complete()
	return nil
}
