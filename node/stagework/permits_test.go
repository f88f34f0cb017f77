package stagework

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/requestlimit"
	"caperdrum.org/node/upstream"
)

// newLimits returns notices that name a limit for each of the starts.
func newLimits(perSecond float64, list ...wire.Start) *upstream.Notices {
	n := upstream.NewNotices(logr.Discard(), clockwork.NewFakeClock())
	for _, start := range list {
		n.Record(start, upstream.ResponseInfo{Limit: upstream.RequestLimit{Statement: upstream.LimitNamed, PerSecond: perSecond}})
	}
	return n
}

// TestLimitedUpstreamMakesPiecesWithinItsLimit has the only upstream of a service name a limit of a call in two
// seconds. It gets calls at that rate, and a job that cannot wait is refused at once.
func TestLimitedUpstreamMakesPiecesWithinItsLimit(t *testing.T) {
	a := newRestartFixture(1)
	a.submit(a.now, chainJob("j", "j1", nil), func(Result, error) {})
	calls := a.startCalls(a.now)
	if len(calls) != 1 {
		t.Fatalf("%d calls", len(calls))
	}
	a.permits.notices = newLimits(0.5, calls[0].worker.member.Start())
	a.permits.confirmed(a.now)
	a.permits.allocator.Take(a.now, mustLimit(t, a.permits, calls[0].worker.member))
	a.finishCall(a.now, calls[0], outcome{full: true})
	started := 0
	for ms := 0; ms <= 2500; ms += 100 {
		now := a.now.Add(time.Duration(ms) * time.Millisecond)
		a.permits.confirmed(now)
		a.expireJobs(now)
		for _, c := range a.startCalls(now) {
			started++
			a.finishCall(now, c, outcome{full: true})
		}
	}
	if started != 1 {
		t.Fatalf("%d calls in 2.5 s after one with a limit of one in 2 s, want 1", started)
	}
	short := chainJob("k", "k1", nil)
	short.TimeLeft = time.Second
	var refusal error
	a.submit(a.now.Add(2500*time.Millisecond), short, func(_ Result, err error) { refusal = err })
	if v := verdict.From(refusal); refusal == nil || v.Verdict != verdict.NotRun || v.RetryAfter <= 0 {
		t.Fatalf("job that cannot wait: %v", refusal)
	}
}

func mustLimit(t *testing.T, p *permits, m wire.Member) (l requestlimit.Limited) {
	t.Helper()
	l, limited := p.limit(m)
	if !limited {
		t.Fatal("no limit")
	}
	return l
}

// TestLimitedEngineIsChosenWithinItsLimit has one of two engines name a limit of one call a second: it gets one of
// the calls that come within that second, with a permit, and the other engine gets the rest without.
// When both have named it, jobs with pieces are refused before their stages run.
func TestLimitedEngineIsChosenWithinItsLimit(t *testing.T) {
	s, now := newScheduler(), time.Unix(1000, 0)
	list := []wire.Member{{ID: "e1", Service: "llm", Incarnation: 1}, {ID: "e2", Service: "llm", Incarnation: 1}}
	workers := []wire.Member{{ID: "w1", Service: "trace", Incarnation: 1}}
	s.setServices(map[string]*optext.Service{"llm": {Name: "llm"}, "trace": {Name: "trace", Direct: optext.Direct{Batch: 4, Calls: 1, CallTime: 10 * time.Millisecond}}}, map[string][]wire.Member{"llm": list, "trace": workers})
	s.setOwner(now, true, false)
	s.permits.notices = newLimits(1, list[0].Start())
	s.permits.confirmed(now)
	submit := func(id string, pieces int) (r Result, err error) {
		j := Job{ID: id, SubmissionID: id, TimeLeft: time.Minute, Goal: time.Minute, FirstEvent: time.Minute, Prompt: &Prompt{Service: "llm", Parts: []upstream.PromptPart{{ID: id, Tokens: 100}}}}
		if pieces > 0 {
			j.Stages = []Stage{{Service: "trace", Pieces: pieces}}
		}
		s.submit(now, j, func(got Result, e error) { r, err = got, e })
		return r, err
	}
	permitted := 0
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		r, err := submit(id, 0)
		switch {
		case err != nil || r.Engine == "":
			t.Fatal(r, err)
		case r.Permitted != (r.Engine == "e1"):
			t.Fatalf("%+v", r)
		case r.Permitted:
			permitted++
		}
	}
	if permitted != 1 {
		t.Fatalf("%d calls for the limited engine", permitted)
	}
	s.permits.notices = newLimits(1, list[0].Start(), list[1].Start())
	refused := 0
	for _, id := range []string{"k", "l", "m", "n"} {
		if _, err := submit(id, 1); err != nil {
			if v := verdict.From(err); v.Verdict != verdict.NotRun || v.RetryAfter <= 0 {
				t.Fatal(err)
			}
			refused++
		}
	}
	if refused != 3 {
		t.Fatalf("%d of 4 jobs were refused, want 3: the limits admit one", refused)
	}
}

// TestOwnerThatIsNotConfirmedHandsOutNoPermits lets the last confirmation of the owner age: another process may be
// the owner by then.
func TestOwnerThatIsNotConfirmedHandsOutNoPermits(t *testing.T) {
	now := time.Unix(1000, 0)
	m := wire.Member{ID: "i-1", Incarnation: 1}
	p := newPermits()
	p.notices = newLimits(1, m.Start())
	p.reset(now, false)
	p.confirmed(now)
	req := &PermitRequest{Service: "s", Upstreams: p.notices.LimitNotices([]wire.Start{m.Start()}), Refused: 5}
	if got := p.answer(now, req, nil); got.Upstream != m.Start() {
		t.Fatalf("%+v", got)
	}
	if got := p.answer(now, req, nil); got.Upstream.ID != "" || got.Wait < time.Second || got.RetryAfter < 5*time.Second {
		t.Fatalf("without a permit left: %+v", got)
	}
	now = now.Add(10 * time.Second)
	if got := p.answer(now, req, nil); got.Upstream.ID != "" {
		t.Fatalf("10 s after the last confirmation: %+v", got)
	}
	p.confirmed(now)
	if got := p.answer(now, req, nil); got.Upstream != m.Start() {
		t.Fatalf("confirmed again: %+v", got)
	}
}

// TestPermitsAreConfirmedWithoutEvents guards against the following failure: the owner learned of its last
// confirmation with events only, so that pieces for a limited upstream that waited while nothing else happened
// got no permit any more.
func TestPermitsAreConfirmedWithoutEvents(t *testing.T) {
	s := newNamedOwner(t)
	limited := wire.Member{ID: "w1", Service: "trace", Incarnation: 1}
	asked := make(chan struct{}, 100)
	posted := make(chan struct{})
	s.post(func(now time.Time) {
		s.ownership = func() knownOwner {
			select {
			case asked <- struct{}{}:
			default:
			}
			return knownOwner{}
		}
		s.notices.Record(limited.Start(), upstream.ResponseInfo{Limit: upstream.RequestLimit{Statement: upstream.LimitNamed, PerSecond: 1}})
		s.scheduler.permits.notices = s.notices
		s.scheduler.setServices(map[string]*optext.Service{"trace": {Name: "trace", Direct: optext.Direct{Batch: 4, Calls: 1, CallTime: time.Millisecond}}}, map[string][]wire.Member{"trace": {limited}})
		s.scheduler.setOwner(now, true, false)
		s.scheduler.submit(now, Job{ID: "j", SubmissionID: "j", TimeLeft: time.Hour, Goal: time.Hour, Resubmitted: true, Stages: []Stage{{Service: "trace", Pieces: 1}}}, func(Result, error) {})
		close(posted)
	})
	<-posted
	for range 5 {
		<-asked
	}
}
