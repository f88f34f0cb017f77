package stagework

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/residency"
)

// TestUnreachableDataCenterIsDetectedOnce has one of six data centres of a fleet lose power under the usual
// load: a few calls detect it, and the others go elsewhere, instead of each upstream there being detected by
// calls of its own.
func TestUnreachableDataCenterIsDetectedOnce(t *testing.T) {
	for _, processes := range []int{90, 360, 720} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			s, now := fleetOwner(processes)
			lost := playOutage(s, now, 3*time.Second, "dc0", processes/20)
			// one probe a second, for each service at most, whatever the size
			if most := 2 * len(s.services); lost.later > most {
				t.Errorf("%d calls to the unreachable data centre after the first second, want at most %d", lost.later, most)
			}
			if most := lost.later * maxGroup; lost.pieces > most {
				t.Errorf("%d pieces in %d probes, want at most %d", lost.pieces, lost.later, most)
			}
		})
	}
}

// maxGroup is the largest number of pieces of a stage of fleetJob, which stay together.
const maxGroup = 6

// outageCalls are the calls sent to an unreachable data centre after it should be known.
type outageCalls struct{ later, pieces int }

// playOutage plays the calls of a fleet on a virtual clock while connections to a data centre time out.
func playOutage(s *scheduler, now time.Time, span time.Duration, unreachable string, jobsATick int) (l outageCalls) {
	const dial = 400 * time.Millisecond
	type ending struct {
		at time.Time
		c  *call
	}
	var under []ending
	began, number := now, 0
	for end := now.Add(span); now.Before(end); now = now.Add(ownerTick) {
		under = endCalls(s, now, under, func(e ending) time.Time { return e.at }, func(e ending) (*call, outcome) {
			if e.c.worker.member.DataCenter == unreachable {
				return e.c, outcome{err: "i/o timeout", unreachable: true}
			}
			return e.c, successOutcome(e.c)
		})
		for range jobsATick {
			number++
			j := fleetJob(number)
			s.submit(now, j, func(Result, error) {})
		}
		s.expireJobs(now)
		for _, c := range s.startCalls(now) {
			takes := c.expected
			if c.worker.member.DataCenter == unreachable {
				takes = dial
				if now.Sub(began) > time.Second {
					l.later++
					l.pieces += len(c.pieces)
				}
			}
			under = append(under, ending{now.Add(takes), c})
		}
	}
	return l
}

// endCalls ends the calls that are due and returns the others.
func endCalls[E any](s *scheduler, now time.Time, under []E, at func(E) time.Time, how func(E) (*call, outcome)) (rest []E) {
	for _, e := range under {
		if now.Before(at(e)) {
			rest = append(rest, e)
			continue
		}
		c, o := how(e)
		s.finishCall(now, c, o)
	}
	return rest
}

// TestUnreachableDataCenterIsTriedAgain has an unreachable data centre come back: a probe detects it, and its
// upstreams are used at once. While it is unreachable it gets one call a second.
func TestUnreachableDataCenterIsTriedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newReachability()
	at := func(i int) wire.Member { return wire.Member{ID: wire.MemberID(fmt.Sprint("u", i)), DataCenter: "dc0"} }
	for i := range minUnreachable - 1 {
		r.recordFailure(now, at(i))
		r.recordFailure(now, at(i)) // repeated failures of one upstream do not count
	}
	if r.blocked(now, "dc0") {
		t.Fatal("blocked too early")
	}
	r.recordAnswer("dc0")
	for i := range minUnreachable {
		if r.blocked(now, "dc0") {
			t.Fatal("an answer in between did not reset the failures")
		}
		r.recordFailure(now, at(10+i))
	}
	if !r.blocked(now, "dc0") || r.blocked(now, "dc1") {
		t.Fatal("not blocked, or another one is")
	}
	now = now.Add(reachProbeInterval)
	if r.blocked(now, "dc0") {
		t.Fatal("no probe is due")
	}
	r.recordCall(now, "dc0")
	if !r.blocked(now, "dc0") {
		t.Fatal("more than one probe")
	}
	r.recordAnswer("dc0")
	if r.blocked(now, "dc0") || r.unreachable("dc0") {
		t.Fatal("still unreachable after an answer")
	}
}

// TestUnreachableDataCenterExpires has too few calls to probe an unreachable data centre: its failures expire.
func TestUnreachableDataCenterExpires(t *testing.T) {
	s, now := fleetOwner(90)
	for i := range minUnreachable {
		s.reachability.recordFailure(now, wire.Member{ID: wire.MemberID(fmt.Sprint("u", i)), DataCenter: "dc0"})
	}
	s.expireJobs(now.Add(failureTTL))
	if !s.reachability.unreachable("dc0") {
		t.Fatal("forgotten too early")
	}
	s.expireJobs(now.Add(failureTTL + ownerTick))
	for _, w := range s.services["front"].list {
		if w.unreachable() {
			t.Fatalf("%s is avoided for good", w.member.ID)
		}
	}
}

// TestPiecesWithoutAnAlternativeAreTried has all data centres in which a job may run be unreachable: the job is
// not held until its deadline, but ends by failed attempts, no later than without knowledge of the data
// centres.
func TestPiecesWithoutAnAlternativeAreTried(t *testing.T) {
	all := []string{"dc0", "dc1", "dc2", "dc3", "dc4", "dc5"}
	for name, c := range map[string]struct {
		unreachable []string
		within      residency.AllowedDataCenters
	}{
		"all are unreachable":           {all, residency.AllowedDataCenters{}},
		"the only one of its region is": {[]string{"dc0"}, residency.AllowedDataCenters{Restricted: true, DataCenters: []string{"dc0"}}},
		"both of its region are":        {[]string{"dc0", "dc1"}, residency.AllowedDataCenters{Restricted: true, DataCenters: []string{"dc0", "dc1"}}},
	} {
		t.Run(name, func(t *testing.T) {
			known := timeToEnd(t, c.unreachable, c.within, func(*scheduler) {})
			unknown := timeToEnd(t, c.unreachable, c.within, func(s *scheduler) { s.reachability.reset() })
			if known > unknown {
				t.Errorf("the job ends after %s, after %s without knowledge of data centres", known, unknown)
			}
		})
	}
}

// timeToEnd is how long a job takes to end that may run in unreachable data centres only.
func timeToEnd(t *testing.T, unreachable []string, within residency.AllowedDataCenters, tick func(*scheduler)) time.Duration {
	s, now := fleetOwner(90)
	for _, dc := range unreachable {
		for i := range minUnreachable {
			s.reachability.recordFailure(now, wire.Member{ID: wire.MemberID(fmt.Sprint("u", i)), DataCenter: dc})
		}
	}
	var ended error
	j := fleetJob(1)
	j.Within = within
	s.submit(now, j, func(_ Result, err error) { ended = err })
	type ending struct {
		at time.Time
		c  *call
	}
	var under []ending
	for passed := time.Duration(0); passed < 2*j.TimeLeft; passed += ownerTick {
		at := now.Add(passed)
		tick(s)
		under = endCalls(s, at, under, func(e ending) time.Time { return e.at }, func(e ending) (*call, outcome) {
			return e.c, outcome{err: "i/o timeout", unreachable: true}
		})
		s.expireJobs(at)
		if ended != nil {
			return passed
		}
		for _, c := range s.startCalls(at) {
			under = append(under, ending{at.Add(400 * time.Millisecond), c})
		}
	}
	t.Fatal("the job never ends")
	return 0
}

// TestUnreachableDataCenterIsLogged logs once that a data centre became unreachable, and once that it is
// reachable again.
func TestUnreachableDataCenterIsLogged(t *testing.T) {
	var lines []string
	sched, now := fleetOwner(90)
	s := &Service{scheduler: sched, log: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})}
	for i := range minUnreachable {
		s.logReachability()
		sched.reachability.recordFailure(now, wire.Member{ID: wire.MemberID(fmt.Sprint("u", i)), DataCenter: "dc0"})
	}
	s.logReachability()
	s.logReachability()
	sched.reachability.recordAnswer("dc0")
	s.logReachability()
	s.logReachability()
	if len(lines) != 2 || !strings.Contains(lines[0], "data centre unreachable") || !strings.Contains(lines[1], "data centre reachable again") {
		t.Errorf("logged %q", lines)
	}
}

// TestFailingUpstreamsAreNotAnUnreachableDataCenter has upstreams of a data centre be unreachable while others
// there answer, and upstreams refuse connections, which shows that their VMs run.
func TestFailingUpstreamsAreNotAnUnreachableDataCenter(t *testing.T) {
	s, now := fleetOwner(90)
	submitBurst(s, now, 0)
	var failing int
	for _, c := range s.startCalls(now) {
		o := outcome{err: "connection refused"}
		if c.worker.member.DataCenter == "dc1" {
			if failing++; failing%minUnreachable == 0 {
				o = successOutcome(c)
			} else {
				o.unreachable = true
			}
		}
		s.finishCall(now, c, o)
	}
	if failing < 2*minUnreachable {
		t.Fatalf("%d calls in dc1", failing)
	}
	for _, dc := range []string{"dc0", "dc1"} {
		if s.reachability.unreachable(dc) {
			t.Errorf("%s counts as unreachable", dc)
		}
	}
}

// TestEnginesOfAnUnreachableDataCenter has calls find the engines of a data centre unreachable: the next ones
// go elsewhere, though an engine there has cached their shared part, and come back when it answers.
func TestEnginesOfAnUnreachableDataCenter(t *testing.T) {
	p := newEngineFleet()
	first, k := p.sendCall(prompt("shared", 1000))
	p.finishAssignment(p.now, k, EngineStarted)
	dc := p.loads[first].member.DataCenter
	for i := range minUnreachable {
		p.reachability.recordFailure(p.now, wire.Member{ID: wire.MemberID(fmt.Sprint("other", i)), DataCenter: dc})
	}
	id, _ := p.sendCall(prompt("shared", 1000))
	if p.loads[id].member.DataCenter == dc {
		t.Fatalf("%s is chosen in an unreachable data centre", id)
	}
	p.reachability.recordAnswer(dc)
	if id, _ := p.sendCall(prompt("shared", 1000)); p.loads[id].member.DataCenter != dc {
		t.Errorf("%s is chosen though the data centre is reachable again", id)
	}
}

// TestUnreachableEngineCountsForItsDataCenter ends an assignment at an unreachable engine: the engine backs
// off, and counts for its data centre.
func TestUnreachableEngineCountsForItsDataCenter(t *testing.T) {
	p := newEngineFleet()
	id, k := p.sendCall(prompt("shared", 1000))
	p.finishAssignment(p.now, k, EngineUnreachable)
	l := p.loads[id]
	if !p.now.Before(l.backoffUntil) || len(p.reachability.failures[l.member.DataCenter].upstreams) != 1 {
		t.Errorf("backs off until %s, %v", l.backoffUntil, p.reachability.failures)
	}
}

// TestResultsNameUnreachableDataCenters checks that results list the data centres that the owner cannot reach.
func TestResultsNameUnreachableDataCenters(t *testing.T) {
	s := newNamedOwner(t)
	named := wire.StageOwner{ID: "self", Incarnation: 7, Epoch: 5}
	s.post(func(time.Time) { s.scheduler.setServices(services, nil) })
	reported := func() []string {
		r, err := s.handleRun(t.Context(), &Job{ID: "j", SubmissionID: "j", TimeLeft: time.Minute, Goal: time.Minute, Owner: named})
		if err != nil {
			t.Fatal(err)
		}
		return r.UnreachableDataCenters
	}
	if got := reported(); got != nil {
		t.Errorf("unreachable: %v", got)
	}
	s.post(func(now time.Time) {
		for _, dc := range []string{"dc2", "dc1"} {
			for i := range minUnreachable {
				s.scheduler.reachability.recordFailure(now, wire.Member{ID: wire.MemberID(fmt.Sprint("u", i)), DataCenter: dc})
			}
		}
		s.scheduler.reachability.recordFailure(now, wire.Member{ID: "v", DataCenter: "dc3"})
	})
	if got := fmt.Sprint(reported()); got != "[dc1 dc2]" {
		t.Errorf("unreachable: %s", got)
	}
}
