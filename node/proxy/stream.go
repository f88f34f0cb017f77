package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/stagework"
	"caperdrum.org/node/upstream"
)

const readChunk = 16 << 10

// stream serves a call whose answer is a stream of events.
func (x *exchange) stream(ctx context.Context) error {
	x.s.repeats.First(x.service.Name)
	defer func() { x.release() }()
	var tried []wire.Start
	c := x.choice()
	out := &streamWriter{x: x}
	out.events.last = x.call.LastEvent
	remade := false
	for {
		if err := x.runStages(ctx); err != nil {
			return out.abandon(verdict.From(err))
		}
		c.wanted = x.engine
		a := x.send(ctx, &tried, c, out.events.last)
		if a.inputsGone() {
			x.drop(a, stood)
			x.release()
			// Once they were lost a second time, a third engine will hardly find them.
			if remade || !x.maySend(inputsLost) {
				return out.abandon(errInputsLost(a.member.ID))
			}
			remade, tried = true, nil
			x.sends--
			continue
		}
		done, err := x.relay(ctx, a, out)
		if done {
			return nil
		}
		x.note(err)
		if err.Verdict != verdict.NotRun && !x.route.Repeatable() || ctx.Err() != nil || x.gone || !x.mayRepeat(err) {
			return out.abandon(err)
		}
		x.s.log.Info("stream goes on elsewhere", "request", x.call.ID, "from", a.member.ID, "last_event", out.events.last, "reason", err.Message)
	}
}

// inputsGone reports whether results of the stages were lost before the
// upstream had fetched them.
func (a *attempt) inputsGone() bool {
	return a.response != nil && a.response.Status == http.StatusConflict && a.response.Answer.NotRun
}

func errInputsLost(engine wire.MemberID) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "results of the stages were lost before %s had them", engine).WithRetryAfter(comeBack)
}

// relay passes an upstream's stream on. It reports whether the caller has got
// its answer.
func (x *exchange) relay(ctx context.Context, a *attempt, out *streamWriter) (done bool, verr *verdict.Error) {
	if a.response == nil {
		return false, a.err
	}
	if a.err != nil {
		x.drop(a, wasFull)
		return false, a.err
	}
	if a.response.Status != http.StatusOK {
		if out.begun {
			x.drop(a, failed)
			return false, verdict.New(verdict.MayHaveRun, verdict.CodeAnswerCut, "%s answered %d to a stream that goes on", a.member.ID, a.response.Status)
		}
		body, err := x.whole(ctx, a)
		if err != nil {
			return false, err
		}
		if x.failedItself(a) {
			return false, x.keep(a, body)
		}
		x.pass(a, body)
		return true, nil
	}
	out.begin(a)
	x.report(a.member, stagework.EngineBegan)
	x.release()
	err := out.copy(ctx, a)
	switch {
	case err == io.EOF:
		x.drop(a, stood)
		out.finish()
		x.answered(a, out.events.last)
		return true, nil
	case ctx.Err() != nil, x.gone:
		x.drop(a, unknown)
	default:
		x.broke(a.member)
		x.drop(a, failed)
	}
	return false, verdict.New(verdict.MayHaveRun, verdict.CodeAnswerCut, "the stream of %s broke off: %v", a.member.ID, err)
}

// streamWriter writes the caller's stream.
type streamWriter struct {
	x      *exchange
	begun  bool
	events eventSplitter
}

// begin sends the first upstream's headers; those of the ones after it are not
// passed on.
func (o *streamWriter) begin(a *attempt) {
	if o.begun {
		o.events.pending = nil
		return
	}
	o.begun = true
	o.x.firstByte = time.Since(o.x.began)
	o.x.copyHeader(a)
	o.x.w.WriteHeader(http.StatusOK)
	http.NewResponseController(o.x.w).Flush()
}

// copy passes whole events on as they come. It returns io.EOF after a whole
// stream.
func (o *streamWriter) copy(ctx context.Context, a *attempt) error {
	defer o.x.deliverBy(time.Now())()
	ahead := newSpool(ctx, a.response.Body, o.x.s.holdings)
	err := o.copyFrom(ahead)
	if err != io.EOF {
		a.response.Abort() // a read that waits
	}
	ahead.drop()
	return err
}

func (o *streamWriter) copyFrom(ahead *spool) error {
	flush := http.NewResponseController(o.x.w)
	for {
		data, err := ahead.next()
		if err != nil {
			return err
		}
		if whole := o.events.feed(data); len(whole) > 0 {
			if err := o.x.write(whole); err != nil {
				return err
			}
			if err := o.x.delivered(flush.Flush()); err != nil {
				return err
			}
		}
	}
}

// finish passes on what followed the last event of a whole stream.
func (o *streamWriter) finish() {
	if len(o.events.pending) > 0 {
		o.x.write(o.events.pending)
	}
}

// abandon ends a stream that cannot go on: as a refusal before it began, and
// else so that it does not look whole.
func (o *streamWriter) abandon(err *verdict.Error) error {
	if !o.begun {
		return err
	}
	brokenVar.Add(1)
	o.x.s.log.Info("stream broken off", "request", o.x.call.ID, "route", o.x.route.Name, "last_event", o.events.last, "reason", err.Message,
		"sends", o.x.sends, "after", time.Since(o.x.began), "caller_left", o.x.r.Context().Err() != nil)
	panic(http.ErrAbortHandler)
}

// runStages has the stages of the call done, unless their results are there.
func (x *exchange) runStages(ctx context.Context) error {
	if x.staged {
		return nil
	}
	job, pieces := x.job()
	if pieces == 0 {
		x.chooseEngine(ctx, job)
		return nil
	}
	began := time.Now()
	result, release, err := x.s.stages.Run(ctx, job)
	if err != nil {
		return err
	}
	x.s.endpoints.hear(result.Dark, time.Now())
	x.inputs, x.staged, x.releaseResults = result.Handles, true, release
	x.engine, x.fetchFrom, x.engineOutcome = result.Engine, result.FetchFrom, stagework.EngineUnknown
	x.s.log.V(logging.Routine).Info("stages done", "request", x.call.ID, "pieces", pieces, "results", len(result.Handles), "took", time.Since(began), "left", time.Until(x.deadline))
	return nil
}

// chooseEngine asks for the engine of a call without stages. Without an answer this
// process chooses by itself.
func (x *exchange) chooseEngine(ctx context.Context, job stagework.Job) {
	if job.Prompt == nil {
		return
	}
	result, release, ok := x.s.stages.Choose(ctx, job)
	if !ok {
		return
	}
	x.s.endpoints.hear(result.Dark, time.Now())
	x.staged, x.releaseResults, x.engine, x.fetchFrom = true, release, result.Engine, result.FetchFrom
}

func (x *exchange) job() (job stagework.Job, pieces int) {
	job = stagework.Job{ID: x.call.ID, Key: x.call.PieceKey, Left: time.Until(x.deadline),
		Goal: time.Until(x.began.Add(x.route.Goal - engineStart(x.call.Prefix))), DataCenter: x.engineAt(), Priority: x.route.Priority, Within: x.within}
	if len(x.call.Prefix) > 0 {
		job.FirstEvent = time.Until(x.began.Add(x.route.Goal))
		job.Prompt = &stagework.Prompt{Service: x.service.Name, Parts: x.call.Prefix, Within: x.within}
	}
	for i, st := range x.route.Stages {
		n := 0
		if i < len(x.call.Pieces) {
			n = x.call.Pieces[i]
		}
		pieces += n
		job.Stages = append(job.Stages, stagework.Stage{Service: st.Service, After: st.Inputs, Pieces: n, Bytes: st.ResultBytes})
	}
	return job, pieces
}

// engineAt is the data centre of the engine that the call would go to now: large
// results are best made there.
func (x *exchange) engineAt() string {
	m, ok := x.s.endpoints.peek(x.upstreams(x.service.Name), x.choice(), time.Now())
	if !ok {
		return x.s.set.Node.DataCenter
	}
	return m.DataCenter
}

// choice is how the call's engine is chosen.
func (x *exchange) choice() choice {
	return choice{dataCenter: x.s.set.Node.DataCenter, affinity: upstream.PrefixHash(x.call.Prefix),
		cold: coldShare{limit: x.s.set.Proxy.ColdLimit(), rate: x.service.ColdRate, self: x.s.sync.Self().ID, nearby: x.s.table.Load().proxiesIn[x.s.set.Node.DataCenter]}}
}

const (
	// engineFirst is how long an engine takes to its first event besides reading the
	// prompt: 47 ms by the users' sheet, links, and turns of other calls.
	engineFirst = 90 * time.Millisecond
	// prefillRate is how many tokens of a prompt an engine reads in a millisecond.
	// The users' sheet says 112, which other calls at the engine share.
	prefillRate = 80
	// longestPrompt bounds what a caller may claim, in tokens: twice the longest that
	// the users describe.
	longestPrompt = 128 << 10
)

// engineStart is left of a goal for the engine to read the prompt and begin. Only
// the last part of a prompt is certainly read: engines keep shared ones.
func engineStart(prompt []upstream.PromptPart) time.Duration {
	if len(prompt) == 0 {
		return engineFirst
	}
	tokens := min(max(prompt[len(prompt)-1].Tokens, 0), longestPrompt)
	return engineFirst + time.Duration(tokens)*time.Millisecond/prefillRate
}

// release gives the results of the stages up: an upstream has fetched them, or
// the call is over. Another upstream needs them made again.
func (x *exchange) release() {
	if x.staged {
		x.staged = false
		x.releaseResults(x.engineOutcome)
	}
}
