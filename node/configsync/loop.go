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
	syncWait       = time.Second            // how long a reply may be delayed; also the interval of lease renewals
	answerGrace    = 400 * time.Millisecond // how long an answer may take beyond that
	maxAnswerGrace = 4 * time.Second        // limit of the grace period, which grows while no control process answers
	// maxAnswerTime limits a reply that is being received: 12 MB over a link of 10 Mbit/s.
	maxAnswerTime = 10 * time.Second
	unrenewedWait = 250 * time.Millisecond // wait at control processes that cannot renew the lease
	minPause      = 25 * time.Millisecond
	maxPause      = 400 * time.Millisecond
	minPollTime   = 50 * time.Millisecond // a call is not aborted earlier
	avoidTime     = 3 * time.Second       // for this long, a control process that did not answer is used last
	// deregisterTimeout is how long a stopping process waits until its leaving is recorded. After that, its
	// lease expires.
	deregisterTimeout = 1500 * time.Millisecond
)

// syncPlan says how to make the next synchronization. After a failure, the next control process is asked to
// reply without delay, so that several hanging ones can be skipped within the lease.
type syncPlan struct {
	wait  time.Duration
	grace time.Duration
	pause time.Duration
	fails int // consecutive failures
}

func initialPlan() syncPlan { return syncPlan{wait: 0, grace: answerGrace, pause: 0} }

// after returns the plan that follows a synchronization, with n control processes to choose from, and whether
// to switch to the next one.
func (p syncPlan) after(err error, n int) (next syncPlan, moveOn bool) {
	switch {
	case err == nil:
		return syncPlan{wait: syncWait, grace: answerGrace}, false
	case errors.Is(err, errNotRenewed) || errors.Is(err, errUnconfirmed):
		// This one still delivers updates. Others may reach the leader, or have its confirmation.
		return syncPlan{wait: jitter(unrenewedWait), grace: answerGrace}, true
	case errors.Is(err, errIncompleteUpdate) || errors.Is(err, errTextMismatch):
		// The next request asks for the complete list or text.
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
			s.log.V(logging.Detail).Info("synchronization failed", "address", src.Address(), "error", err.Error())
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

// lateConfirmationAge is the age from which a late confirmation is logged: twice the normal duration of a
// synchronization, and below the ages at which the process is no longer ready and keys expire.
const lateConfirmationAge = 2 * syncWait

// logConfirmationAge logs when the last confirmation becomes late, and when there is a recent one again.
func (s *Service) logConfirmationAge(src source, p syncPlan, err error) {
	age := s.StampAge()
	switch late := age > lateConfirmationAge; {
	case late && !s.confirmationLate && age < neverConfirmed:
		s.log.Info("configuration not recently confirmed", "stamp_age", age, "asked", src.Address(), "fails", p.fails, "error", err)
	case !late && s.confirmationLate:
		s.log.Info("configuration confirmed again", "stamp_age", age, "asked", src.Address(), "fails", p.fails)
	}
	s.confirmationLate = age > lateConfirmationAge && age < neverConfirmed
}

// nextSource selects the next control process. Those that recently did not answer are skipped while others
// answer, so that a member does not hang on the same one again during an election.
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

// recordUnreachable records that a synchronization got no answer from a control process that reaches the
// leader, by due at the latest. A control process that is partitioned together with this one does answer, but
// does not reach the leader.
func (s *Service) recordUnreachable(due time.Time) {
	since := s.clock.Now()
	if due.Before(since) {
		since = due
	}
	s.unreachableSince.CompareAndSwap(nil, &since)
}

// gotAnswer reports whether a failed synchronization got an answer.
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
	go func() { answer <- src.Poll(ctx, p.wait, MethodSync, req, &reply) }()
	deadline := s.clock.NewTimer(p.wait + p.grace)
	defer deadline.Stop()
	received := src.BytesReceived()
	var abort <-chan time.Time
	wake := s.wake
	for {
		select {
		case err := <-answer:
			if err != nil {
				return err
			}
			return s.accept(&reply, asked)
		case <-deadline.Chan():
			if now := src.BytesReceived(); now > received && s.clock.Since(asked) < maxAnswerTime {
				received = now // a long reply is being received
				deadline.Reset(p.grace)
				continue
			}
			src.Close() // the connection may be dead
			return errors.Errorf("configsync: no answer within %s", s.clock.Since(asked))
		case <-ctx.Done():
			return ctx.Err()
		case address := <-s.unresponsive:
			if sameVM(address, src.Address()) {
				s.log.Info("synchronization switches to another VM", "asked", src.Address(), "silent_there", address, "held_for", s.clock.Since(asked))
				src.Close()
				return errors.Errorf("configsync: the process at %s does not answer", address)
			}
		case <-wake:
			wake = nil
			if p.wait > 0 { // without a wait, the reply will arrive soon
				abort = s.clock.After(max(0, minPollTime-s.clock.Since(asked)))
			}
		case <-abort:
			return nil // the caller sends a new request immediately
		}
	}
}

// updateTiming describes how a new view was received, for the log.
type updateTiming struct {
	whole   bool          // a complete text instead of a delta
	arrived time.Duration // from the request to the reply
	parsed  time.Duration // from the reply until the view was complete
}

func (s *Service) accept(reply *wire.SyncReply, asked time.Time) error {
	before := s.View()
	s.applyHint(reply)
	confirmed := reply.StampAge >= 0 && reply.StampAge <= maxConfirmationAge
	if confirmed || before == nil && len(s.directory.Learned()) == 0 {
		s.directory.Learn(reply.Control)
	}
	timing := updateTiming{whole: reply.Config != nil, arrived: s.clock.Since(asked)}
	_, err := s.holder.ApplyAndPublish(reply, asked, func(changed *View) {
		timing.parsed = s.clock.Since(asked) - timing.arrived
		s.publish(changed, before, timing)
	})
	if err == nil && !reply.Renewed {
		return errNotRenewed
	}
	if err == nil {
		s.unreachableSince.Store(nil)
	}
	return err
}

// deregister asks one control process after another until one has recorded that this process is leaving.
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
	s.log.Info("leaving was not recorded", "reason", "no control process confirmed it", "waited", deregisterTimeout)
}

func (s *Service) deregisterAt(ctx context.Context, src source) bool {
	ctx, cancel := context.WithTimeout(ctx, answerGrace)
	defer cancel()
	for ctx.Err() == nil {
		asked := s.clock.Now()
		var reply wire.SyncReply
		if src.Poll(ctx, unrenewedWait, MethodSync, s.holder.Request(unrenewedWait), &reply) != nil {
			return false
		}
		s.holder.Apply(&reply, asked) // advances the next request; listeners are no longer called
		if reply.Recorded {
			return true
		}
	}
	return false
}
