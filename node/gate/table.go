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

// attempt is one try of a request that this gate knows of.
type attempt struct {
	id          wire.AttemptID
	incarnation uint64 // of the gate that it is addressed to
	request     wire.RequestID
	stage       string
	customer    string
	class       optext.Class
	share       float64
	repeatable  bool
	method      string
	path        string
	header      http.Header // forwarded to the upstream
	body        []byte
	deadline    time.Time
	claimed     bool // an idempotency key is claimed for it

	state    wire.AttemptState
	response *responseBuffer
	cancel   context.CancelFunc // cancels the run
	started  time.Time
	ended    time.Time

	// Set by the queue.
	waiting  bool
	arrival  uint64
	sortTime time.Time
	position [numSlots]int

	// Set by the records.
	readers     int
	unreadSince time.Time // since when a repeatable attempt has no reader; zero while it has one
	keptBytes   int64     // bytes of the response that count toward the retention limit
	evictable   bool      // is in a list of evictable responses
}

// startFunc starts to run an attempt and returns at once. When the attempt ends, finished must be called
// exactly once. ctx ends at the run deadline.
type startFunc func(ctx context.Context, a *attempt)

// table holds the attempts that the gate knows. It guarantees that an attempt runs at most once, and that one
// reported as not run never runs: a tombstone is stored before the report is sent, a known id is not admitted
// again, and no id is admitted that was issued at or before the horizon, the latest issue time of all expired
// attempts.
type table struct {
	clock       clockwork.Clock
	startRun    startFunc
	incarnation uint64

	mu       sync.Mutex
	attempts map[wire.AttemptID]*attempt
	records  records
	queue    fairQueue
	running  int
	limits   limits
	limiter  limiter
	leaving  bool
	pace     pace
	runTime  ewma // seconds an attempt runs
	timer    clockwork.Timer
	timerAt  time.Time // when timer fires; zero while it is not set
}

// limits are the limits of this gate from configuration and settings.
type limits struct {
	concurrency int
	queueLength int
	refuseLate  bool
	fifo        bool
	limiter     string
	keep        time.Duration // how long responses and tombstones are kept
	keepBytes   int64         // bytes of ended responses, over all attempts
}

// ewma is an exponentially weighted moving average.
type ewma struct {
	value float64
	set   bool
}

const (
	ewmaWeight = 0.1
	// backlogMargin is how many times the expected wait must fit into the time left of an attempt whose
	// customer has others waiting. The surplus covers runs longer than the average and customers that go
	// ahead. A longer queue would not complete more work, and its tail would be refused late.
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

func newTable(clock clockwork.Clock, incarnation uint64, start startFunc, l limits) *table {
	t := &table{clock: clock, startRun: start, incarnation: incarnation, attempts: map[wire.AttemptID]*attempt{}, limits: l,
		queue: newFairQueue(l.fifo), limiter: newLimiter(l.limiter, l.concurrency)}
	return t
}

// submit admits a new attempt or refuses it. A refusal with verdict NotRun leaves a tombstone. A known id is
// refused and not run again.
func (t *table) submit(a *attempt) *verdict.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.resetTimer()
	t.expireRecords()
	if refusal := t.checkID(a.id); refusal != nil {
		return refusal
	}
	t.register(a)
	if refusal := t.checkAdmission(a); refusal != nil {
		t.tombstone(a, refusal)
		return refusal
	}
	if t.mayStart() {
		t.startAttempt(a)
		return nil
	}
	a.state = wire.AttemptQueued
	t.queue.push(a)
	return nil
}

// reject leaves a tombstone for an attempt that could not be read completely, so that it can be reported as
// not run.
func (t *table) reject(id wire.AttemptID, why *verdict.Error) *verdict.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.resetTimer()
	t.expireRecords()
	if refusal := t.checkID(id); refusal != nil {
		return refusal
	}
	t.tombstone(t.register(&attempt{id: id}), why)
	return why
}

// checkID returns nil for an id that is new and may be admitted.
func (t *table) checkID(id wire.AttemptID) *verdict.Error {
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
	case t.records.mayHaveExpired(issued):
		return verdict.New(verdict.MayHaveRun, verdict.CodeTombstoned, "attempt %s is older than what this gate remembers", id)
	case t.issuedTooFarAhead(issued):
		return verdict.New(verdict.MayHaveRun, verdict.CodeInvalidRequest, "attempt %s was issued in the future: compare the clocks of entry and agent", id)
	}
	return nil
}

// issuedTooFarAhead reports whether an issue time is too far ahead of this clock. Such an attempt is not
// stored, because its expiry would move the horizon past attempts that are yet to arrive.
func (t *table) issuedTooFarAhead(issued time.Time) bool {
	return issued.After(t.clock.Now().Add(t.limits.keep / 2))
}

func (t *table) register(a *attempt) *attempt {
	a.response = newResponseBuffer()
	t.attempts[a.id] = a
	return a
}

// checkAdmission returns why a new attempt cannot be taken, or nil. It displaces a waiting attempt from a
// full queue if the shares allow it.
func (t *table) checkAdmission(a *attempt) *verdict.Error {
	wait := t.expectedWait(a)
	left := a.deadline.Sub(t.clock.Now())
	switch {
	case a.incarnation != t.incarnation:
		return verdict.New(verdict.NotRun, verdict.CodeIncarnationChanged, "this gate was restarted; choose again").WithRetryAfter(retryAfterMin)
	case t.leaving:
		return verdict.New(verdict.NotRun, verdict.CodeUpstreamLeaving, "the upstream is leaving").WithRetryAfter(time.Second)
	case left <= 0 || t.usesEstimates() && t.waitMargin(a)*wait+t.expectedRun() > left:
		return deadlineRefusal(wait)
	case t.pace.wait(t.clock.Now()) > 0:
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the upstream limits its requests").WithRetryAfter(max(wait, retryAfterMin))
	case t.running >= t.limit() && t.queue.len() >= t.limits.queueLength && !t.displaceFor(a):
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the queue is full").WithRetryAfter(max(wait, retryAfterMin))
	}
	return nil
}

func deadlineRefusal(wait time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "the deadline cannot be met: expected wait %s", wait.Round(time.Millisecond)).WithRetryAfter(max(wait, retryAfterMin))
}

// displaceFor makes room in a full queue for a, if its share entitles it.
func (t *table) displaceFor(a *attempt) bool {
	victim := t.queue.victim(a)
	if victim == nil {
		return false
	}
	t.queue.remove(victim)
	t.tombstone(victim, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the queue is full").WithRetryAfter(max(t.expectedWait(victim), retryAfterMin)))
	return true
}

// usesEstimates reports whether attempts are refused by the expected run time. An idle upstream takes every
// attempt: without a run a wrong estimate could never be corrected.
func (t *table) usesEstimates() bool { return t.limits.refuseLate && t.running > 0 }

func (t *table) expectedRun() time.Duration {
	return time.Duration(t.runTime.value * float64(time.Second))
}

// expectedWait estimates the time until a new attempt would start.
func (t *table) expectedWait(a *attempt) time.Duration {
	limited := t.pace.waitFor(t.clock.Now(), t.queue.attemptsAhead(a)+1)
	if t.running < t.limit() {
		return limited
	}
	rounds := float64(t.queue.attemptsAhead(a)+1) / float64(t.limit())
	return max(limited, time.Duration(rounds*t.runTime.value*float64(time.Second)))
}

func (t *table) waitMargin(a *attempt) time.Duration {
	if t.queue.customerWaits(a) {
		return backlogMargin
	}
	return 1
}

func (t *table) limit() int { return t.limiter.limit() }

// claimedOverrun is how long past its deadline a started attempt with a claimed idempotency key may run on,
// so that a resend of the key still gets the response.
const claimedOverrun = 30 * time.Second

func (a *attempt) runDeadline() time.Time {
	if a.claimed {
		return a.deadline.Add(claimedOverrun)
	}
	return a.deadline
}

// mayStart reports whether the upstream can take one more attempt now.
func (t *table) mayStart() bool {
	return t.running < t.limit() && t.pace.wait(t.clock.Now()) == 0
}

func (t *table) startAttempt(a *attempt) {
	t.pace.take(t.clock.Now())
	a.state = wire.AttemptRunning
	a.started = t.clock.Now()
	t.running++
	ctx, cancel := clockwork.WithDeadline(context.Background(), t.clock, a.runDeadline())
	a.cancel = cancel
	t.startRun(ctx, a)
}

// finished records the end of a run and starts queued attempts.
func (t *table) finished(a *attempt, failure *verdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.resetTimer()
	a.cancel()
	a.state = wire.AttemptDone
	took := t.clock.Since(a.started)
	t.limiter.runEnded(t.clock.Now(), took, t.running, failure)
	if failure == nil {
		t.runTime.add(took.Seconds())
	}
	t.running--
	t.recordEnd(a, failure)
	t.startQueued()
	t.refuseLate() // the expected run time may have grown
}

// startQueued starts queued attempts up to the limit.
func (t *table) startQueued() {
	for t.mayStart() {
		a := t.queue.pop()
		if a == nil {
			return
		}
		if t.cannotFinish(a) {
			t.tombstone(a, deadlineRefusal(t.expectedWait(a)))
			continue
		}
		t.startAttempt(a)
	}
}

// cannotFinish reports whether a waiting attempt can no longer finish in time.
func (t *table) cannotFinish(a *attempt) bool { return !t.latestStart(a).After(t.clock.Now()) }

func (t *table) latestStart(a *attempt) time.Time {
	if !t.usesEstimates() {
		return a.deadline
	}
	return a.deadline.Add(-t.expectedRun())
}

// cancelAttempt tombstones an attempt that has not started, including one that was never seen. With abandon
// set, a running attempt is cancelled as well.
func (t *table) cancelAttempt(id wire.AttemptID, abandon bool) wire.AttemptStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.resetTimer()
	t.expireRecords()
	a := t.attempts[id]
	cancelled := verdict.New(verdict.NotRun, verdict.CodeTombstoned, "cancelled").WithRetryAfter(retryAfterMin)
	switch {
	case a == nil:
		refusal := t.checkID(id)
		if refusal != nil && refusal.Verdict != verdict.NotRun {
			return wire.AttemptStatus{Attempt: id, State: wire.AttemptForgotten}
		}
		if refusal != nil {
			return wire.AttemptStatus{Attempt: id, State: wire.AttemptTombstoned}
		}
		t.tombstone(t.register(&attempt{id: id}), cancelled)
	case a.state == wire.AttemptQueued:
		t.queue.remove(a)
		t.tombstone(a, cancelled)
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
		if issued, ok := id.Issued(); ok && (t.records.mayHaveExpired(issued) || t.issuedTooFarAhead(issued)) {
			st.State = wire.AttemptForgotten
		}
		return st
	}
	length, end, _ := a.response.size()
	return wire.AttemptStatus{Attempt: id, State: a.state, Length: length, End: end}
}

func (t *table) setLimits(l limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.resetTimer()
	if l.fifo != t.limits.fifo {
		t.requeue(l.fifo)
	}
	if l.limiter != t.limits.limiter || l.concurrency != t.limits.concurrency {
		t.limiter = newLimiter(l.limiter, l.concurrency)
	}
	t.limits = l
	t.startQueued()
}

// requeue changes the queue discipline and keeps the waiting attempts.
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

// load returns the numbers of queued and running attempts and the limit.
func (t *table) load() (queued, running, limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue.len(), t.running, t.limit()
}
