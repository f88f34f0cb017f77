package stagework

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// TestStallDoesNotCountAgainstUpstreams stalls an owner with calls in progress at all upstreams of a fleet, as when
// its VM gets no CPU for seconds, and ends the calls afterwards, answered or timed out. The next burst is admitted as
// before, and no upstream counts as slow or failing.
func TestStallDoesNotCountAgainstUpstreams(t *testing.T) {
	const stallTime = 8 * time.Second
	for name, end := range map[string]func(c *call) outcome{
		"answered":  successOutcome,
		"timed out": func(*call) outcome { return outcome{err: "deadline exceeded"} },
	} {
		t.Run(name, func(t *testing.T) {
			s, now := fleetOwner(90)
			submitBurst(s, now, 0)
			calls := s.startCalls(now)
			if len(calls) < 60 {
				t.Fatalf("%d calls in progress", len(calls))
			}
			now = now.Add(stallTime)
			s.recordStall(now)
			for _, c := range calls {
				s.finishCall(now, c, end(c))
			}
			for _, c := range calls {
				if w := c.worker; w.slowdown != 1 || w.failures != 0 || now.Before(w.backoffUntil) {
					t.Fatalf("%s: slowdown %.1f, %d failures, backs off for %s", w.member.ID, w.slowdown, w.failures, w.backoffUntil.Sub(now))
				}
			}
			s.confirm()
			s.expireJobs(now)
			if refused := submitBurst(s, now, 1); refused > 0 {
				t.Errorf("%d jobs refused, estimate %s", refused, s.lastEstimate)
			}
			c := s.startCalls(now)[0]
			s.finishCall(now.Add(2*c.expected), c, successOutcome(c))
			if c.worker.slowdown <= 1 {
				t.Error("a call that started after the stall is not measured")
			}
		})
	}
}

// submitBurst submits as many jobs as an owner of that fleet usually has in progress, and returns how many were
// refused.
func submitBurst(s *scheduler, now time.Time, number int) (refused int) {
	for i := range 30 {
		j := fleetJob(i)
		j.ID = fmt.Sprint("burst", number, "-", i)
		j.SubmissionID, j.Key = j.ID, j.ID
		if number == 0 {
			for k := range j.Stages {
				j.Stages[k].DependsOn = nil // all upstreams have work at once
			}
		}
		s.submit(now, j, func(_ Result, err error) {
			if err != nil {
				refused++
			}
		})
	}
	return refused
}

func successOutcome(c *call) outcome {
	o := outcome{results: make([]upstream.PieceResult, len(c.pieces))}
	for i, p := range c.pieces {
		o.results[i].Handle = fmt.Sprint(p.job.ID, p.stage, p.number, c.worker.member.ID)
	}
	return o
}

// TestStallDetection distinguishes a stall from a goroutine that had nothing to do, or was busy.
func TestStallDetection(t *testing.T) {
	var p stallDetector
	now := time.Unix(1000, 0)
	step := func(d time.Duration) time.Duration {
		now = now.Add(d)
		return p.observe(now)
	}
	p.setArmed(now, false)
	if stalled := step(time.Hour); stalled != 0 {
		t.Errorf("without a timer: %s", stalled)
	}
	p.setArmed(now.Add(time.Minute), true)
	if stalled := step(time.Minute + ownerTick); stalled != 0 {
		t.Errorf("idle before the timer was set: %s", stalled)
	}
	for range 100 {
		if stalled := step(stallThreshold - time.Millisecond); stalled != 0 {
			t.Fatalf("busy: %s", stalled)
		}
		p.setArmed(now, true)
	}
	if stalled := step(8 * time.Second); stalled != 8*time.Second {
		t.Errorf("stalled for 8 s: %s", stalled)
	}
	if stalled := step(ownerTick); stalled != 0 {
		t.Errorf("after the stall: %s", stalled)
	}
}

// TestStallDoesNotCountAgainstEngines stalls an owner while a call waits for its first event at an engine: the
// predictions for that engine and all others stay the same.
func TestStallDoesNotCountAgainstEngines(t *testing.T) {
	p := newEngineFleet()
	_, first := p.sendCall(prompt("shared", 1000))
	engine := p.loads[first.engine]
	before, factor := p.ttft.timeFor(prefill{tokens: 1000}), engine.relativePace.factor()
	p.now = p.now.Add(8 * time.Second)
	p.lastStall.ended = p.now
	p.finishAssignment(p.now, first, EngineStarted)
	if after := p.ttft.timeFor(prefill{tokens: 1000}); after != before || engine.relativePace.factor() != factor {
		t.Errorf("predicted %s, before %s; factor %.1f", after, before, engine.relativePace.factor())
	}
	_, next := p.sendCall(prompt("shared", 1000))
	p.finishAssignment(p.now.Add(8*time.Second), next, EngineStarted)
	if p.ttft.timeFor(prefill{tokens: 1000}) <= before {
		t.Error("a call that was sent after the stall is not observed")
	}
}

// TestStalledOwnerIsFenced stalls an owner with waiting jobs, as when its VM gets no CPU until another owner was
// named. It starts no calls, which would take upstreams from the next owner, until it is confirmed or maxUnconfirmed
// has passed without word of an owner.
func TestStalledOwnerIsFenced(t *testing.T) {
	for name, c := range map[string]struct {
		then  func(s *scheduler, now time.Time)
		after time.Duration
		calls bool
	}{
		"at once":                {func(*scheduler, time.Time) {}, 0, false},
		"not confirmed":          {func(*scheduler, time.Time) {}, maxUnconfirmed - time.Millisecond, false},
		"confirmed":              {func(s *scheduler, _ time.Time) { s.confirm() }, 0, true},
		"no word of an owner":    {func(*scheduler, time.Time) {}, maxUnconfirmed, true},
		"named again":            {func(s *scheduler, now time.Time) { s.setOwner(now, false, true); s.setOwner(now, true, false) }, 0, true},
		"another owner is named": {func(s *scheduler, now time.Time) { s.setOwner(now, false, true) }, maxUnconfirmed, false},
		"named by a caller":      {func(s *scheduler, now time.Time) { s.setOwner(now, true, true) }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := fleetOwner(90)
			submitBurst(s, now, 0)
			now = now.Add(time.Second)
			s.recordStall(now)
			c.then(s, now)
			submitBurst(s, now, 2)
			if calls := s.startCalls(now.Add(c.after)); len(calls) > 0 != c.calls {
				t.Errorf("%d calls", len(calls))
			}
		})
	}
}

// TestStallBeforeOwnershipDoesNotFence stalls a process that does not own the queues: it may be named owner at once.
func TestStallBeforeOwnershipDoesNotFence(t *testing.T) {
	s, now := fleetOwner(90)
	s.setOwner(now, false, true)
	s.recordStall(now)
	s.setOwner(now, true, false)
	submitBurst(s, now, 0)
	if len(s.startCalls(now)) == 0 {
		t.Error("no calls")
	}
}

// TestStalledOwnerNeedsANewConfirmation accepts only a confirmation of this owner, made after the stall.
func TestStalledOwnerNeedsANewConfirmation(t *testing.T) {
	self := wire.Member{ID: "self", Incarnation: 7}
	mine := wire.StageOwner{ID: "self", Incarnation: 7, Epoch: 5}
	for name, c := range map[string]struct {
		known knownOwner
		ends  bool
	}{
		"before the stall":          {knownOwner{mine, 8 * time.Second}, false},
		"after the stall":           {knownOwner{mine, 50 * time.Millisecond}, true},
		"of another owner":          {knownOwner{wire.StageOwner{ID: "other", Incarnation: 7, Epoch: 6}, 50 * time.Millisecond}, false},
		"of an earlier incarnation": {knownOwner{wire.StageOwner{ID: "self", Incarnation: 6, Epoch: 4}, 50 * time.Millisecond}, false},
		"no owner is known":         {knownOwner{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			sched, now := fleetOwner(90)
			s := &Service{log: logr.Discard(), notices: noNotices(), self: func() wire.Member { return self }, ownership: func() knownOwner { return c.known }, scheduler: sched}
			sched.recordStall(now)
			s.confirmOwnership(now.Add(100 * time.Millisecond))
			if sched.unconfirmed == c.ends {
				t.Errorf("unconfirmed: %v", sched.unconfirmed)
			}
		})
	}
}
