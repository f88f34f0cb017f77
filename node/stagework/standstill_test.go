package stagework

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// TestStandstillIsNotTheUpstreams freezes an owner whose calls are under way at all upstreams of a fleet, as a VM
// that gets no processor for seconds does, and lets them end when it goes on: answered, or past their limit. The
// burst that comes then is taken in as one before, and no upstream is passed over.
func TestStandstillIsNotTheUpstreams(t *testing.T) {
	const frozen = 8 * time.Second
	for name, end := range map[string]func(c *call) outcome{
		"answered":  answered,
		"timed out": func(*call) outcome { return outcome{err: "deadline exceeded"} },
	} {
		t.Run(name, func(t *testing.T) {
			s, now := fleetOwner(90)
			burst(s, now, 0)
			calls := s.start(now)
			if len(calls) < 60 {
				t.Fatalf("%d calls under way", len(calls))
			}
			now = now.Add(frozen)
			s.stoodStill(now)
			for _, c := range calls {
				s.finish(now, c, end(c))
			}
			for _, c := range calls {
				if w := c.worker; w.ratio != 1 || w.failures != 0 || now.Before(w.until) {
					t.Fatalf("%s: ratio %.1f, %d failures, left alone for %s", w.member.ID, w.ratio, w.failures, w.until.Sub(now))
				}
			}
			s.confirmed()
			s.expire(now)
			if refused := burst(s, now, 1); refused > 0 {
				t.Errorf("%d jobs refused, estimate %s", refused, s.lastEstimate)
			}
			c := s.start(now)[0]
			s.finish(now.Add(2*c.expect), c, answered(c))
			if c.worker.ratio <= 1 {
				t.Error("a call that began after the standstill is not measured")
			}
		})
	}
}

// burst hands in as many jobs as an owner of that fleet has under way, and returns how many were refused.
func burst(s *scheduler, now time.Time, number int) (refused int) {
	for i := range 30 {
		j := fleetJob(i)
		j.ID = fmt.Sprint("burst", number, "-", i)
		j.Handed, j.Key = j.ID, j.ID
		if number == 0 {
			for k := range j.Stages {
				j.Stages[k].After = nil // all upstreams have work at once
			}
		}
		s.add(now, j, func(_ Result, err error) {
			if err != nil {
				refused++
			}
		})
	}
	return refused
}

func answered(c *call) outcome {
	o := outcome{results: make([]upstream.PieceResult, len(c.pieces))}
	for i, p := range c.pieces {
		o.results[i].Handle = fmt.Sprint(p.job.ID, p.stage, p.number, c.worker.member.ID)
	}
	return o
}

// TestPulse tells a standstill from a goroutine that had nothing to do, or was busy.
func TestPulse(t *testing.T) {
	var p pulse
	now := time.Unix(1000, 0)
	step := func(d time.Duration) time.Duration {
		now = now.Add(d)
		return p.beat(now)
	}
	p.arm(now, false)
	if stood := step(time.Hour); stood != 0 {
		t.Errorf("without a timer: %s", stood)
	}
	p.arm(now.Add(time.Minute), true)
	if stood := step(time.Minute + ownerTick); stood != 0 {
		t.Errorf("since before the timer: %s", stood)
	}
	for range 100 {
		if stood := step(standstillTime - time.Millisecond); stood != 0 {
			t.Fatalf("busy: %s", stood)
		}
		p.arm(now, true)
	}
	if stood := step(8 * time.Second); stood != 8*time.Second {
		t.Errorf("frozen for 8 s: %s", stood)
	}
	if stood := step(ownerTick); stood != 0 {
		t.Errorf("after it: %s", stood)
	}
}

// TestStandstillIsNotTheEngines freezes an owner while calls wait for their first event at an engine: what is foreseen
// of that engine and of all others stays as it was.
func TestStandstillIsNotTheEngines(t *testing.T) {
	p := newPark()
	_, first := p.call(prompt("shared", 1000))
	engine := p.by[first.engine]
	before, factor := p.pace.timeFor(reading{tokens: 1000}), engine.own.factor()
	p.now = p.now.Add(8 * time.Second)
	p.still.ended = p.now
	p.ended(p.now, first, EngineBegan)
	if after := p.pace.timeFor(reading{tokens: 1000}); after != before || engine.own.factor() != factor {
		t.Errorf("foreseen %s, before %s; factor %.1f", after, before, engine.own.factor())
	}
	_, next := p.call(prompt("shared", 1000))
	p.ended(p.now.Add(8*time.Second), next, EngineBegan)
	if p.pace.timeFor(reading{tokens: 1000}) <= before {
		t.Error("a call that was sent after the standstill is not measured")
	}
}

// TestOwnerThatStoodStillIsFenced freezes an owner with jobs that wait, as a VM does that gets no processor until
// another owner was named. It makes no calls of its former jobs, which would keep upstreams from the next
// owner's, until it is confirmed or nobody can say who owns the queues.
func TestOwnerThatStoodStillIsFenced(t *testing.T) {
	for name, c := range map[string]struct {
		then  func(s *scheduler, now time.Time)
		after time.Duration
		calls bool
	}{
		"at once":           {func(*scheduler, time.Time) {}, 0, false},
		"not confirmed":     {func(*scheduler, time.Time) {}, doubtTime - time.Millisecond, false},
		"confirmed":         {func(s *scheduler, _ time.Time) { s.confirmed() }, 0, true},
		"nobody says":       {func(*scheduler, time.Time) {}, doubtTime, true},
		"named again":       {func(s *scheduler, now time.Time) { s.own(now, false, true); s.own(now, true, false) }, 0, true},
		"another is named":  {func(s *scheduler, now time.Time) { s.own(now, false, true) }, doubtTime, false},
		"named by a caller": {func(s *scheduler, now time.Time) { s.own(now, true, true) }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := fleetOwner(90)
			burst(s, now, 0)
			now = now.Add(time.Second)
			s.stoodStill(now)
			c.then(s, now)
			burst(s, now, 2)
			if calls := s.start(now.Add(c.after)); len(calls) > 0 != c.calls {
				t.Errorf("%d calls", len(calls))
			}
		})
	}
}

// TestStandstillOfAnotherProcess freezes a process that does not own the queues: it may be named at once.
func TestStandstillOfAnotherProcess(t *testing.T) {
	s, now := fleetOwner(90)
	s.own(now, false, true)
	s.stoodStill(now)
	s.own(now, true, false)
	burst(s, now, 0)
	if len(s.start(now)) == 0 {
		t.Error("no calls")
	}
}

// TestDoubtEndsByAQuorum tells a confirmation from before the standstill, and of another owner, from one that counts.
func TestDoubtEndsByAQuorum(t *testing.T) {
	self := wire.Member{ID: "self", Incarnation: 7}
	mine := wire.StageOwner{ID: "self", Incarnation: 7, Epoch: 5}
	for name, c := range map[string]struct {
		known ownership
		ends  bool
	}{
		"before the standstill": {ownership{mine, 8 * time.Second}, false},
		"since the standstill":  {ownership{mine, 50 * time.Millisecond}, true},
		"of another":            {ownership{wire.StageOwner{ID: "other", Incarnation: 7, Epoch: 6}, 50 * time.Millisecond}, false},
		"of an earlier start":   {ownership{wire.StageOwner{ID: "self", Incarnation: 6, Epoch: 4}, 50 * time.Millisecond}, false},
		"nothing is known":      {ownership{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			sched, now := fleetOwner(90)
			s := &Service{log: logr.Discard(), self: func() wire.Member { return self }, owner: func() ownership { return c.known }, scheduler: sched}
			sched.stoodStill(now)
			s.clearDoubt(now.Add(100 * time.Millisecond))
			if sched.doubted == c.ends {
				t.Errorf("in doubt: %v", sched.doubted)
			}
		})
	}
}
