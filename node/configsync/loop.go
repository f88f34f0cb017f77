package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/logging"
)

const (
	syncWait       = time.Second            // how long an answer is held back; also the interval of lease renewal
	answerGrace    = 400 * time.Millisecond // how long an answer may take besides
	maxAnswerGrace = 4 * time.Second        // of grace, which grows while no control process answers
	// answerLimit bounds an answer whose bytes keep coming: 12 MB over a link of 10 Mbit/s.
	maxAnswerTime = 10 * time.Second
	unrenewedWait = 250 * time.Millisecond // hold at control processes that cannot renew the lease
	minPause      = 25 * time.Millisecond
	maxPause      = 400 * time.Millisecond
	minPollTime   = 50 * time.Millisecond // a call is not cut short sooner
	avoidTime     = 3 * time.Second       // a control process that did not answer is asked last for this long
	// farewellTime bounds how long a stopping process waits until its leaving
	// is recorded; after that its lease ends by itself.
	deregisterTimeout = 1500 * time.Millisecond
)

// pace is how the next synchronization is done. After a failure the next
// control process is asked for an answer at once, so that several that hang are
// passed over within the lease.
type syncPlan struct {
	wait  time.Duration
	grace time.Duration
	pause time.Duration
	fails int // in a row, without any answer
}

func initialPlan() syncPlan { return syncPlan{wait: 0, grace: answerGrace, pause: 0} }

// after returns the pace after a synchronization with n control processes to
// choose from, and whether to move on to the next one.
func (p syncPlan) after(err error, n int) (next syncPlan, moveOn bool) {
	switch {
	case err == nil:
		return syncPlan{wait: syncWait, grace: answerGrace}, false
	case errors.Is(err, errNotRenewed) || errors.Is(err, errUnconfirmed):
		// News still arrives through it. Others may reach the leader, or have its confirmation.
		return syncPlan{wait: jitter(unrenewedWait), grace: answerGrace}, true
	case errors.Is(err, errIncompleteUpdate) || errors.Is(err, errTextMismatch):
		// The list or the text comes whole next time.
		return syncPlan{wait: 0, grace: answerGrace, pause: jitter(minPause), fails: p.fails + 1}, p.fails > 0
	}
	next = syncPlan{wait: 0, grace: answerGrace, pause: jitter(minPause), fails: p.fails + 1}
	rounds := next.fails / n
	if rounds > 0 {
		next.pause = jitter(min(minPause<<min(rounds, 8), maxPause))
		next.grace = min(answerGrace<<min(rounds, 8), maxAnswerGrace)
	}
	return next, true
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	for p := initialPlan(); ctx.Err() == nil; {
		s.refreshSources()
		src := s.sources[s.current]
		began := s.clock.Now()
		err := s.syncOnce(ctx, src, p)
		if err != nil {
			s.recordUnreachable(began.Add(p.wait))
		}
		if err != nil && ctx.Err() == nil {
			s.log.V(logging.Detail).Info("control process not used", "address", src.Address(), "error", err.Error())
		}
		s.logConfirmationAge(src, p, err)
		var moveOn bool
		p, moveOn = p.after(err, len(s.sources))
		if moveOn {
			s.nextSource(err)
		}
		s.sleep(ctx, p.pause)
	}
}

// lateAfter is the age of the last confirmation by a quorum from which on it is
// logged: twice what synchronization takes when all is well, below the ages at which
// readiness and keys end.
const lateConfirmationAge = 2 * syncWait

// logLate says once that no quorum has confirmed the view lately, and once that it
// has again.
func (s *Service) logConfirmationAge(src source, p syncPlan, err error) {
	age := s.StampAge()
	switch late := age > lateConfirmationAge; {
	case late && !s.confirmationLate && age < neverConfirmed:
		s.log.Info("configuration not confirmed lately", "stamp_age", age, "asked", src.Address(), "fails", p.fails, "error", err)
	case !late && s.confirmationLate:
		s.log.Info("configuration confirmed again", "stamp_age", age, "asked", src.Address(), "fails", p.fails)
	}
	s.confirmationLate = age > lateConfirmationAge && age < neverConfirmed
}

// moveOn picks the next control process. While others answer, one that did not
// is left alone, so that a member does not hang on it again during an election.
func (s *Service) nextSource(err error) {
	n := len(s.sources)
	address := s.sources[s.current].Address()
	if gotAnswer(err) {
		delete(s.unanswered, address)
	} else {
		s.unanswered[address] = s.clock.Now()
	}
	for i := 1; i <= n; i++ {
		k := (s.current + i) % n
		if at, silent := s.unanswered[s.sources[k].Address()]; !silent || s.clock.Since(at) > avoidTime {
			s.current = k
			return
		}
	}
	s.current = (s.current + 1) % n
}

// noteSilence notes that a synchronization had no answer of a control process that reaches the leader. It was due at
// the given time at the latest. A control process that is cut off together with this one answers, but knows nothing.
func (s *Service) recordUnreachable(due time.Time) {
	since := s.clock.Now()
	if due.Before(since) {
		since = due
	}
	s.unreachableSince.CompareAndSwap(nil, &since)
}

// answered reports whether a synchronization that failed was answered.
func gotAnswer(err error) bool {
	for _, known := range []error{errNotRenewed, errStale, errUnconfirmed, errOlderState, errIncompleteUpdate, errTextMismatch} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

func (s *Service) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-s.clock.After(d):
	}
}

func (s *Service) syncOnce(ctx context.Context, src source, p syncPlan) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req := s.holder.Request(p.wait)
	asked := s.clock.Now()
	var reply wire.SyncReply
	answer := make(chan error, 1)
	go func() { answer <- src.Call(ctx, MethodSync, req, &reply) }()
	late := s.clock.NewTimer(p.wait + p.grace)
	defer late.Stop()
	received := src.Received()
	var cut <-chan time.Time
	poke := s.wake
	for {
		select {
		case err := <-answer:
			if err != nil {
				return err
			}
			return s.accept(&reply, asked)
		case <-late.Chan():
			if now := src.Received(); now > received && s.clock.Since(asked) < maxAnswerTime {
				received = now // a long answer is on its way
				late.Reset(p.grace)
				continue
			}
			src.Close() // it may be cut silently
			return errors.Errorf("configsync: no answer within %s", s.clock.Since(asked))
		case <-ctx.Done():
			return ctx.Err()
		case address := <-s.unresponsive:
			if sameVM(address, src.Address()) {
				s.log.Info("synchronization leaves a VM", "asked", src.Address(), "silent_there", address, "held_for", s.clock.Since(asked))
				src.Close()
				return errors.Errorf("configsync: the process at %s does not answer", address)
			}
		case <-poke:
			poke = nil
			if p.wait > 0 { // an answer that is not held back comes soon
				cut = s.clock.After(max(0, minPollTime-s.clock.Since(asked)))
			}
		case <-cut:
			return nil // asked anew at once
		}
	}
}

// arrival is how a new view came, for its log line.
type updateTiming struct {
	whole   bool          // the text, not a difference to the one before
	arrived time.Duration // from the call to its answer
	parsed  time.Duration // and from there until the view stood
}

func (s *Service) accept(reply *wire.SyncReply, asked time.Time) error {
	before := s.View()
	s.applyHint(reply)
	confirmed := reply.StampAge >= 0 && reply.StampAge <= maxConfirmationAge
	if confirmed || before == nil && len(s.directory.Learned()) == 0 {
		s.directory.Learn(reply.Control)
	}
	how := updateTiming{whole: reply.Config != nil, arrived: s.clock.Since(asked)}
	changed, err := s.holder.Take(reply, asked)
	how.parsed = s.clock.Since(asked) - how.arrived
	if changed != nil {
		s.publish(changed, before, how)
	}
	if err == nil && !reply.Renewed {
		return errNotRenewed
	}
	if err == nil {
		s.unreachableSince.Store(nil)
	}
	return err
}

// farewell asks one control process after the other until the leaving record
// is in the members.
func (s *Service) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if s.deregisterAt(ctx, s.sources[s.current]) {
			return
		}
		s.current = (s.current + 1) % len(s.sources)
		s.sleep(ctx, jitter(minPause))
	}
	s.log.Info("leaving not recorded", "reason", "no control process confirmed it", "waited", deregisterTimeout)
}

func (s *Service) deregisterAt(ctx context.Context, src source) bool {
	ctx, cancel := context.WithTimeout(ctx, answerGrace)
	defer cancel()
	for ctx.Err() == nil {
		asked := s.clock.Now()
		var reply wire.SyncReply
		if src.Call(ctx, MethodSync, s.holder.Request(unrenewedWait), &reply) != nil {
			return false
		}
		s.holder.Take(&reply, asked) // moves the request on; nobody is told any more
		if reply.Recorded {
			return true
		}
	}
	return false
}
