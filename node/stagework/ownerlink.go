package stagework

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/internal/periodic"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/memberset"
	"caperdrum.org/node/peer"
)

const (
	// pingInterval and pingTimeout bound how long jobs wait for an owner that is stalled or
	// unreachable from this process.
	pingInterval = 200 * time.Millisecond
	pingTimeout  = 300 * time.Millisecond
	// updateTimeout bounds the wait for a process to acknowledge the progress of its jobs. It allows for the replacement
	// of a silent connection.
	updateTimeout = 800 * time.Millisecond
	// ownerTimeout is how long the owner may miss pings before its jobs are withdrawn. An overloaded owner
	// answers late, and its progress on a job is lost when the job is withdrawn. An owner that the leader
	// considers lost is replaced sooner.
	ownerTimeout = 700 * time.Millisecond
	// newOwnerTimeout is how long a job waits for a new owner after its owner was lost: the time
	// in which the leader notices and names the next one.
	newOwnerTimeout = 1200 * time.Millisecond
	// noOwnerRetryAfter is when a caller should retry that found no owner: by then the leader
	// has named a new one. Calls are told a time around it, see spreadRetryAfter.
	noOwnerRetryAfter = time.Second
	// handoverTimeout is how long jobs stay at an owner that hands the queues over: as long as
	// its calls in progress may take.
	handoverTimeout = time.Second
	// ownerRetryInterval is how long a job whose owner was lost waits before it looks for an
	// owner again.
	ownerRetryInterval = 150 * time.Millisecond
)

// ownerLink is the connection to the stage owner.
type ownerLink struct {
	dial          peer.Dialer
	log           logr.Logger
	reportSuspect func(address string) // called with the address of an owner that does not answer; may be nil
	control       func() time.Duration // time since a control process that reaches the leader answered; nil: unknown

	mu          sync.Mutex
	owner       wire.StageOwner
	client      *peer.Client
	jobs        int           // in progress at the owner
	lost        *signal       // fired when the owner stops answering, or is replaced
	silentSince time.Time     // when it stopped answering; zero while it answers
	changed     chan struct{} // closed when another owner is named
}

// signal is a one-shot event with any number of waiters.
type signal struct {
	once  sync.Once
	fired chan struct{}
}

func newSignal() *signal { return &signal{fired: make(chan struct{})} }

// fire signals the waiters, and reports whether this was the first call.
func (s *signal) fire() (first bool) {
	s.once.Do(func() {
		close(s.fired)
		first = true
	})
	return first
}

func newOwnerLink(dial peer.Dialer, log logr.Logger) *ownerLink {
	return &ownerLink{dial: dial, log: log, lost: newSignal(), changed: make(chan struct{})}
}

// setOwner applies the owner named by the leader. If the previous owner is alive and hands the
// queues over, its jobs stay there until it answers them. It reports whether the owner is a new one.
func (l *ownerLink) setOwner(o wire.StageOwner, handsOver bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Epoch <= l.owner.Epoch {
		return false
	}
	l.log.Info("stage owner changed", "owner", o.ID, "epoch", o.Epoch, "before", l.owner.ID, "hands_over", handsOver, "jobs", l.jobs)
	l.releaseOwner(handsOver && l.silentSince.IsZero())
	l.owner, l.client, l.silentSince = o, peer.NewClient(o.Peer, l.dial), time.Time{}
	l.lost = newSignal()
	close(l.changed)
	l.changed = make(chan struct{})
	return true
}

// releaseOwner closes the link to the owner, at once or after its jobs had time to be answered.
// The caller holds l.mu.
func (l *ownerLink) releaseOwner(handsOver bool) {
	client, lost := l.client, l.lost
	leave := func() {
		lost.fire()
		if client != nil {
			client.Close()
		}
	}
	if handsOver {
		time.AfterFunc(handoverTimeout, leave)
		return
	}
	leave()
}

// handsOver reports whether the owner is leaving as planned.
func (l *ownerLink) handsOver(members memberset.Set) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := members.Get(l.owner.ID)
	return ok && m.Leaving && m.Incarnation == l.owner.Incarnation
}

// acquire returns the owner's client for one job, which must be released.
func (l *ownerLink) acquire() (client *peer.Client, lost, changed <-chan struct{}) {
	_, client, lost, changed = l.acquireOwner()
	return client, lost, changed
}

// acquireOwner is acquire, and also returns the owner of that client.
func (l *ownerLink) acquireOwner() (owner wire.StageOwner, client *peer.Client, lost, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs++
	return l.owner, l.client, l.lost.fired, l.changed
}

// currentOwner returns the owner that this process follows.
func (l *ownerLink) currentOwner() wire.StageOwner {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner
}

func (l *ownerLink) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs--
}

// Silent returns how long the owner has not answered this process; zero while it
// answers.
func (s *Service) Silent() time.Duration {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	if s.link.silentSince.IsZero() {
		return 0
	}
	return time.Since(s.link.silentSince)
}

// monitor pings the owner while jobs are in progress there, while it is silent, or while no control process
// answers: otherwise a process with few calls would only learn from a failing call that it is isolated. An
// owner that has answered jobs since the last check needs no ping: at 26 processes the pings were an eighth
// of the messages that the owner handles.
func (l *ownerLink) monitor(ctx context.Context) {
	var answered activity
	periodic.Run(ctx, clockwork.NewRealClock(), pingInterval, func() {
		client, due, silent := l.pingTarget()
		if client == nil || !due || answered.receivedSince(client) && !silent {
			return
		}
		l.recordPing(client, pingOnce(ctx, client))
	})
}

// pingTarget returns the owner's client, whether the owner is to be pinged, and whether it is silent.
func (l *ownerLink) pingTarget() (client *peer.Client, due, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent = !l.silentSince.IsZero()
	return l.client, l.jobs > 0 || silent || l.controlSilence() > 0, silent
}

// errPingTimeout says that the owner did not answer a ping in time. It may be overloaded.
const errPingTimeout = errors.ConstError("stagework: ping timed out")

// pingOnce checks that the owner answers.
func pingOnce(ctx context.Context, client *peer.Client) error {
	ping, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	err := client.Call(ping, peer.MethodPing, peer.Empty{}, nil)
	if err != nil && ping.Err() != nil {
		return errPingTimeout
	}
	return err
}

// activity is how much data the owner had sent at the last check.
type activity struct {
	client   *peer.Client
	received uint64
}

// receivedSince reports whether the owner has sent anything since the last call.
func (w *activity) receivedSince(client *peer.Client) bool {
	before := *w
	w.client, w.received = client, client.BytesReceived()
	return before.client == client && w.received > before.received
}

func (l *ownerLink) recordPing(client *peer.Client, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if client != l.client {
		return
	}
	switch {
	case err == nil && !l.silentSince.IsZero():
		l.log.Info("stage owner answers again", "owner", l.owner.ID, "silent", time.Since(l.silentSince))
		l.silentSince = time.Time{}
		l.lost = newSignal()
	case err != nil && l.silentSince.IsZero():
		l.log.Info("stage owner does not answer", "owner", l.owner.ID, "error", err.Error(), "jobs", l.jobs)
		l.silentSince = time.Now()
		if l.reportSuspect != nil {
			l.reportSuspect(l.owner.Peer)
		}
	}
	if err != nil && (!errors.Is(err, errPingTimeout) || time.Since(l.silentSince) > ownerTimeout || l.controlSilence() > isolatedAfter) && l.lost.fire() {
		l.log.Info("jobs withdrawn from stage owner", "owner", l.owner.ID, "silent", time.Since(l.silentSince), "error", err.Error(), "jobs", l.jobs)
	}
}

func (l *ownerLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		l.client.Close()
	}
}

// errNoOwner refuses a call that found no owner.
func errNoOwner() error {
	return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "no process that owns the stages can be reached").WithRetryAfter(spreadRetryAfter(rand.Float64()))
}

// spreadRetryAfter is when a caller that found no owner should retry: noOwnerRetryAfter on average, from half of it to
// one and a half. random is uniform in [0, 1). Callers that were refused together within 0.3 s and return together hold
// each other up; those that return later than there is an owner wait in vain.
func spreadRetryAfter(random float64) time.Duration {
	return noOwnerRetryAfter/2 + time.Duration(random*float64(noOwnerRetryAfter))
}

// Release frees what the owner holds for a call, once the call's engine has started to answer or
// the call is over.
type Release func(engine EngineOutcome)

// chooseTimeout bounds how long a call without stages waits for the owner's choice of an
// engine: ten round trips, and far less than a poor choice costs.
const chooseTimeout = 50 * time.Millisecond

// Choose asks the owner to choose the engine of a call that has no stages. It reports false
// when there is no choice within chooseTimeout.
func (s *Service) Choose(ctx context.Context, j Job) (Result, Release, bool) {
	ctx, cancel := context.WithTimeout(ctx, chooseTimeout)
	defer cancel()
	client, lost, _ := s.link.acquire()
	defer s.link.release()
	j.SubmissionID = uuid.NewString()
	r, moved, _, err := s.runAt(ctx, client, lost, j)
	if moved || err != nil {
		s.log.V(logging.Detail).Info("owner chose no engine", "request", j.ID, "moved", moved, "error", err)
		return Result{}, nil, false
	}
	return r, func(engine EngineOutcome) { s.release(client, Done{SubmissionID: j.SubmissionID, Engine: engine}) }, true
}

// Run runs the stages of a call and returns the handles of the final results. The Release must be
// called once the results are not needed any more, unless it is nil. When the owner is lost, the
// job continues at the next one from its completed stages.
func (s *Service) Run(ctx context.Context, j Job) (Result, Release, error) {
	deadline, patience, goal, firstEvent := time.Now().Add(j.TimeLeft), time.Now().Add(j.Patience), time.Now().Add(j.Goal), time.Now().Add(j.FirstEvent)
	var since time.Time // when the owner was lost; zero while there is one
	for {
		if s.link.isolated() {
			return Result{}, nil, errIsolated()
		}
		owner, client, lost, changed := s.link.acquireOwner()
		j.TimeLeft, j.Goal, j.FirstEvent = time.Until(deadline), time.Until(goal), time.Until(firstEvent)
		if j.Patience > 0 {
			j.Patience = max(time.Until(patience), 1)
		}
		j.SubmissionID, j.Caller, j.Owner = uuid.NewString(), s.address(), owner
		s.submissions.begin(j.SubmissionID, j.CompletedStages)
		r, moved, taken, err := s.runAt(ctx, client, lost, j)
		j.CompletedStages = s.submissions.end(j.SubmissionID)
		s.link.release()
		if r.Moved {
			j.CompletedStages = mergeStages(j.CompletedStages, r.CompletedStages)
		}
		if moved && !r.Moved && client != nil {
			s.release(client, Done{SubmissionID: j.SubmissionID, Moved: true}) // the old owner may still be working on it, in vain
		}
		if !moved {
			releaseJob := func(engine EngineOutcome) { s.release(client, Done{SubmissionID: j.SubmissionID, Engine: engine}) }
			if err != nil {
				releaseJob(EngineUnknown)
			}
			return r, releaseJob, err
		}
		j.Resubmitted = j.Resubmitted || taken
		now := time.Now()
		if since.IsZero() {
			since = now
		}
		if now.Sub(since) > newOwnerTimeout || s.Silent() > newOwnerTimeout {
			s.log.Info("no stage owner found", "request", j.ID, "waited", now.Sub(since), "taken_before", j.Resubmitted)
			return Result{}, nil, errNoOwner()
		}
		select {
		case <-changed:
			since = time.Time{}
		case <-time.After(ownerRetryInterval):
		case <-ctx.Done():
			return Result{}, nil, errDeadlineExceeded()
		}
	}
}

// errOwnerLost says that there is no owner, or that it no longer answers.
const errOwnerLost = errors.ConstError("stagework: the owner of the stages is lost")

// runAt reports moved when the owner cannot be reached, or is not the owner any more. taken says that it may have
// taken the job all the same.
func (s *Service) runAt(ctx context.Context, client *peer.Client, lost <-chan struct{}, j Job) (r Result, moved, taken bool, err error) {
	if client == nil {
		return r, true, false, errOwnerLost
	}
	select {
	case <-lost:
		return r, true, false, errOwnerLost
	default:
	}
	call, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := make(chan error, 1)
	result := &Result{}
	go func() { done <- client.Call(call, methodRun, j, result) }()
	select {
	case err = <-done:
	case <-lost:
		return r, true, true, errOwnerLost
	case <-ctx.Done():
		return r, false, true, errDeadlineExceeded()
	}
	var v *verdict.Error
	switch {
	case err == nil:
		return *result, result.Moved, true, nil
	case errors.As(err, &v):
		return r, v.Code == verdict.CodeUpstreamLeaving, false, err
	}
	return r, true, !errors.Is(err, peer.ErrUnreachable), err
}

func (s *Service) release(client *peer.Client, d Done) {
	ctx, cancel := context.WithTimeout(s.ctx, pingTimeout)
	defer cancel()
	if err := client.Notify(ctx, methodDone, d); err != nil {
		s.log.V(logging.Detail).Info("results not released", "handed", d.SubmissionID, "moved", d.Moved, "error", err.Error())
	}
}
