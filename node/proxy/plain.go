package proxy

import (
	"context"
	"io"
	"maps"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/upstream"
)

// maxPlainResponseBytes bounds a response, which is buffered until it is complete.
const maxPlainResponseBytes = 8 << 20

// servePlain serves a call whose response is a single body. The response is passed on only once it is complete, so
// that a truncated one can still be replaced by that of another upstream.
func (x *exchange) servePlain(ctx context.Context) error {
	x.s.repeats.First(x.service.Name)
	var tried []wire.Start
	c := x.selectionCriteria()
	c.shortCalls, c.affinity = true, 0
	for {
		a := x.send(ctx, &tried, c, "")
		answer, err := x.readResponse(ctx, a)
		if err == nil && !x.isRepeatableFailure(a) {
			x.sendResponse(answer)
			return nil
		}
		if err == nil {
			err = x.saveFailure(answer)
		}
		x.noteFailure(err)
		if err.Verdict != verdict.NotRun && !x.route.Repeatable() || ctx.Err() != nil || !x.mayRepeat(err) {
			return err
		}
	}
}

// plainAnswer is a complete response.
type plainAnswer struct {
	from   *attempt
	body   []byte
	ending upstream.Ending
}

// readResponse reads the body of the attempt's response and ends the attempt.
func (x *exchange) readResponse(ctx context.Context, a *attempt) (*plainAnswer, *verdict.Error) {
	if a.response == nil {
		return nil, a.err
	}
	if a.err != nil {
		x.discard(a, callRefused)
		return nil, a.err
	}
	body, err := io.ReadAll(&responseReader{ctx: ctx, r: io.LimitReader(a.response.Body, maxPlainResponseBytes+1), memory: &x.memory, uncounted: uncountedBytes})
	ending := x.end(a, upstream.BodyEnd{Err: err, Abandoned: ctx.Err() != nil, TooLarge: len(body) > maxPlainResponseBytes})
	switch {
	case ending == upstream.EndedTooLarge:
		upstream.CountOversized("body")
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeAnswerCut, "the answer of %s is above %d bytes", a.member.ID, maxPlainResponseBytes)
	case !ending.Complete():
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeAnswerCut, "the answer of %s was cut (%s, framing %s): %v", a.member.ID, ending, a.response.Framing(), err)
	}
	return &plainAnswer{from: a, body: body, ending: ending}, nil
}

// isRepeatableFailure reports whether the upstream answered with a server error to a call that may be repeated
// at another upstream.
func (x *exchange) isRepeatableFailure(a *attempt) bool {
	return a.response.Status >= http.StatusInternalServerError && x.route.Repeatable()
}

// saveFailure saves such a response: the caller gets it unless a repeat brings a better one.
func (x *exchange) saveFailure(answer *plainAnswer) *verdict.Error {
	x.savedFailure = answer
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "%s answered %d", answer.from.member.ID, answer.from.response.Status)
}

// sendSavedFailure sends the saved response to the caller. It returns false if there is none or the caller has left.
func (x *exchange) sendSavedFailure() bool {
	if x.savedFailure == nil || x.r.Context().Err() != nil {
		return false
	}
	x.sendResponse(x.savedFailure)
	return true
}

// sendResponse sends a complete response to the caller.
func (x *exchange) sendResponse(answer *plainAnswer) {
	x.firstByte = time.Since(x.began)
	x.copyHeader(answer.from)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	x.w.WriteHeader(answer.from.response.Status)
	if x.r.Method != http.MethodHead {
		defer x.setWriteDeadline(time.Now())()
		x.write(answer.body) // the error is ignored: a caller that left needs no response
	}
	x.recordResponse(answer.from, answer.ending, "")
}

// write writes a part of the response to the caller.
func (x *exchange) write(p []byte) error {
	_, err := x.w.Write(p)
	return x.noteWriteError(err)
}

// noteWriteError records that the caller no longer reads its response, which is no fault of an upstream. It returns err.
func (x *exchange) noteWriteError(err error) error {
	if err == nil || x.callerGone {
		return err
	}
	x.callerGone = true
	if errors.Is(err, os.ErrDeadlineExceeded) {
		slowCallersVar.Add(1)
		x.s.log.Info("answer aborted", "request", x.call.ID, "route", x.route.Name, "reason", "the caller reads it too slowly", "after", time.Since(x.began))
	}
	return err
}

// setWriteDeadline limits how long the caller may take to read the response that begins now. The returned function
// removes the limit, as the connection serves further calls.
func (x *exchange) setWriteDeadline(now time.Time) (end func()) {
	latest := x.deadline
	if latest.Before(now) {
		latest = now
	}
	c := http.NewResponseController(x.w)
	if c.SetWriteDeadline(latest.Add(writeGrace)) != nil {
		return func() {} // the writer does not support deadlines
	}
	return func() { c.SetWriteDeadline(time.Time{}) }
}

func (x *exchange) copyHeader(a *attempt) {
	header := a.response.Header.Clone()
	dropHopByHop(header)
	maps.Copy(x.w.Header(), header)
}

// recordResponse records that the caller got an upstream's complete response.
func (x *exchange) recordResponse(a *attempt, ending upstream.Ending, lastEvent string) {
	took := time.Since(x.began)
	observe(x.route, took)
	if !x.resumed { // a part of a stream tells little about whole ones
		x.s.callTimes.Record(x.route.Name, took)
	}
	x.reportAnswered(a, ending)
	x.s.log.V(logging.Routine).Info("call answered", "request", x.call.ID, "route", x.route.Name, "upstream", a.member.ID, "version", a.member.Version, "status", a.response.Status,
		"sends", x.sends, "first_byte", x.firstByte, "took", took, "goal", x.route.Goal, "late", x.firstByte > x.route.Goal, "last_event", lastEvent,
		"framing", a.response.Framing(), "ended", ending)
}
