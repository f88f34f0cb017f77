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
)

// maxPlainAnswer bounds an answer that is held until it is known to be whole.
const maxPlainAnswer = 8 << 20

// plain serves a call whose answer is one body. The answer is passed on only
// once it is whole, so that one that was cut can still be replaced.
func (x *exchange) plain(ctx context.Context) error {
	x.s.repeats.First(x.service.Name)
	var tried []wire.Start
	c := x.choice()
	c.short, c.affinity = true, 0
	for {
		a := x.send(ctx, &tried, c, "")
		body, err := x.whole(ctx, a)
		if err == nil && !x.failedItself(a) {
			x.pass(a, body)
			return nil
		}
		if err == nil {
			err = x.keep(a, body)
		}
		x.note(err)
		if err.Verdict != verdict.NotRun && !x.route.Repeatable() || ctx.Err() != nil || !x.mayRepeat(err) {
			return err
		}
	}
}

// whole reads the body of the attempt's answer.
func (x *exchange) whole(ctx context.Context, a *attempt) ([]byte, *verdict.Error) {
	if a.response == nil {
		return nil, a.err
	}
	if a.err != nil {
		x.drop(a, wasFull)
		return nil, a.err
	}
	body, err := io.ReadAll(&patientReader{ctx: ctx, r: io.LimitReader(a.response.Body, maxPlainAnswer+1), held: &x.held, free: freeBytes})
	how := failed
	switch {
	case err != nil && ctx.Err() != nil:
		how = unknown
	case err != nil:
		x.broke(a.member)
	case len(body) > maxPlainAnswer:
		err = errors.Errorf("the answer is above %d bytes", maxPlainAnswer)
	}
	if err != nil {
		x.drop(a, how)
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeAnswerCut, "the answer of %s was cut: %v", a.member.ID, err)
	}
	x.drop(a, stood)
	return body, nil
}

// keptAnswer is an upstream's whole answer that says that it failed.
type keptAnswer struct {
	from *attempt
	body []byte
}

// failedItself reports whether the upstream's answer is a failure of its own to
// a call that another upstream may be tried for.
func (x *exchange) failedItself(a *attempt) bool {
	return a.response.Status >= http.StatusInternalServerError && x.route.Repeatable()
}

// keep keeps such an answer: the caller gets it unless another try brings a
// better one.
func (x *exchange) keep(a *attempt, body []byte) *verdict.Error {
	x.kept = &keptAnswer{from: a, body: body}
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "%s answered %d", a.member.ID, a.response.Status)
}

// passKept passes the kept answer on. It reports false when there is none, or no
// caller to get it.
func (x *exchange) passKept() bool {
	if x.kept == nil || x.r.Context().Err() != nil {
		return false
	}
	x.pass(x.kept.from, x.kept.body)
	return true
}

// pass passes a whole answer on.
func (x *exchange) pass(a *attempt, body []byte) {
	x.firstByte = time.Since(x.began)
	x.copyHeader(a)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(a.response.Status)
	if x.r.Method != http.MethodHead {
		defer x.deliverBy(time.Now())()
		x.write(body) // a caller that left needs no answer
	}
	x.answered(a, "")
}

// write writes a part of the answer to the caller.
func (x *exchange) write(p []byte) error {
	_, err := x.w.Write(p)
	return x.delivered(err)
}

// delivered notes whether the caller took what was written. That it did not is no fault of an upstream.
func (x *exchange) delivered(err error) error {
	if err == nil || x.gone {
		return err
	}
	x.gone = true
	if errors.Is(err, os.ErrDeadlineExceeded) {
		slowVar.Add(1)
		x.s.log.Info("answer cut off", "request", x.call.ID, "route", x.route.Name, "reason", "the caller takes it too slowly", "after", time.Since(x.began))
	}
	return err
}

// deliverBy bounds how long the caller may take to read the answer that begins now. The function that it
// returns ends the bound: the connection serves further calls.
func (x *exchange) deliverBy(now time.Time) (end func()) {
	latest := x.deadline
	if latest.Before(now) {
		latest = now
	}
	c := http.NewResponseController(x.w)
	if c.SetWriteDeadline(latest.Add(lateDelivery)) != nil {
		return func() {} // a writer without deadlines
	}
	return func() { c.SetWriteDeadline(time.Time{}) }
}

func (x *exchange) copyHeader(a *attempt) {
	header := a.response.Header.Clone()
	dropHopByHop(header)
	maps.Copy(x.w.Header(), header)
}

// answered notes that the caller has got an upstream's answer.
func (x *exchange) answered(a *attempt, lastEvent string) {
	took := time.Since(x.began)
	observe(x.route, took)
	x.clear(a)
	x.s.log.V(logging.Routine).Info("call answered", "request", x.call.ID, "route", x.route.Name, "upstream", a.member.ID, "status", a.response.Status,
		"sends", x.sends, "first_byte", x.firstByte, "took", took, "goal", x.route.Goal, "late", x.firstByte > x.route.Goal, "last_event", lastEvent)
}
