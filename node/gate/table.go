package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// attempt is one try that this gate knows of.
type attempt struct {
	id          wire.AttemptID
	incarnation uint64 // of the gate that it is meant for
	request     wire.RequestID
	stage       string
	customer    string
	class       optext.Class
	share       float64
	repeatable  bool
	method      string
	path        string
	header      http.Header // passed on to the upstream
	body        []byte
	deadline    time.Time
	claimed     bool // an idempotency key is claimed for it

	state   wire.AttemptState
	answer  *answer
	cancel  context.CancelFunc // ends a running call
	started time.Time
	ended   time.Time

	// Set by the queue.
	waiting  bool
	arrival  uint64
	order    time.Time
	position [numSlots]int

	// Set by the records.
	readers   int
	unread    time.Time // since when a repeatable attempt has no reader; zero while it has
	kept      int64     // bytes of the answer that count as kept
	evictable bool      // stands in a list of evictable answers
}

// starter begins to perform an attempt and returns at once. When the attempt
// ended it calls finished, once. ctx ends with the deadline.
type starter func(ctx context.Context, a *attempt)

// table is the gate's memory of attempts. Its promise: an attempt runs at most
// once, and one that was reported as not run never runs. That holds because a
// tombstone stands before the report is given, an id is not admitted again
// while it is remembered, and no id is admitted that was issued at or before
// the horizon, the latest time of issue among the forgotten ones.
type table struct {
	clock       clockwork.Clock
	start       starter
	incarnation uint64

	mu       sync.Mutex
	attempts map[wire.AttemptID]*attempt
	records  records
	queue    fairQueue
	running  int
	limits   limits
	limiter  limiter
	leaving  bool
	service  ewma // seconds an attempt runs
	timer    clockwork.Timer
	due      time.Time // when timer fires; zero while it is not set
}

// limits are what the operators' text and the settings say for this gate.
type limits struct {
	concurrency int
	queueLength int
	refuseLate  bool
	fifo        bool
	limiter     string
	keep        time.Duration // how long answers and tombstones are kept
	keepBytes   int64         // bytes of ended answers, over all attempts
}

// ewma is an exponentially weighted moving average.
type ewma struct {
	value float64
	set   bool
}

const (
	ewmaWeight = 0.1
	// backlogMargin is how many times over the expected wait must fit into the
	// time left of an attempt whose customer has others waiting. The rest is for
	// runs longer than the average and for customers that go ahead; a longer
	// queue would not get more work done, and its end is refused late.
	backlogMargin = 2
	retryAfterMin = 100 * time.Millisecond
)

func (e *ewma) add(x float64) {
	if !e.set {
		e.value, e.set = x, true
		return
	}
	e.value += ewmaWeight * (x - e.value)
}

func newTable(clock clockwork.Clock, incarnation uint64, start starter, l limits) *table {
	t := &table{clock: clock, start: start, incarnation: incarnation, attempts: map[wire.AttemptID]*attempt{}, limits: l,
		queue: newFairQueue(l.fifo), limiter: newLimiter(l.limiter, l.concurrency)}
	return t
}

// submit admits a new attempt, or refuses it. A refusal with verdict NotRun
// leaves a tombstone. An id that is known is refused without a new run.
func (t *table) submit(a *attempt) *verdict.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.arm()
	t.forget()
	if refusal := t.unknown(a.id); refusal != nil {
		return refusal
	}
	t.remember(a)
	if refusal := t.refuse(a); refusal != nil {
		t.bury(a, refusal)
		return refusal
	}
	if t.running < t.limit() {
		t.begin(a)
		return nil
	}
	a.state = wire.AttemptQueued
	t.queue.push(a)
	return nil
}

// reject leaves a tombstone for an attempt that could not be read whole, so
// that it can be reported as not run.
func (t *table) reject(id wire.AttemptID, why *verdict.Error) *verdict.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.arm()
	t.forget()
	if refusal := t.unknown(id); refusal != nil {
		return refusal
	}
	t.bury(t.remember(&attempt{id: id}), why)
	return why
}

// unknown returns nil for an id that never came and may still be admitted.
func (t *table) unknown(id wire.AttemptID) *verdict.Error {
	if known := t.attempts[id]; known != nil {
		if known.state == wire.AttemptTombstoned {
			return verdict.New(verdict.NotRun, verdict.CodeTombstoned, "attempt %s was refused or cancelled before it came", id).WithRetryAfter(retryAfterMin)
		}
		return verdict.New(verdict.MayHaveRun, verdict.CodeKeyInProgress, "attempt %s is known already; attach to it", id)
	}
	issued, ok := id.Issued()
	switch {
	case !ok:
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "attempt id %q carries no time of issue", id)
	case t.records.forgot(issued):
		return verdict.New(verdict.MayHaveRun, verdict.CodeTombstoned, "attempt %s is older than what this gate remembers", id)
	case t.ahead(issued):
		return verdict.New(verdict.MayHaveRun, verdict.CodeInvalidRequest, "attempt %s was issued in the future: compare the clocks of entry and agent", id)
	}
	return nil
}

// ahead reports whether a time of issue is too far ahead of this clock. Such
// an attempt is not remembered, because to forget it would move the horizon
// past attempts that are still to come.
func (t *table) ahead(issued time.Time) bool {
	return issued.After(t.clock.Now().Add(t.limits.keep / 2))
}

func (t *table) remember(a *attempt) *attempt {
	a.answer = newAnswer()
	t.attempts[a.id] = a
	return a
}

// refuse says why a new attempt cannot be taken. It makes room in a full queue
// where the shares say so.
func (t *table) refuse(a *attempt) *verdict.Error {
	wait := t.expectedWait(a)
	left := a.deadline.Sub(t.clock.Now())
	switch {
	case a.incarnation != t.incarnation:
		return verdict.New(verdict.NotRun, verdict.CodeIncarnationChanged, "this gate was restarted; choose again").WithRetryAfter(retryAfterMin)
	case t.leaving:
		return verdict.New(verdict.NotRun, verdict.CodeUpstreamLeaving, "the upstream is leaving").WithRetryAfter(time.Second)
	case left <= 0 || t.estimates() && t.margin(a)*wait+t.expectedRun() > left:
		return lateError(wait)
	case t.running >= t.limit() && t.queue.len() >= t.limits.queueLength && !t.pushOut(a):
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the queue is full").WithRetryAfter(max(wait, retryAfterMin))
	}
	return nil
}

func lateError(wait time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "the deadline cannot be met: expected wait %s", wait.Round(time.Millisecond)).WithRetryAfter(max(wait, retryAfterMin))
}

// pushOut makes room in a full queue for a, if the shares entitle it.
func (t *table) pushOut(a *attempt) bool {
	victim := t.queue.victim(a)
	if victim == nil {
		return false
	}
	t.queue.remove(victim)
	t.bury(victim, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the queue is full").WithRetryAfter(max(t.expectedWait(victim), retryAfterMin)))
	return true
}

// estimates reports whether refusals go by the expected run time. An idle
// upstream takes every attempt: without a run the estimate could never mend.
func (t *table) estimates() bool { return t.limits.refuseLate && t.running > 0 }

func (t *table) expectedRun() time.Duration {
	return time.Duration(t.service.value * float64(time.Second))
}

// expectedWait estimates the time until a new attempt would start.
func (t *table) expectedWait(a *attempt) time.Duration {
	if t.running < t.limit() {
		return 0
	}
	rounds := float64(t.queue.ahead(a)+1) / float64(t.limit())
	return time.Duration(rounds * t.service.value * float64(time.Second))
}

func (t *table) margin(a *attempt) time.Duration {
	if t.queue.waits(a) {
		return backlogMargin
	}
	return 1
}

func (t *table) limit() int { return t.limiter.limit() }

// lateAnswer is how long past its caller's deadline a claimed attempt that has
// started may run on, so that a resend of the key still gets the answer.
const lateAnswer = 30 * time.Second

func (a *attempt) runLimit() time.Time {
	if a.claimed {
		return a.deadline.Add(lateAnswer)
	}
	return a.deadline
}

func (t *table) begin(a *attempt) {
	a.state = wire.AttemptRunning
	a.started = t.clock.Now()
	t.running++
	ctx, cancel := clockwork.WithDeadline(context.Background(), t.clock, a.runLimit())
	a.cancel = cancel
	t.start(ctx, a)
}

// finished records the end of a run and starts what waits.
func (t *table) finished(a *attempt, failure *verdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.arm()
	a.cancel()
	a.state = wire.AttemptDone
	took := t.clock.Since(a.started)
	t.limiter.done(t.clock.Now(), took, t.running, failure)
	if failure == nil {
		t.service.add(took.Seconds())
	}
	t.running--
	t.end(a, failure)
	t.startWaiting()
	t.refuseLate() // the expected run time may have grown
}

// startWaiting begins what the limit allows.
func (t *table) startWaiting() {
	for t.running < t.limit() {
		a := t.queue.pop()
		if a == nil {
			return
		}
		if t.late(a) {
			t.bury(a, lateError(t.expectedWait(a)))
			continue
		}
		t.begin(a)
	}
}

// late reports whether a waiting attempt can no longer finish.
func (t *table) late(a *attempt) bool { return !t.latestStart(a).After(t.clock.Now()) }

func (t *table) latestStart(a *attempt) time.Time {
	if !t.estimates() {
		return a.deadline
	}
	return a.deadline.Add(-t.expectedRun())
}

// cancelAttempt makes a tombstone if the attempt has not started, also when it
// was never seen. With abandon set, a running attempt is ended as well.
func (t *table) cancelAttempt(id wire.AttemptID, abandon bool) wire.AttemptStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.arm()
	t.forget()
	a := t.attempts[id]
	cancelled := verdict.New(verdict.NotRun, verdict.CodeTombstoned, "cancelled").WithRetryAfter(retryAfterMin)
	switch {
	case a == nil:
		refusal := t.unknown(id)
		if refusal != nil && refusal.Verdict != verdict.NotRun {
			return wire.AttemptStatus{Attempt: id, State: wire.AttemptForgotten}
		}
		if refusal != nil {
			return wire.AttemptStatus{Attempt: id, State: wire.AttemptTombstoned}
		}
		t.bury(t.remember(&attempt{id: id}), cancelled)
	case a.state == wire.AttemptQueued:
		t.queue.remove(a)
		t.bury(a, cancelled)
	case a.state == wire.AttemptRunning && abandon:
		a.cancel()
	}
	return t.statusOf(id)
}

func (t *table) status(id wire.AttemptID) wire.AttemptStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statusOf(id)
}

func (t *table) statusOf(id wire.AttemptID) wire.AttemptStatus {
	a := t.attempts[id]
	if a == nil {
		st := wire.AttemptStatus{Attempt: id, State: wire.AttemptUnseen}
		if issued, ok := id.Issued(); ok && (t.records.forgot(issued) || t.ahead(issued)) {
			st.State = wire.AttemptForgotten
		}
		return st
	}
	length, end, _ := a.answer.size()
	return wire.AttemptStatus{Attempt: id, State: a.state, Length: length, End: end}
}

func (t *table) setLimits(l limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.arm()
	if l.fifo != t.limits.fifo {
		t.requeue(l.fifo)
	}
	if l.limiter != t.limits.limiter || l.concurrency != t.limits.concurrency {
		t.limiter = newLimiter(l.limiter, l.concurrency)
	}
	t.limits = l
	t.startWaiting()
}

// requeue changes the discipline without losing what waits.
func (t *table) requeue(fifo bool) {
	q := newFairQueue(fifo)
	for a := t.queue.pop(); a != nil; a = t.queue.pop() {
		q.push(a)
	}
	t.queue = q
}

func (t *table) setLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
}

// load returns the attempts waiting and running and the limit.
func (t *table) load() (queued, running, limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue.len(), t.running, t.limit()
}
