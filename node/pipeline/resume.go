package pipeline

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
)

// resumer forwards a chat's event stream, complete events only. When the stream breaks off, stalls or ends
// without its final event, another engine continues after the last forwarded event, so that the caller sees
// one stream without a gap or a repetition. That engine recomputes the prefix: its request carries the text
// so far as a final assistant message to be continued.
type resumer struct {
	ctx     context.Context
	s       *Service
	w       *callSpec
	current *stream

	forwarded     transcript
	prior         *progress // what was forwarded before the current engine; nil for the first one
	pending       []byte    // events that the caller has not read yet
	event         event
	ended         bool // the final event was forwarded
	err           error
	lastData      time.Time
	awaitingFirst bool // no event of the current engine was read yet
	emptyResumes  int  // consecutive resumptions without new text
	gap           *movingAverage
}

const (
	maxGapFactor      = 20 // times the average gap between events
	minEventTimeout   = 500 * time.Millisecond
	firstEventTimeout = 2 * time.Second
	doneWait          = 250 * time.Millisecond // for the end of the stream after the final event
	maxEmptyResumes   = 4
)

func newResumer(ctx context.Context, s *Service, w *callSpec, st *stream) *resumer {
	return &resumer{ctx: ctx, s: s, w: w, current: st, lastData: time.Now(), awaitingFirst: true, gap: s.gaps.get(w.Service)}
}

// Read implements io.Reader. It returns as many complete events as have arrived.
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
func (r *resumer) Close() error { return r.current.Close() }

// fill reads at least one event, and those after it that are buffered.
func (r *resumer) fill() {
	r.pending = r.pending[:0]
	if r.ended {
		r.drain()
		r.err = io.EOF
		return
	}
	for {
		err := r.readNext()
		if err == nil {
			err = r.forwardEvent()
		}
		if err != nil {
			r.handleCut(err)
			return
		}
		if r.ended || len(r.pending) > 0 && r.current.events.Buffered() == 0 {
			return
		}
	}
}

// readNext reads an event. It abandons the attempt if none arrives within eventTimeout.
func (r *resumer) readNext() error {
	err := r.current.nextEvent(&r.event, r.eventTimeout)
	if err == io.EOF {
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the stream ended without its final event")
	}
	if err != nil {
		return err
	}
	if len(r.event.data) > 0 {
		r.recordGap(time.Now())
	}
	return nil
}

func (r *resumer) recordGap(now time.Time) {
	if !r.awaitingFirst {
		r.gap.add(now.Sub(r.lastData))
	}
	r.awaitingFirst = false
	r.lastData = now
}

// eventTimeout returns how long to wait for the next event. Comments do not extend it: an engine that hangs
// may still send them.
func (r *resumer) eventTimeout() time.Duration {
	limit := firstEventTimeout
	if usual := time.Duration(r.gap.value.Load()); usual > 0 && !r.awaitingFirst {
		limit = max(maxGapFactor*usual, minEventTimeout)
	}
	limit = min(limit, max(time.Until(r.w.Deadline)/2, minEventTimeout))
	return max(limit-time.Since(r.lastData), 0)
}

// forwardEvent appends the event to those that the caller reads.
func (r *resumer) forwardEvent() error {
	switch {
	case r.event.data == nil:
		r.pending = append(r.pending, r.event.raw...) // a comment
	case !r.event.isObject() && !r.event.isDone():
		// Neither a chunk nor the final event: callers could not parse it.
	case r.event.isObject() && !json.Valid(r.event.data):
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "an event of the stream was cut")
	case r.event.isError():
		return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the engine reported an error in its stream")
	case r.event.isDone():
		r.ended = true
		r.pending = append(r.pending, doneEvent...)
	case r.prior == nil:
		r.forwarded.add(r.event.data)
		r.pending = append(r.pending, r.event.raw...)
	default:
		data, err := r.prior.rewrite(r.event.data)
		if err != nil {
			return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "an event of the stream is not a chunk: %v", err)
		}
		if data != nil {
			r.forwarded.add(data)
			r.pending = appendEvent(r.pending, data)
		}
	}
	return nil
}

// drain reads to the end of the stream behind the final event, so that the connection can be reused. All
// events were forwarded, so failures are ignored.
func (r *resumer) drain() {
	watch := time.AfterFunc(doneWait, r.current.cancel)
	defer watch.Stop()
	io.Copy(io.Discard, r.current)
}

// handleCut resumes the stream at another engine after the given failure, or ends it with an error event and
// the error.
func (r *resumer) handleCut(cause error) {
	r.current.Close()
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
	p := r.forwarded.progress()
	switch {
	case p.finished:
		r.complete()
		return nil
	case r.ctx.Err() != nil || !time.Now().Before(r.w.Deadline):
		return verdict.New(verdict.Ran, verdict.CodeDeadlineExceeded, "the deadline passed before the whole answer came")
	case !p.resumable:
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the stream was cut and holds more than one choice of plain text")
	case r.noProgress(&p):
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the stream was cut again and again without any new text")
	case !r.s.retryBudget(r.w.service).Take():
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the stream was cut and the retry budget is used up")
	}
	body, err := continuation(r.w.Body, &p)
	if errors.Is(err, errTokenLimitReached) {
		return r.completeAtLimit(&p)
	}
	if err != nil {
		return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "the stream was cut and cannot go on: %v", err)
	}
	return r.continueWith(body, &p)
}

func (r *resumer) noProgress(p *progress) bool {
	if r.prior != nil && p.tokens == r.prior.tokens {
		r.emptyResumes++
	} else {
		r.emptyResumes = 0
	}
	return r.emptyResumes >= maxEmptyResumes
}

func (r *resumer) continueWith(body []byte, p *progress) error {
	next := *r.w
	next.Body = body
	a, err := r.s.exchange(r.ctx, &next)
	if err != nil {
		e := *verdict.From(err)
		e.Verdict = verdict.Ran // the part before the failure ran
		return &e
	}
	if a.stream == nil {
		return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the engine that was to go on answered with status %d", a.status)
	}
	resumesVar.Add(1)
	recomputed.Add(int64(p.tokens))
	r.s.recordEvent("stream-resumed", &r.w.Call, r.w.Stage)
	r.current, r.prior = a.stream, p
	r.awaitingFirst, r.lastData = true, time.Now()
	return nil
}

// complete ends a stream of which only the final event was lost.
func (r *resumer) complete() {
	r.pending = append(r.pending, doneEvent...)
	r.ended = true
}

// completeAtLimit ends a stream whose last token was forwarded, but not the chunk with the finish reason.
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
