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

const readChunkBytes = 16 << 10

// stream serves a call whose answer is a stream of events.
func (x *exchange) serveStream(ctx context.Context) error {
	x.s.repeats.First(x.service.Name)
	defer func() { x.releaseStages() }()
	var tried []wire.Start
	c := x.selectionCriteria()
	out := &streamWriter{x: x}
	out.events.lastID = x.call.LastEvent
	rerun := false
	for {
		if err := x.runStages(ctx); err != nil {
			return out.fail(verdict.From(err))
		}
		c.chosen = x.engine
		a := x.send(ctx, &tried, c, out.events.lastID)
		if a.inputsGone() {
			x.discard(a, callAnswered)
			x.releaseStages()
			// Once they were lost a second time, a third engine will hardly find them.
			if rerun || !x.allowRepeat(inputsLost) {
				return out.fail(errInputsLost(a.member.ID))
			}
			rerun, tried = true, nil
			x.sends--
			continue
		}
		done, err := x.relay(ctx, a, out)
		if done {
			return nil
		}
		x.noteFailure(err)
		if err.Verdict != verdict.NotRun && !x.route.Repeatable() || ctx.Err() != nil || x.callerGone || !x.mayRepeat(err) {
			return out.fail(err)
		}
		x.s.log.Info("stream goes on elsewhere", "request", x.call.ID, "from", a.member.ID, "last_event", out.events.lastID, "reason", err.Message)
	}
}

// inputsGone reports whether results of the stages were lost before the
// upstream had fetched them.
func (a *attempt) inputsGone() bool {
	return a.response != nil && a.response.Status == http.StatusConflict && a.response.Answer.NotRun
}

func errInputsLost(engine wire.MemberID) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeUpstream, "results of the stages were lost before %s had them", engine).After(defaultRetryAfter)
}

// relay passes an upstream's stream on. It reports whether the caller has got
// its answer.
func (x *exchange) relay(ctx context.Context, a *attempt, out *streamWriter) (done bool, verr *verdict.Error) {
	if a.response == nil {
		return false, a.err
	}
	if a.err != nil {
		x.discard(a, callRefused)
		return false, a.err
	}
	if a.response.Status != http.StatusOK {
		if out.started {
			x.discard(a, callFailed)
			return false, verdict.New(verdict.MayHaveRun, verdict.CodeCut, "%s answered %d to a stream that goes on", a.member.ID, a.response.Status)
		}
		body, err := x.readAnswer(ctx, a)
		if err != nil {
			return false, err
		}
		if x.isRepeatableFailure(a) {
			return false, x.saveFailure(a, body)
		}
		x.sendAnswer(a, body)
		return true, nil
	}
	out.begin(a)
	x.setEngineOutcome(a.member, stagework.EngineBegan)
	x.releaseStages()
	err := out.copy(ctx, a)
	switch {
	case err == io.EOF:
		x.discard(a, callAnswered)
		out.finish()
		x.recordAnswer(a, out.events.lastID)
		return true, nil
	case ctx.Err() != nil, x.callerGone:
		x.discard(a, callUnknown)
	default:
		x.investigateBreak(a.member)
		x.discard(a, callFailed)
	}
	return false, verdict.New(verdict.MayHaveRun, verdict.CodeCut, "the stream of %s broke off: %v", a.member.ID, err)
}

// streamWriter writes the caller's stream.
type streamWriter struct {
	x       *exchange
	started bool
	events  eventSplitter
}

// begin sends the first upstream's headers; those of the ones after it are not
// passed on.
func (o *streamWriter) begin(a *attempt) {
	if o.started {
		o.events.pending = nil
		return
	}
	o.started = true
	o.x.firstByte = time.Since(o.x.began)
	o.x.copyHeader(a)
	o.x.w.WriteHeader(http.StatusOK)
	http.NewResponseController(o.x.w).Flush()
}

// copy passes whole events on as they come. It returns io.EOF after a whole
// stream.
func (o *streamWriter) copy(ctx context.Context, a *attempt) error {
	defer o.x.setWriteDeadline(time.Now())()
	buffer := newStreamBuffer(ctx, a.response.Body, o.x.s.memory)
	err := o.copyFrom(buffer)
	if err != io.EOF {
		a.response.Abort() // a read that waits
	}
	buffer.free()
	return err
}

func (o *streamWriter) copyFrom(buffer *streamBuffer) error {
	flush := http.NewResponseController(o.x.w)
	for {
		data, err := buffer.next()
		if err != nil {
			return err
		}
		if whole := o.events.feed(data); len(whole) > 0 {
			if err := o.x.write(whole); err != nil {
				return err
			}
			if err := o.x.noteWriteError(flush.Flush()); err != nil {
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
func (o *streamWriter) fail(err *verdict.Error) error {
	if !o.started {
		return err
	}
	streamsBrokenVar.Add(1)
	o.x.s.log.Info("stream broken off", "request", o.x.call.ID, "route", o.x.route.Name, "last_event", o.events.lastID, "reason", err.Message,
		"sends", o.x.sends, "after", time.Since(o.x.began), "caller_left", o.x.r.Context().Err() != nil)
	panic(http.ErrAbortHandler)
}

// runStages has the stages of the call done, unless their results are there.
func (x *exchange) runStages(ctx context.Context) error {
	if x.stagesDone {
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
	x.s.endpoints.setUnreachable(result.Dark, time.Now())
	x.inputs, x.stagesDone, x.releaseResults = result.Handles, true, release
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
	x.s.endpoints.setUnreachable(result.Dark, time.Now())
	x.stagesDone, x.releaseResults, x.engine, x.fetchFrom = true, release, result.Engine, result.FetchFrom
}

func (x *exchange) job() (job stagework.Job, pieces int) {
	job = stagework.Job{ID: x.call.ID, Key: x.call.PieceKey, Left: time.Until(x.deadline),
		Goal: time.Until(x.began.Add(x.route.Goal - engineTime(x.call.Prefix))), DataCenter: x.engineDataCenter(), Priority: x.route.Priority, Within: x.allowed}
	if len(x.call.Prefix) > 0 {
		job.FirstEvent = time.Until(x.began.Add(x.route.Goal))
		job.Prompt = &stagework.Prompt{Service: x.service.Name, Parts: x.call.Prefix, Within: x.allowed}
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
func (x *exchange) engineDataCenter() string {
	m, ok := x.s.endpoints.peek(x.eligibleUpstreams(x.service.Name), x.selectionCriteria(), time.Now())
	if !ok {
		return x.s.set.Node.DataCenter
	}
	return m.DataCenter
}

// choice is how the call's engine is chosen.
func (x *exchange) selectionCriteria() criteria {
	return criteria{dataCenter: x.s.set.Node.DataCenter, affinity: upstream.PrefixHash(x.call.Prefix),
		cold: coldPolicy{limit: x.s.set.Proxy.ColdLimit(), rate: x.service.ColdRate, self: x.s.views.Self().ID, nearby: x.s.table.Load().proxiesByDataCenter[x.s.set.Node.DataCenter]}}
}

const (
	// engineFirst is how long an engine takes to its first event besides reading the
	// prompt: 47 ms by the users' sheet, links, and turns of other calls.
	firstEventTime = 90 * time.Millisecond
	// prefillRate is how many tokens of a prompt an engine reads in a millisecond.
	// The users' sheet says 112, which other calls at the engine share.
	prefillTokensPerMs = 80
	// longestPrompt bounds what a caller may claim, in tokens: twice the longest that
	// the users describe.
	maxPromptTokens = 128 << 10
)

// engineStart is left of a goal for the engine to read the prompt and begin. Only
// the last part of a prompt is certainly read: engines keep shared ones.
func engineTime(prompt []upstream.PromptPart) time.Duration {
	if len(prompt) == 0 {
		return firstEventTime
	}
	tokens := min(max(prompt[len(prompt)-1].Tokens, 0), maxPromptTokens)
	return firstEventTime + time.Duration(tokens)*time.Millisecond/prefillTokensPerMs
}

// release gives the results of the stages up: an upstream has fetched them, or
// the call is over. Another upstream needs them made again.
func (x *exchange) releaseStages() {
	if x.stagesDone {
		x.stagesDone = false
		x.releaseResults(x.engineOutcome)
	}
}
