package gate

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// attempt is one try that this gate knows of.
type attempt struct {
	id         wire.AttemptID
	request    wire.RequestID
	stage      string
	customer   string
	class      optext.Class
	share      float64
	repeatable bool
	method     string
	path       string
	header     string // content type of the body
	body       []byte
	deadline   time.Time
	gateTime   int64 // gate time that the entry read before it claimed the key; zero without a claim

	state  wire.AttemptState
	answer *answer
	cancel context.CancelFunc // ends a running call
	ended  time.Time

	arrival  uint64
	position int
	order    time.Time
}

// runner performs a started attempt and calls finished once.
type runner func(ctx context.Context, a *attempt)

// table is the gate's memory of attempts. Its promise: an attempt runs at most
// once, and one that was reported as not run never runs. That holds because a
// tombstone stands before the report is given, and an id once seen is not
// admitted again while it is kept.
type table struct {
	clock clockwork.Clock
	start time.Time // zero of the gate time
	run   runner

	mu       sync.Mutex
	attempts map[wire.AttemptID]*attempt
	ended    []*attempt // done and tombstoned, in order of their end
	queue    fairQueue
	running  int
	limits   limits
	leaving  bool
	service  ewma // seconds an attempt runs
}

// limits are what the operators' text sets for this gate.
type limits struct {
	concurrency int
	queueLength int
	refuseLate  bool
	keep        time.Duration // how long answers and tombstones are kept
}

// ewma is an exponentially weighted moving average.
type ewma struct {
	value float64
	set   bool
}

const ewmaWeight = 0.1

func (e *ewma) add(x float64) {
	if !e.set {
		e.value, e.set = x, true
		return
	}
	e.value += ewmaWeight * (x - e.value)
}

func newTable(clock clockwork.Clock, run runner, l limits) *table {
	return &table{clock: clock, start: clock.Now(), run: run, attempts: map[wire.AttemptID]*attempt{}, limits: l}
}

// submit admits a new attempt, or refuses it. Every refusal is NotRun and
// leaves a tombstone. An id that is known is refused without a new run.
func (t *table) submit(a *attempt) *verdict.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget()
	if known := t.attempts[a.id]; known != nil {
		if known.state == wire.AttemptTombstoned {
			return verdict.New(verdict.NotRun, verdict.CodeTombstoned, "attempt %s was cancelled before it came", a.id)
		}
		return verdict.New(verdict.MayHaveRun, verdict.CodeInProgress, "attempt %s is known already; attach to it", a.id)
	}
	if t.beyondMemory(a.gateTime) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeTombstoned, "attempt %s is older than this gate's memory", a.id)
	}
	a.answer = newAnswer()
	a.position = -1
	t.attempts[a.id] = a
	if refusal := t.refuse(a); refusal != nil {
		t.bury(a, refusal)
		return refusal
	}
	if t.running < t.limits.concurrency {
		t.begin(a)
		return nil
	}
	a.state = wire.AttemptQueued
	t.queue.push(a)
	return nil
}

// refuse says why a new attempt cannot be taken.
func (t *table) refuse(a *attempt) *verdict.Error {
	wait := t.expectedWait()
	left := a.deadline.Sub(t.clock.Now())
	switch {
	case t.tooOld(a.gateTime):
		return verdict.New(verdict.NotRun, verdict.CodeTombstoned, "attempt %s comes too late after its claim", a.id).After(time.Second)
	case t.leaving:
		return verdict.New(verdict.NotRun, verdict.CodeLeaving, "the upstream is leaving").After(time.Second)
	case left <= 0:
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline has passed")
	case t.running >= t.limits.concurrency && t.queue.len() >= t.limits.queueLength:
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the queue is full").After(wait)
	case t.limits.refuseLate && wait+t.expectedRun() > left:
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline cannot be met: expected wait %s", wait.Round(time.Millisecond)).After(wait)
	}
	return nil
}

func (t *table) expectedRun() time.Duration {
	return time.Duration(t.service.value * float64(time.Second))
}

// expectedWait estimates the time until a new attempt would start.
func (t *table) expectedWait() time.Duration {
	if t.running < t.limits.concurrency {
		return 0
	}
	rounds := float64(t.queue.len()+1) / float64(max(t.limits.concurrency, 1))
	return time.Duration(rounds * t.service.value * float64(time.Second))
}

func (t *table) begin(a *attempt) {
	a.state = wire.AttemptRunning
	t.running++
	ctx, cancel := context.WithDeadline(context.Background(), a.runLimit())
	a.cancel = cancel
	go t.run(ctx, a)
}

// finished records the end of a run and starts what waits.
func (t *table) finished(a *attempt, failure *verdict.Error, took time.Duration) {
	a.answer.finish(failure)
	t.mu.Lock()
	defer t.mu.Unlock()
	a.cancel()
	a.state = wire.AttemptDone
	a.body = nil
	t.end(a)
	t.running--
	if failure == nil {
		t.service.add(took.Seconds())
	}
	t.startWaiting()
}

func (t *table) startWaiting() {
	for t.running < t.limits.concurrency {
		a := t.queue.pop()
		if a == nil {
			return
		}
		left := a.deadline.Sub(t.clock.Now())
		if left <= 0 || t.limits.refuseLate && t.expectedRun() > left {
			t.bury(a, verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline cannot be met any more").After(t.expectedWait()))
			continue
		}
		t.begin(a)
	}
}

// bury makes a tombstone of an attempt that has not started.
func (t *table) bury(a *attempt, why *verdict.Error) {
	a.state = wire.AttemptTombstoned
	a.body = nil
	t.end(a)
	a.answer.finish(why)
}

func (t *table) end(a *attempt) {
	a.ended = t.clock.Now()
	t.ended = append(t.ended, a)
}

// forget drops what ended longer ago than it must be kept.
func (t *table) forget() {
	limit := t.clock.Now().Add(-t.limits.keep)
	k := 0
	for k < len(t.ended) && t.ended[k].ended.Before(limit) {
		delete(t.attempts, t.ended[k].id)
		k++
	}
	t.ended = t.ended[k:]
}

// sweep does what falls due with time: waiting attempts that can no longer
// finish are refused at once.
func (t *table) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget()
	now := t.clock.Now()
	var late []*attempt
	for i := range t.queue.classes {
		for _, cq := range t.queue.classes[i].customers {
			for _, a := range cq.waiting {
				if left := a.deadline.Sub(now); left <= 0 || t.limits.refuseLate && t.expectedRun() > left {
					late = append(late, a)
				}
			}
		}
	}
	for _, a := range late {
		t.queue.remove(a)
		t.bury(a, verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline cannot be met any more").After(t.expectedWait()))
	}
}

// cancelLocked makes a tombstone if the attempt has not started, also when it
// was never seen. With abandon set, a running attempt is ended as well.
func (t *table) cancelLocked(id wire.AttemptID, abandon bool) wire.AttemptStatus {
	a := t.attempts[id]
	switch {
	case a == nil:
		a = &attempt{id: id, answer: newAnswer(), position: -1}
		t.attempts[id] = a
		t.bury(a, verdict.New(verdict.NotRun, verdict.CodeTombstoned, "cancelled"))
	case a.state == wire.AttemptQueued:
		t.queue.remove(a)
		t.bury(a, verdict.New(verdict.NotRun, verdict.CodeTombstoned, "cancelled"))
	case a.state == wire.AttemptRunning && abandon:
		a.cancel()
	}
	return t.statusOf(id, a)
}

func (t *table) status(id wire.AttemptID) wire.AttemptStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statusOf(id, t.attempts[id])
}

func (t *table) statusOf(id wire.AttemptID, a *attempt) wire.AttemptStatus {
	if a == nil {
		return wire.AttemptStatus{Attempt: id, State: wire.AttemptUnseen}
	}
	return wire.AttemptStatus{Attempt: id, State: a.state, Length: a.answer.length(), End: a.answer.endMark()}
}

func (t *table) find(id wire.AttemptID) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempts[id]
}

func (t *table) setLimits(l limits, fifo bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = l
	if t.queue.fifo != fifo && t.queue.len() == 0 {
		t.queue = fairQueue{fifo: fifo}
	}
	t.startWaiting()
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
	return t.queue.len(), t.running, t.limits.concurrency
}
