package stagework

import (
	"context"
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
	// pingInterval and pingTimeout bound how long jobs hang on an owner that is
	// frozen or cut off from this process.
	pingInterval = 200 * time.Millisecond
	pingTimeout  = 300 * time.Millisecond
	// giveUpAfter is how long an owner may not answer pings until its jobs wait no longer. One that has more work
	// than it can do answers late; what it has made of a job is lost with it. One that the leader takes
	// for lost is replaced before.
	giveUpAfter = 700 * time.Millisecond
	// moveWait is how long a job waits for another owner once its own is gone:
	// what the leader takes to notice and to name the next one.
	moveWait = 1200 * time.Millisecond
	// ownerComeBack is when a caller should come back that found no owner: by then
	// the leader has named another one.
	ownerComeBack = time.Second
	// moveOut is how long jobs stay at an owner that has handed the queues over: as long as
	// the calls that are under way there may take.
	moveOut = time.Second
	// ownerPause is how long a job whose owner was lost waits until it looks
	// for one again.
	ownerPause = 150 * time.Millisecond
)

// link is the way to the owner of the queues.
type link struct {
	dial    peer.Dialer
	log     logr.Logger
	suspect func(address string) // told of an owner that does not answer; nil: nobody is
	control func() time.Duration // for how long no control process that reaches the leader has answered; nil: that is not known

	mu      sync.Mutex
	owner   wire.StageOwner
	client  *peer.Client
	jobs    int           // under way at the owner
	lost    *sign         // given when the owner does not answer, or is replaced
	silent  time.Time     // since when it does not answer; zero while it does
	changed chan struct{} // closed when another owner is named
}

// sign is given once, to all that wait for it.
type sign struct {
	once  sync.Once
	given chan struct{}
}

func newSign() *sign { return &sign{given: make(chan struct{})} }

// give gives the sign, and reports whether it had not been given.
func (s *sign) give() (first bool) {
	s.once.Do(func() {
		close(s.given)
		first = true
	})
	return first
}

func newLink(dial peer.Dialer, log logr.Logger) *link {
	return &link{dial: dial, log: log, lost: newSign(), changed: make(chan struct{})}
}

// follow takes over the owner that the leader named. Where the one before lives and hands
// the queues over, its jobs stay until it answers them.
func (l *link) follow(o wire.StageOwner, handsOver bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Epoch <= l.owner.Epoch {
		return
	}
	l.log.Info("stage owner changed", "owner", o.ID, "epoch", o.Epoch, "before", l.owner.ID, "hands_over", handsOver, "jobs", l.jobs)
	l.leaveOwner(handsOver && l.silent.IsZero())
	l.owner, l.client, l.silent = o, peer.NewClient(o.Peer, l.dial), time.Time{}
	l.lost = newSign()
	close(l.changed)
	l.changed = make(chan struct{})
}

// leaveOwner gives the owner up, now or once its jobs had the time to be answered. The
// caller holds l.mu.
func (l *link) leaveOwner(handsOver bool) {
	client, lost := l.client, l.lost
	leave := func() {
		lost.give()
		if client != nil {
			client.Close()
		}
	}
	if handsOver {
		time.AfterFunc(moveOut, leave)
		return
	}
	leave()
}

// handsOver reports whether the owner is one that leaves as planned.
func (l *link) handsOver(members memberset.Set) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, there := members.Get(l.owner.ID)
	return there && m.Leaving && m.Incarnation == l.owner.Incarnation
}

// use returns the owner's client, for one job.
func (l *link) use() (client *peer.Client, lost, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs++
	return l.client, l.lost.given, l.changed
}

// named returns the owner that this process follows.
func (l *link) named() wire.StageOwner {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner
}

func (l *link) unuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs--
}

// Silent returns how long the owner has not answered this process; zero while it
// does.
func (s *Service) Silent() time.Duration {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	if s.link.silent.IsZero() {
		return 0
	}
	return time.Since(s.link.silent)
}

// watch pings the owner while jobs are under way there, while it is silent, or while no control process answers: a
// process with few calls would else find out by one of them that it is cut off. An owner
// that has answered jobs since the last time needs no ping: at 26 processes their pings
// were an eighth of the messages that it handles.
func (l *link) watch(ctx context.Context) {
	var answered watched
	periodic.Run(ctx, clockwork.NewRealClock(), pingInterval, func() {
		client, due, silent := l.watched()
		if client == nil || !due || answered.since(client) && !silent {
			return
		}
		l.heard(client, pingOnce(ctx, client))
	})
}

// watched returns the owner's client, whether the owner is to be pinged, and whether it is silent.
func (l *link) watched() (client *peer.Client, due, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent = !l.silent.IsZero()
	return l.client, l.jobs > 0 || silent || l.controlSilent() > 0, silent
}

// errLate says that an owner has not answered a ping in time. It may be busy.
const errLate = errors.ConstError("stagework: no answer to a ping in time")

// pingOnce asks whether the owner lives. The call is cancelled when its time is over: a deadline would end the
// connection, and with it all jobs that are under way over it.
func pingOnce(ctx context.Context, client *peer.Client) error {
	ping, cancel := context.WithCancel(ctx)
	defer cancel()
	late := time.AfterFunc(pingTimeout, cancel)
	err := client.Call(ping, peer.MethodPing, peer.Empty{}, nil)
	if err != nil && !late.Stop() {
		return errLate
	}
	return err
}

// watched is how much an owner had sent when it was looked at last.
type watched struct {
	client   *peer.Client
	received uint64
}

// since reports whether the owner has sent anything since the last call.
func (w *watched) since(client *peer.Client) bool {
	before := *w
	w.client, w.received = client, client.Received()
	return before.client == client && w.received > before.received
}

func (l *link) heard(client *peer.Client, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if client != l.client {
		return
	}
	switch {
	case err == nil && !l.silent.IsZero():
		l.log.Info("stage owner answers again", "owner", l.owner.ID, "silent", time.Since(l.silent))
		l.silent = time.Time{}
		l.lost = newSign()
	case err != nil && l.silent.IsZero():
		l.log.Info("stage owner does not answer", "owner", l.owner.ID, "error", err.Error(), "jobs", l.jobs)
		l.silent = time.Now()
		if l.suspect != nil {
			l.suspect(l.owner.Peer)
		}
	}
	if err != nil && (!errors.Is(err, errLate) || time.Since(l.silent) > giveUpAfter || l.controlSilent() > cutOffAfter) && l.lost.give() {
		l.log.Info("stage owner given up", "owner", l.owner.ID, "silent", time.Since(l.silent), "error", err.Error(), "jobs", l.jobs)
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		l.client.Close()
	}
}

func errNoOwner() error {
	return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "no process that owns the stages can be reached").WithRetryAfter(ownerComeBack)
}

// Release gives up what the owner keeps for a call: its engine has begun to answer, or
// the call is over.
type Release func(engine EngineOutcome)

// chooseTime bounds how long a call without stages waits for the owner's choice of an
// engine: ten times a round trip, far below what a poor choice costs.
const chooseTime = 50 * time.Millisecond

// Choose has the owner choose the engine of a call that has no stages. It reports false
// when that cannot be had at once.
func (s *Service) Choose(ctx context.Context, j Job) (Result, Release, bool) {
	ctx, cancel := context.WithTimeout(ctx, chooseTime)
	defer cancel()
	client, lost, _ := s.link.use()
	defer s.link.unuse()
	j.Handed = uuid.NewString()
	r, moved, err := s.runAt(ctx, client, lost, j)
	if moved || err != nil {
		s.log.V(logging.Detail).Info("no engine chosen by the owner", "request", j.ID, "moved", moved, "error", err)
		return Result{}, nil, false
	}
	return r, func(engine EngineOutcome) { s.release(client, Done{Handed: j.Handed, Engine: engine}) }, true
}

// Run has the stages of a call done, and returns the handles that its own run
// takes. release must be called once the results are not needed any more. When
// the owner is lost, the job goes on at the next one with what was made of it.
func (s *Service) Run(ctx context.Context, j Job) (Result, Release, error) {
	deadline, goal, firstEvent := time.Now().Add(j.Left), time.Now().Add(j.Goal), time.Now().Add(j.FirstEvent)
	var since time.Time // of the loss; zero while there is an owner
	for {
		if s.link.cutOff() {
			return Result{}, nil, errCutOff()
		}
		client, lost, changed := s.link.use()
		j.Left, j.Goal, j.FirstEvent = time.Until(deadline), time.Until(goal), time.Until(firstEvent)
		j.Handed, j.Caller, j.Owner = uuid.NewString(), s.address(), s.link.named()
		s.handed.begin(j.Handed, j.Made)
		r, moved, err := s.runAt(ctx, client, lost, j)
		j.Made = s.handed.end(j.Handed)
		s.link.unuse()
		if r.Moved {
			j.Made = withStages(j.Made, r.Made)
		}
		if moved && !r.Moved && client != nil {
			s.release(client, Done{Handed: j.Handed, Moved: true}) // it may go on there, for nobody
		}
		if !moved {
			over := func(engine EngineOutcome) { s.release(client, Done{Handed: j.Handed, Engine: engine}) }
			if err != nil {
				over(EngineUnknown)
			}
			return r, over, err
		}
		j.Again = true
		now := time.Now()
		if since.IsZero() {
			since = now
		}
		if now.Sub(since) > moveWait || s.Silent() > moveWait {
			return Result{}, nil, errNoOwner()
		}
		select {
		case <-changed:
			since = time.Time{}
		case <-time.After(ownerPause):
		case <-ctx.Done():
			return Result{}, nil, errNoTime()
		}
	}
}

// runAt reports moved when the owner cannot be reached, or is none any more.
func (s *Service) runAt(ctx context.Context, client *peer.Client, lost <-chan struct{}, j Job) (r Result, moved bool, err error) {
	if client == nil {
		return r, true, errNoOwner()
	}
	select {
	case <-lost:
		return r, true, errNoOwner()
	default:
	}
	// The job's own deadline must not end the call: a client takes that for a
	// silent cut and drops the connection with all other jobs.
	call, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := make(chan error, 1)
	result := &Result{}
	go func() { done <- client.Call(call, methodRun, j, result) }()
	select {
	case err = <-done:
	case <-lost:
		return r, true, errNoOwner()
	case <-ctx.Done():
		return r, false, errNoTime()
	}
	var v *verdict.Error
	switch {
	case err == nil:
		return *result, result.Moved, nil
	case errors.As(err, &v):
		return r, v.Code == verdict.CodeUpstreamLeaving, err
	}
	return r, true, err
}

func (s *Service) release(client *peer.Client, d Done) {
	ctx, cancel := context.WithTimeout(s.ctx, pingTimeout)
	defer cancel()
	if err := client.Notify(ctx, methodDone, d); err != nil {
		s.log.V(logging.Detail).Info("results not released", "handed", d.Handed, "moved", d.Moved, "error", err.Error())
	}
}
