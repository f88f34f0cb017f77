package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"caperdrum.org/api/wire"
)

const (
	// window is for how long answers of the other versions count: a fault that all versions
	// have at the same time is no fault of the target.
	window = 6 * time.Second
	// latest is the end of the window in which a fault of all versions shows at once.
	latest = time.Second
	// leastOthers is how many answers of other versions a comparison of durations needs.
	leastOthers = 20
	// slowFactor is how much longer than nine in ten answers of the other versions on the same route
	// an answer takes that counts as slow.
	slowFactor = 1.5
	// Prior answers of the other versions, of which priorBad are bad: few answers do not say that
	// they never fail.
	prior    = 20
	priorBad = 0.4
	// tolerance is how much more often than the others' the target's answers may be bad.
	tolerance = 1.5
	// leastBad is the part of bad answers that is tolerated of any version.
	leastBad = 0.02
	// alarm is the logarithm of the likelihood ratio from which on the target counts as bad.
	alarm = 7
	// suspicion is that from which on the target is not given all calls.
	suspicion = 5
)

// excesses are how much more often than tolerated the answers of a bad version may be bad. A test
// for a great excess is the quicker, one for a small excess finds what the others miss.
var excesses = [...]float64{0.06, 0.2, 0.5}

// cusum is a sequential test (Page, 1954) for each of the excesses. It forgets good answers of
// before, so that a version that turns bad late is found as quickly.
type cusum [len(excesses)]float64

// add takes in n answers, bad of them bad, where p is the part that is tolerated.
func (c *cusum) add(bad, n, p float64) {
	for i, excess := range excesses {
		worse := min(p+excess, 0.99)
		if worse <= p {
			continue
		}
		c[i] = max(0, c[i]+bad*math.Log(worse/p)+(n-bad)*math.Log((1-worse)/(1-p)))
	}
}

func (c *cusum) most() float64 { return slices.Max(c[:]) }

// Judge compares the target version of one roll-out with the others. It reads no clock.
type Judge struct {
	target         string
	last           map[wire.Start]map[countKey]wire.VersionCounts // of each process
	others         map[string]*recent                             // by route
	tests          map[testKey]*cusum
	Target, Others tally
}

// tally counts answers.
type tally struct{ Answers, Bad uint64 }

// testKey names a test: of failures or of durations, of one route or of all.
type testKey struct {
	slow  bool
	route string // allRoutes: of all
}

const allRoutes = "\x00"

// recent are the answers of other versions within the window.
type recent struct{ deltas []delta }

type delta struct {
	at     time.Time
	failed uint64
	took   map[int]uint64
}

// NewJudge returns a judge of the target version.
func NewJudge(target string) *Judge {
	return &Judge{target: target, last: map[wire.Start]map[countKey]wire.VersionCounts{}, others: map[string]*recent{}, tests: map[testKey]*cusum{}}
}

// Take takes in what a process has counted since the roll-out started.
func (j *Judge) Take(now time.Time, from wire.Start, counts []wire.VersionCounts) {
	last := j.last[from]
	if last == nil {
		last = map[countKey]wire.VersionCounts{}
		j.last[from] = last
	}
	var target []wire.VersionCounts
	for _, n := range counts {
		key := countKey{n.Version, n.Route}
		d := since(last[key], n)
		if d.Failed == 0 && len(d.LatencyCounts) == 0 {
			continue
		}
		last[key] = n
		if n.Version == j.target {
			target = append(target, d)
			continue
		}
		j.Others.add(d)
		j.takeOther(now, d)
	}
	for _, d := range target {
		j.Target.add(d)
		j.takeTarget(now, d)
	}
}

func (t *tally) add(d wire.VersionCounts) {
	t.Bad += d.Failed
	t.Answers += answers(d)
}

// since returns what n counts more than before. A report that was overtaken counts nothing.
func since(before, n wire.VersionCounts) wire.VersionCounts {
	d := wire.VersionCounts{Version: n.Version, Route: n.Route, LatencyCounts: map[int]uint64{}}
	if n.Failed > before.Failed {
		d.Failed = n.Failed - before.Failed
	}
	for bucket, count := range n.LatencyCounts {
		if count > before.LatencyCounts[bucket] {
			d.LatencyCounts[bucket] = count - before.LatencyCounts[bucket]
		}
	}
	return d
}

func answers(d wire.VersionCounts) uint64 {
	n := d.Failed
	for _, count := range d.LatencyCounts {
		n += count
	}
	return n
}

func (j *Judge) takeOther(now time.Time, d wire.VersionCounts) {
	r := j.others[d.Route]
	if r == nil {
		r = &recent{}
		j.others[d.Route] = r
	}
	r.deltas = slices.DeleteFunc(r.deltas, func(old delta) bool { return now.Sub(old.at) > window })
	r.deltas = append(r.deltas, delta{now, d.Failed, d.LatencyCounts})
}

// sum adds up the answers of other versions on a route, or on all, since a while ago.
func (j *Judge) sum(now time.Time, route string, since time.Duration) (failed uint64, took map[int]uint64) {
	took = map[int]uint64{}
	for name, r := range j.others {
		if route != allRoutes && name != route {
			continue
		}
		for _, d := range r.deltas {
			if now.Sub(d.at) > since {
				continue
			}
			failed += d.failed
			for bucket, count := range d.took {
				took[bucket] += count
			}
		}
	}
	return failed, took
}

func (j *Judge) takeTarget(now time.Time, d wire.VersionCounts) {
	n, bad := float64(answers(d)), float64(d.Failed)
	for _, route := range []string{d.Route, allRoutes} {
		j.test(testKey{false, route}).add(bad, n, max(j.failures(now, route, window), j.failures(now, route, latest)))
	}
	_, others := j.sum(now, d.Route, window)
	limit, ok := slowFrom(others)
	if !ok {
		return
	}
	slow, timed := above(d.LatencyCounts, limit), warm(d.LatencyCounts)
	j.Target.Bad += slow
	_, lately := j.sum(now, d.Route, latest)
	p := max(tolerated(float64(above(others, limit)), float64(warm(others))), tolerated(float64(above(lately, limit)), float64(warm(lately))))
	j.test(testKey{true, d.Route}).add(float64(slow), float64(timed), p)
}

// failures is the part of the target's answers that may be failures, by the others' since a while ago.
func (j *Judge) failures(now time.Time, route string, since time.Duration) float64 {
	failed, took := j.sum(now, route, since)
	return tolerated(float64(failed), float64(failed)+float64(total(took)))
}

func (j *Judge) test(key testKey) *cusum {
	c := j.tests[key]
	if c == nil {
		c = &cusum{}
		j.tests[key] = c
	}
	return c
}

// tolerated is the part of the target's answers that may be bad where so many of the others' are.
func tolerated(bad, n float64) float64 {
	return min(max(leastBad, tolerance*(bad+priorBad)/(n+prior)), 0.95)
}

// slowFrom returns the first bucket of slow answers, if there are enough to tell.
func slowFrom(others map[int]uint64) (bucket int, ok bool) {
	n := warm(others)
	if n < leastOthers {
		return 0, false
	}
	var seen uint64
	for _, bucket := range slices.Sorted(maps.Keys(others)) {
		if bucket == coldBucket {
			continue
		}
		if seen += others[bucket]; seen*10 >= n*9 {
			return bucket + 1 + int(math.Round(math.Log(slowFactor)/math.Log(bucketRatio))), true
		}
	}
	return 0, false
}

func above(took map[int]uint64, limit int) uint64 {
	var n uint64
	for bucket, count := range took {
		if bucket >= limit {
			n += count
		}
	}
	return n
}

func total(took map[int]uint64) uint64 { return warm(took) + took[coldBucket] }

// warm counts the answers whose duration says something.
func warm(took map[int]uint64) uint64 {
	var n uint64
	for bucket, count := range took {
		if bucket != coldBucket {
			n += count
		}
	}
	return n
}

// Verdict is what the answers so far say of the target.
type Verdict struct {
	Bad       bool // it answers worse than the others
	Suspected bool // it may
	Reason    string
}

// Verdict returns the judge's opinion.
func (j *Judge) Verdict() Verdict {
	var worst testKey
	most := 0.0
	for key, test := range j.tests {
		if m := test.most(); m > most {
			worst, most = key, m
		}
	}
	v := Verdict{Bad: most >= alarm, Suspected: most >= suspicion}
	if v.Suspected {
		what, where := "fails", "all routes"
		if worst.slow {
			what = "is slow"
		}
		if worst.route != allRoutes {
			where = "route " + worst.route
		}
		v.Reason = fmt.Sprintf("%s %s more often than the others on %s (%d of %d answers bad, likelihood %.1f)", j.target, what, where, j.Target.Bad, j.Target.Answers, most)
	}
	return v
}
