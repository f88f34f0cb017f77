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
	// baselineWindow is how far back answers of the baseline count: a fault that all versions have at the
	// same time is not caused by the target.
	baselineWindow = 6 * time.Second
	// shortWindow is the most recent part of baselineWindow. A fault that has just begun in all versions
	// shows there at once.
	shortWindow = time.Second
	// minBaselineAnswers is how many baseline answers a comparison of durations needs.
	minBaselineAnswers = 20
	// slowFactor times the 90th percentile of the baseline's durations on the same route is the duration from
	// which an answer counts as slow.
	slowFactor = 1.5
	// priorAnswers are added to the baseline's answers, priorBad of them as bad: a few good answers do not
	// prove that the baseline never fails.
	priorAnswers = 20
	priorBad     = 0.4
	// toleranceFactor is how many times the baseline's rate of bad answers the target may have.
	toleranceFactor = 1.5
	// minTolerated is the rate of bad answers that is tolerated from any version.
	minTolerated = 0.02
	// badThreshold is the log-likelihood ratio from which the target counts as bad.
	badThreshold = 7
	// suspectThreshold is the log-likelihood ratio from which the target does not get all calls.
	suspectThreshold = 5
)

// excessRates are the rates of bad answers above the tolerated one that are tested for. A test for a large
// excess is faster, a test for a small one finds what the others miss.
var excessRates = [...]float64{0.06, 0.2, 0.5}

// cusum holds the scores of a sequential test (CUSUM, Page 1954) for each of excessRates. Scores do not fall
// below zero, so good answers of the past do not delay the detection of a version that turns bad later.
type cusum [len(excessRates)]float64

// add adds n answers, bad of which are bad. p is the tolerated rate of bad answers.
func (c *cusum) add(bad, n, p float64) {
	for i, excess := range excessRates {
		badRate := min(p+excess, 0.99)
		if badRate <= p {
			continue
		}
		c[i] = max(0, c[i]+bad*math.Log(badRate/p)+(n-bad)*math.Log((1-badRate)/(1-p)))
	}
}

func (c *cusum) maxScore() float64 { return slices.Max(c[:]) }

// Analyzer compares the answers of a rollout's target version with those of the other versions, the baseline.
// It reads no clock.
type Analyzer struct {
	target           string
	lastCounts       map[wire.Start]map[countKey]wire.VersionCounts // last counts of each process
	baselineAnswers  map[string]*recentAnswers                      // by route
	tests            map[testKey]*cusum
	Target, Baseline tally
}

// tally counts answers.
type tally struct{ Answers, Bad uint64 }

// testKey identifies a test: of failures or of durations, on one route or on all.
type testKey struct {
	slow  bool
	route string // or allRoutes
}

const allRoutes = "\x00"

// recentAnswers are the baseline's answers within baselineWindow.
type recentAnswers struct{ deltas []delta }

type delta struct {
	at     time.Time
	failed uint64
	took   map[int]uint64
}

// NewAnalyzer returns an Analyzer of the target version.
func NewAnalyzer(target string) *Analyzer {
	return &Analyzer{target: target, lastCounts: map[wire.Start]map[countKey]wire.VersionCounts{}, baselineAnswers: map[string]*recentAnswers{}, tests: map[testKey]*cusum{}}
}

// Add adds the cumulative counts of a process since the start of the rollout.
func (a *Analyzer) Add(now time.Time, from wire.Start, counts []wire.VersionCounts) {
	last := a.lastCounts[from]
	if last == nil {
		last = map[countKey]wire.VersionCounts{}
		a.lastCounts[from] = last
	}
	var target []wire.VersionCounts
	for _, n := range counts {
		key := countKey{n.Version, n.Route}
		d := countsSince(last[key], n)
		if d.Failed == 0 && len(d.LatencyCounts) == 0 {
			continue
		}
		last[key] = n
		if n.Version == a.target {
			target = append(target, d)
			continue
		}
		a.Baseline.add(d)
		a.addBaseline(now, d)
	}
	for _, d := range target {
		a.Target.add(d)
		a.addTarget(now, d)
	}
}

func (t *tally) add(d wire.VersionCounts) {
	t.Bad += d.Failed
	t.Answers += answerCount(d)
}

// countsSince returns the difference between two cumulative counts of a process. It is empty for a report
// that arrives out of order.
func countsSince(before, n wire.VersionCounts) wire.VersionCounts {
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

func answerCount(d wire.VersionCounts) uint64 {
	n := d.Failed
	for _, count := range d.LatencyCounts {
		n += count
	}
	return n
}

func (a *Analyzer) addBaseline(now time.Time, d wire.VersionCounts) {
	r := a.baselineAnswers[d.Route]
	if r == nil {
		r = &recentAnswers{}
		a.baselineAnswers[d.Route] = r
	}
	r.deltas = slices.DeleteFunc(r.deltas, func(old delta) bool { return now.Sub(old.at) > baselineWindow })
	r.deltas = append(r.deltas, delta{now, d.Failed, d.LatencyCounts})
}

// sumBaseline adds up the baseline's answers on a route, or on all, that are not older than since.
func (a *Analyzer) sumBaseline(now time.Time, route string, since time.Duration) (failed uint64, took map[int]uint64) {
	took = map[int]uint64{}
	for name, r := range a.baselineAnswers {
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

func (a *Analyzer) addTarget(now time.Time, d wire.VersionCounts) {
	n, bad := float64(answerCount(d)), float64(d.Failed)
	for _, route := range []string{d.Route, allRoutes} {
		a.test(testKey{false, route}).add(bad, n, max(a.toleratedFailures(now, route, baselineWindow), a.toleratedFailures(now, route, shortWindow)))
	}
	_, others := a.sumBaseline(now, d.Route, baselineWindow)
	limit, ok := slowBucket(others)
	if !ok {
		return
	}
	slow, timed := countFrom(d.LatencyCounts, limit), warmAnswers(d.LatencyCounts)
	a.Target.Bad += slow
	_, lately := a.sumBaseline(now, d.Route, shortWindow)
	p := max(toleratedRatio(float64(countFrom(others, limit)), float64(warmAnswers(others))), toleratedRatio(float64(countFrom(lately, limit)), float64(warmAnswers(lately))))
	a.test(testKey{true, d.Route}).add(float64(slow), float64(timed), p)
}

// toleratedFailures returns the tolerated rate of failures, by the baseline's failures that are not older
// than since.
func (a *Analyzer) toleratedFailures(now time.Time, route string, since time.Duration) float64 {
	failed, took := a.sumBaseline(now, route, since)
	return toleratedRatio(float64(failed), float64(failed)+float64(allAnswers(took)))
}

func (a *Analyzer) test(key testKey) *cusum {
	c := a.tests[key]
	if c == nil {
		c = &cusum{}
		a.tests[key] = c
	}
	return c
}

// toleratedRatio returns the tolerated rate of bad answers of the target if bad of n baseline answers are
// bad.
func toleratedRatio(bad, n float64) float64 {
	return min(max(minTolerated, toleranceFactor*(bad+priorBad)/(n+priorAnswers)), 0.95)
}

// slowBucket returns the first bucket of slow answers, if there are enough baseline answers.
func slowBucket(others map[int]uint64) (bucket int, ok bool) {
	n := warmAnswers(others)
	if n < minBaselineAnswers {
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

func countFrom(took map[int]uint64, limit int) uint64 {
	var n uint64
	for bucket, count := range took {
		if bucket >= limit {
			n += count
		}
	}
	return n
}

func allAnswers(took map[int]uint64) uint64 { return warmAnswers(took) + took[coldBucket] }

// warmAnswers counts the answers of warm upstreams, whose durations are comparable.
func warmAnswers(took map[int]uint64) uint64 {
	var n uint64
	for bucket, count := range took {
		if bucket != coldBucket {
			n += count
		}
	}
	return n
}

// Verdict is the result of the comparison so far.
type Verdict struct {
	Bad       bool // the target is worse than the baseline
	Suspected bool // the target may be worse
	Reason    string
}

// Verdict returns the verdict on the answers so far. Its reason names the test with the highest score.
func (a *Analyzer) Verdict() Verdict {
	var worst testKey
	most := 0.0
	for key, test := range a.tests {
		if m := test.maxScore(); m > most {
			worst, most = key, m
		}
	}
	v := Verdict{Bad: most >= badThreshold, Suspected: most >= suspectThreshold}
	if v.Suspected {
		what, where := "fails", "all routes"
		if worst.slow {
			what = "is slow"
		}
		if worst.route != allRoutes {
			where = "route " + worst.route
		}
		v.Reason = fmt.Sprintf("%s %s more often than the others on %s (%d of %d answers bad, likelihood %.1f)", a.target, what, where, a.Target.Bad, a.Target.Answers, most)
	}
	return v
}
