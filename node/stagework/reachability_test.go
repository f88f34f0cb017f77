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

// TestDarkDataCenterIsFoundOnce has one of six data centres of a fleet lose its power while calls come as usual: a few of
// them find out, and the others go elsewhere. Before, each upstream there was found out by calls of its own.
func TestDarkDataCenterIsFoundOnce(t *testing.T) {
	for _, processes := range []int{90, 360, 720} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			s, now := fleetOwner(processes)
			lost := playDark(s, now, 3*time.Second, "dc0", processes/20)
			// one that looks each second, of each service at most, whatever the size
			if most := 2 * len(s.services); lost.later > most {
				t.Errorf("%d calls go to the dark data centre after the first second, %d may", lost.later, most)
			}
			if most := lost.later * largestGroup; lost.pieces > most {
				t.Errorf("%d pieces in %d calls that look whether it is back, %d may", lost.pieces, lost.later, most)
			}
		})
	}
}

// largestGroup is how many pieces a stage of fleetJob has at most: they stay together.
const largestGroup = 6

// lost are the calls that went to a dark data centre once that could be known.
type lost struct{ later, pieces int }

// playDark plays calls of a fleet on a virtual clock while connections to a data centre time out.
func playDark(s *scheduler, now time.Time, span time.Duration, dark string, jobsATick int) (l lost) {
	const dial = 400 * time.Millisecond
	type ending struct {
		at time.Time
		c  *call
	}
	var under []ending
	began, number := now, 0
	for end := now.Add(span); now.Before(end); now = now.Add(ownerTick) {
		under = endCalls(s, now, under, func(e ending) time.Time { return e.at }, func(e ending) (*call, outcome) {
			if e.c.worker.member.DataCenter == dark {
				return e.c, outcome{err: "i/o timeout", unreachable: true}
			}
			return e.c, answered(e.c)
		})
		for range jobsATick {
			number++
			j := fleetJob(number)
			s.submit(now, j, func(Result, error) {})
		}
		s.expireJobs(now)
		for _, c := range s.startCalls(now) {
			takes := c.expected
			if c.worker.member.DataCenter == dark {
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

// endCalls ends the calls whose time has come and returns the others.
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

// TestDarkDataCenterIsTriedAgain has a dark data centre come back: the call that looks finds it, and its upstreams are
// used at once. One that stays dark gets a call a second.
func TestDarkDataCenterIsTriedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newReachability()
	at := func(i int) wire.Member { return wire.Member{ID: wire.MemberID(fmt.Sprint("u", i)), DataCenter: "dc0"} }
	for i := range minUnreachable - 1 {
		r.recordFailure(now, at(i))
		r.recordFailure(now, at(i)) // the same one again says nothing of the others
	}
	if r.blocked(now, "dc0") {
		t.Fatal("dark too early")
	}
	r.recordAnswer("dc0")
	for i := range minUnreachable {
		if r.blocked(now, "dc0") {
			t.Fatal("an answer in between does not count")
		}
		r.recordFailure(now, at(10+i))
	}
	if !r.blocked(now, "dc0") || r.blocked(now, "dc1") {
		t.Fatal("not dark, or another one is")
	}
	now = now.Add(reachProbeInterval)
	if r.blocked(now, "dc0") {
		t.Fatal("it is never tried again")
	}
	r.recordCall(now, "dc0")
	if !r.blocked(now, "dc0") {
		t.Fatal("tried by more than one call")
	}
	r.recordAnswer("dc0")
	if r.blocked(now, "dc0") || r.unreachable("dc0") {
		t.Fatal("not back")
	}
}

// TestDarkDataCenterIsForgottenInTheEnd has work so little that nothing looks whether a data centre is back.
func TestDarkDataCenterIsForgottenInTheEnd(t *testing.T) {
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
			t.Fatalf("%s is passed over for good", w.member.ID)
		}
	}
}

// TestPiecesWithNowhereElseAreTried has all data centres to which a job may go be dark: it is not held until its
// deadline, but ends by its own tries, as where nothing is known of data centres.
func TestPiecesWithNowhereElseAreTried(t *testing.T) {
	all := []string{"dc0", "dc1", "dc2", "dc3", "dc4", "dc5"}
	for name, c := range map[string]struct {
		dark   []string
		within residency.Within
	}{
		"all are dark":       {all, residency.Within{}},
		"its region is":      {[]string{"dc0"}, residency.Within{Bound: true, DataCenters: []string{"dc0"}}},
		"both of its region": {[]string{"dc0", "dc1"}, residency.Within{Bound: true, DataCenters: []string{"dc0", "dc1"}}},
	} {
		t.Run(name, func(t *testing.T) {
			known := endsAfter(t, c.dark, c.within, func(*scheduler) {})
			unknown := endsAfter(t, c.dark, c.within, func(s *scheduler) { s.reachability.reset() })
			if known > unknown {
				t.Errorf("the job ends after %s, after %s where nothing is known", known, unknown)
			}
		})
	}
}

// endsAfter is how long a job takes to end that may go to dark data centres only.
func endsAfter(t *testing.T, dark []string, within residency.Within, tick func(*scheduler)) time.Duration {
	s, now := fleetOwner(90)
	for _, dc := range dark {
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
	for passed := time.Duration(0); passed < 2*j.Left; passed += ownerTick {
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

// TestDarkDataCenterIsLogged logs when a data centre goes dark and when it is back, once each.
func TestDarkDataCenterIsLogged(t *testing.T) {
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

// TestUpstreamsThatFailAreNotADarkDataCenter has upstreams of a data centre fail while others there answer, and upstreams
// refuse calls: their VMs run.
func TestUpstreamsThatFailAreNotADarkDataCenter(t *testing.T) {
	s, now := fleetOwner(90)
	burst(s, now, 0)
	var failing int
	for _, c := range s.startCalls(now) {
		o := outcome{err: "connection refused"}
		if c.worker.member.DataCenter == "dc1" {
			if failing++; failing%minUnreachable == 0 {
				o = answered(c)
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
			t.Errorf("%s counts as dark", dc)
		}
	}
}

// TestEnginesOfADarkDataCenter has calls find that a data centre's engines cannot be reached: the next ones go elsewhere,
// though an engine there has read what they share, and come back when it answers.
func TestEnginesOfADarkDataCenter(t *testing.T) {
	p := newPark()
	first, k := p.call(prompt("shared", 1000))
	p.finishAssignment(p.now, k, EngineBegan)
	dc := p.loads[first].member.DataCenter
	for i := range minUnreachable {
		p.reachability.recordFailure(p.now, wire.Member{ID: wire.MemberID(fmt.Sprint("other", i)), DataCenter: dc})
	}
	id, _ := p.call(prompt("shared", 1000))
	if p.loads[id].member.DataCenter == dc {
		t.Fatalf("%s is chosen in a dark data centre", id)
	}
	p.reachability.recordAnswer(dc)
	if id, _ := p.call(prompt("shared", 1000)); p.loads[id].member.DataCenter != dc {
		t.Errorf("%s is chosen though the data centre is back", id)
	}
}

// TestEngineThatCannotBeReached ends a pick with nothing answering: the engine is passed over, and counts for its data
// centre.
func TestEngineThatCannotBeReached(t *testing.T) {
	p := newPark()
	id, k := p.call(prompt("shared", 1000))
	p.finishAssignment(p.now, k, EngineUnreached)
	l := p.loads[id]
	if !p.now.Before(l.pausedUntil) || len(p.reachability.outages[l.member.DataCenter].unreached) != 1 {
		t.Errorf("passed over until %s, %v", l.pausedUntil, p.reachability.outages)
	}
}

// TestResultsSayWhatIsDark has results of jobs tell their processes which data centres the owner cannot reach.
func TestResultsSayWhatIsDark(t *testing.T) {
	s := newNamed(t)
	named := wire.StageOwner{ID: "self", Incarnation: 7, Epoch: 5}
	s.post(func(time.Time) { s.scheduler.setServices(services, nil) })
	dark := func() []string {
		r, err := s.handleRun(t.Context(), &Job{ID: "j", Handed: "j", Left: time.Minute, Goal: time.Minute, Owner: named})
		if err != nil {
			t.Fatal(err)
		}
		return r.Dark
	}
	if got := dark(); got != nil {
		t.Errorf("dark: %v", got)
	}
	s.post(func(now time.Time) {
		for _, dc := range []string{"dc2", "dc1"} {
			for i := range minUnreachable {
				s.scheduler.reachability.recordFailure(now, wire.Member{ID: wire.MemberID(fmt.Sprint("u", i)), DataCenter: dc})
			}
		}
		s.scheduler.reachability.recordFailure(now, wire.Member{ID: "v", DataCenter: "dc3"})
	})
	if got := fmt.Sprint(dark()); got != "[dc1 dc2]" {
		t.Errorf("dark: %s", got)
	}
}
