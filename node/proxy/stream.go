package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/stagework"
	"caperdrum.org/node/upstream"
)

const (
	readChunkBytes = 16 << 10
	// maxEventBytes bounds an event of a stream, which is buffered until it is complete. An event of the users' engines
	// holds a few tokens.
	maxEventBytes = 64 << 10
)

// errEventTooLarge says that an upstream sends more without the end of an event than is buffered.
const errEventTooLarge = errors.ConstError("proxy: more was sent without the end of an event than is buffered")

// serveStream serves a call whose response is a stream of server-sent events.
func (x *exchange) serveStream(ctx context.Context) error {
	x.s.repeats.First(x.service.Name)
	defer func() { x.releaseStages() }()
	var tried []wire.Start
	c := x.selectionCriteria()
	out := &streamWriter{x: x}
	out.events.lastID = x.call.LastEventID
	rerun := false
	for {
		if err := x.runStages(ctx); err != nil {
			return out.fail(verdict.From(err))
		}
		c.chosen = x.engine
		x.resumed = x.version != nil
		c.pinned = x.resumed
		a := x.send(ctx, &tried, c, out.events.lastID)
		if a.inputsGone() {
			x.discard(a, callAnswered)
			x.releaseStages()
			// After two losses a third engine is unlikely to find the results.
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
		x.s.log.Info("stream retried on another upstream", "request", x.call.ID, "from", a.member.ID, "version", a.member.Version, "last_event", out.events.lastID, "reason", err.Message)
	}
}

// inputsGone reports whether results of the stages were lost before the upstream had fetched them.
func (a *attempt) inputsGone() bool {
	return a.response != nil && a.response.Status == http.StatusConflict && a.response.Info.NotRun
}

func errInputsLost(engine wire.MemberID) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "results of the stages were lost before %s had them", engine).WithRetryAfter(defaultRetryAfter)
}

// relay passes an upstream's stream on to the caller. It reports whether the call is done.
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
			return false, verdict.New(verdict.MayHaveRun, verdict.CodeAnswerCut, "%s answered %d to a stream that goes on", a.member.ID, a.response.Status)
		}
		answer, err := x.readResponse(ctx, a)
		if err != nil {
			return false, err
		}
		if x.isRepeatableFailure(a) {
			return false, x.saveFailure(answer)
		}
		x.sendResponse(answer)
		return true, nil
	}
	if x.resumed {
		x.countContinued(a.member)
	}
	out.begin(a)
	x.setEngineOutcome(a.member, stagework.EngineStarted)
	x.releaseStages()
	err := out.copy(ctx, a)
	ending := x.end(a, out.bodyEnd(ctx, a, err))
	if ending.Complete() {
		out.finish()
		x.recordResponse(a, ending, out.events.lastID)
		return true, nil
	}
	return false, verdict.New(verdict.MayHaveRun, verdict.CodeAnswerCut, "the stream of %s broke off (%s, framing %s): %v", a.member.ID, ending, a.response.Framing(), err)
}

// streamWriter writes the caller's stream, which may come from several upstreams in turn.
type streamWriter struct {
	x       *exchange
	started bool
	events  eventSplitter
	counted int64    // bytes of events.pending that count against the memory budget
	openEnd *openEnd // nil unless the caller speaks HTTP/1.0
}

// begin sends the headers of the first upstream; those of later ones are not passed on.
func (o *streamWriter) begin(a *attempt) {
	o.events.reset()
	if o.started {
		return
	}
	o.started, o.openEnd = true, beginOpenEnd(o.x.r)
	o.x.firstByte = time.Since(o.x.began)
	o.x.copyHeader(a)
	o.x.w.WriteHeader(http.StatusOK)
	http.NewResponseController(o.x.w).Flush()
}

// copy passes complete events on as they arrive. It returns io.EOF at the end of the response's body.
func (o *streamWriter) copy(ctx context.Context, a *attempt) error {
	defer o.x.setWriteDeadline(time.Now())()
	buffer := newStreamBuffer(ctx, a.response.Body, o.x.s.memory)
	err := o.copyFrom(ctx, buffer, a)
	if err != io.EOF {
		a.response.Abort() // unblocks a pending read
	}
	buffer.free()
	return err
}

func (o *streamWriter) copyFrom(ctx context.Context, buffer *streamBuffer, a *attempt) error {
	flush, from, limit := http.NewResponseController(o.x.w), a.member, maxPendingBytes(a.response.Header)
	for {
		data, err := buffer.next()
		if err != nil {
			return err
		}
		if whole := o.events.feed(data); len(whole) > 0 {
			o.x.noteFirstEvent()
			o.x.reportBegun(from)
			o.x.recordOrigin(ctx, from)
			if err := o.x.write(whole); err != nil {
				return err
			}
			if err := o.x.noteWriteError(flush.Flush()); err != nil {
				return err
			}
		}
		if err := o.countPending(ctx, limit); err != nil {
			return err
		}
	}
}

// maxPendingBytes returns how much of a response may be buffered before it is passed on. One that is no stream of events is
// passed on once it is complete.
func maxPendingBytes(h http.Header) int {
	if statesEvents(h) {
		return maxEventBytes
	}
	return maxPlainResponseBytes
}

// countPending counts an incomplete event against the memory budget, and waits while that is exhausted.
func (o *streamWriter) countPending(ctx context.Context, limit int) error {
	pending := len(o.events.pending)
	if pending > limit {
		upstream.CountOversized("event")
		return errEventTooLarge
	}
	memory, more := &o.x.memory, max(0, int64(pending)-uncountedBytes)-o.counted
	if more > 0 {
		if err := memory.budget.reserve(ctx, memory, more); err != nil {
			return err
		}
	} else {
		memory.budget.free(-more)
	}
	memory.reserved += more
	o.counted += more
	return nil
}

// noteFirstEvent records when the first event of the attempt in progress arrived.
func (x *exchange) noteFirstEvent() {
	if x.firstEventAt.IsZero() {
		x.firstEventAt = time.Now()
	}
}

// bodyEnd describes the end of the stream's current response, whose reader got err. A response of another type than
// events is passed on as it is.
func (o *streamWriter) bodyEnd(ctx context.Context, a *attempt, err error) upstream.BodyEnd {
	end := upstream.BodyEnd{Err: err, Abandoned: ctx.Err() != nil || o.x.callerGone, TooLarge: err == errEventTooLarge}
	if o.x.r.Method != http.MethodHead && (o.events.seen || statesEvents(a.response.Header)) {
		end.InsideEvent = o.events.insideEvent(a.response.Framing() != upstream.FramedByClose)
		end.NoEvent = !o.events.seen
	}
	return end
}

// finish passes on what followed the last event of a complete stream.
func (o *streamWriter) finish() {
	if len(o.events.pending) > 0 {
		o.x.write(o.events.pending)
		http.NewResponseController(o.x.w).Flush()
	}
	o.openEnd.complete()
}

// fail ends a stream that cannot continue. Before it began, it returns err for the refusal; later it aborts the
// connection, so that the stream does not look complete.
func (o *streamWriter) fail(err *verdict.Error) error {
	if !o.started {
		return err
	}
	streamsBrokenVar.Add(1)
	o.x.s.log.Info("stream aborted", "request", o.x.call.ID, "route", o.x.route.Name, "last_event", o.events.lastID, "reason", err.Message,
		"sends", o.x.sends, "after", time.Since(o.x.began), "caller_left", o.x.r.Context().Err() != nil)
	o.openEnd.abort()
	panic(http.ErrAbortHandler)
}

// runStages has the stages of the call run, unless their results are available.
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
	x.s.endpoints.setUnreachable(result.UnreachableDataCenters, time.Now())
	x.inputs, x.stagesDone, x.releaseResults = result.Handles, true, release
	x.engine, x.fetchFrom, x.engineOutcome = result.Engine, result.FetchFrom, stagework.EngineUnknown
	x.applyPermit(result)
	x.s.log.V(logging.Routine).Info("stages done", "request", x.call.ID, "pieces", pieces, "results", len(result.Handles), "took", time.Since(began), "left", time.Until(x.deadline))
	return nil
}

// chooseEngine asks the stage owner for the engine of a call without stages. Without an answer this process chooses by
// itself.
func (x *exchange) chooseEngine(ctx context.Context, job stagework.Job) {
	if job.Prompt == nil {
		return
	}
	result, release, ok := x.s.stages.Choose(ctx, job)
	if !ok {
		return
	}
	x.s.endpoints.setUnreachable(result.UnreachableDataCenters, time.Now())
	x.stagesDone, x.releaseResults, x.engine, x.fetchFrom = true, release, result.Engine, result.FetchFrom
	x.applyPermit(result)
}

func (x *exchange) job() (job stagework.Job, pieces int) {
	job = stagework.Job{ID: x.call.ID, Key: x.call.PieceKey, TimeLeft: time.Until(x.deadline),
		Goal: time.Until(x.began.Add(x.route.Goal - engineTime(x.call.Prefix))), DataCenter: x.engineDataCenter(), Priority: x.priority(), RoutePriority: x.route.Priority, Within: x.allowed}
	if x.route.Streaming {
		job.Patience = max(time.Until(x.abandoned()), 1)
	}
	if x.s.set.Proxy.FairStages && x.customer != nil {
		job.Customer, job.Weight = x.customer.Name, x.customer.Share
	}
	if len(x.call.Prefix) > 0 {
		job.FirstEvent = time.Until(x.began.Add(x.route.Goal))
		job.Prompt = &stagework.Prompt{Service: x.service.Name, Parts: x.call.Prefix, Constraint: x.constraint()}
	}
	for i, st := range x.route.Stages {
		n := 0
		if i < len(x.call.Pieces) {
			n = x.call.Pieces[i]
		}
		pieces += n
		job.Stages = append(job.Stages, stagework.Stage{Service: st.Service, DependsOn: st.Inputs, Pieces: n, ResultBytes: st.ResultBytes})
	}
	return job, pieces
}

// Callers abandon a stream after the longest of these pauses, also before its first event.
const (
	minPatience   = 2 * time.Second
	patienceGoals = 4 // of the route
	patienceGaps  = 8 // the longest that the route allows
)

// patience is how long callers of a stream wait for its next event.
func patience(r *optext.Route) time.Duration {
	return max(minPatience, patienceGoals*r.Goal, patienceGaps*r.MaxGap)
}

// abandoned is when the caller leaves if the answer has not begun.
func (x *exchange) abandoned() time.Time {
	if at := x.began.Add(patience(x.route)); x.route.Streaming && at.Before(x.deadline) {
		return at
	}
	return x.deadline
}

// priority is the rank of the call: that of its customer, or else of its route.
func (x *exchange) priority() int {
	if x.customer != nil && x.customer.Priority != optext.NoPriority {
		return x.customer.Priority
	}
	return x.route.Priority
}

// engineDataCenter returns the data centre of the engine to which the call would go now, where large results are best
// computed.
func (x *exchange) engineDataCenter() string {
	m, ok := x.s.endpoints.peek(x.eligibleUpstreams(), x.selectionCriteria(), time.Now())
	if !ok {
		return x.s.set.Node.DataCenter
	}
	return m.DataCenter
}

// selectionCriteria returns the criteria for choosing the call's upstream.
func (x *exchange) selectionCriteria() criteria {
	return criteria{dataCenter: x.s.set.Node.DataCenter, affinity: upstream.PrefixHash(x.call.Prefix), maxCalls: x.maxConnections(),
		cold: coldPolicy{limit: x.s.set.Proxy.ColdLimit(), rate: x.service.ColdRate, self: x.s.views.Self().ID, nearby: x.s.table.Load().proxiesByDataCenter[x.s.set.Node.DataCenter]}}
}

const (
	// firstEventTime is how long an engine is assumed to take to its first event besides reading the prompt, with network
	// latency and the turns of other calls, where the stage owner has not measured it.
	firstEventTime = 90 * time.Millisecond
	// prefillTokensPerMs is the rate at which an engine is assumed to read a prompt while other calls share it, where the
	// stage owner has not measured it.
	prefillTokensPerMs = 80
	// maxPromptTokens bounds what a caller may claim.
	maxPromptTokens = 128 << 10
)

// engineTime returns the part of a goal that is reserved for the engine to read the prompt and begin its response. Only
// the last part of a prompt is certain to be read: engines cache shared ones.
func engineTime(prompt []upstream.PromptPart) time.Duration {
	if len(prompt) == 0 {
		return firstEventTime
	}
	tokens := min(max(prompt[len(prompt)-1].Tokens, 0), maxPromptTokens)
	return firstEventTime + time.Duration(tokens)*time.Millisecond/prefillTokensPerMs
}

// releaseStages releases the results of the stages: an upstream has fetched them, or the call is over. For another
// upstream the stages have to run again.
func (x *exchange) releaseStages() {
	if x.stagesDone {
		x.stagesDone = false
		x.releaseResults(x.engineOutcome)
	}
}
