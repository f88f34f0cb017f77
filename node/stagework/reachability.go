package stagework

import (
	"slices"
	"time"

	"caperdrum.org/api/wire"
)

const (
	// minUnreachable is the number of upstreams of a data centre that must be unreachable, without an
	// answer from any other there in between, for the data centre to count as unreachable.
	minUnreachable = 3
	// reachProbeInterval is the time between calls that probe an unreachable data centre.
	reachProbeInterval = time.Second
	// failureTTL is how long a failure counts, so that a data centre is not avoided for good where
	// there are too few calls to probe it.
	failureTTL = 10 * time.Second
)

// reachability tracks which data centres are unreachable: without power, or partitioned from the
// owner. The upstreams of a data centre are one failure domain, so a few failed calls decide for
// all of them. Otherwise every process would spend a connection timeout on each upstream.
type reachability struct {
	failures map[string]*failureRecord // by data centre; those with failed connections since the last answer
}

// failureRecord tracks the failed connections of one data centre.
type failureRecord struct {
	upstreams   map[wire.MemberID]bool
	lastFailure time.Time
	nextProbe   time.Time // when a call may probe the data centre
}

func (c *failureRecord) confirmed() bool { return c != nil && len(c.upstreams) >= minUnreachable }

func newReachability() *reachability { return &reachability{failures: map[string]*failureRecord{}} }

// recordFailure records that a connection to an upstream failed.
func (r *reachability) recordFailure(now time.Time, m wire.Member) {
	c := r.failures[m.DataCenter]
	if c == nil {
		c = &failureRecord{upstreams: map[wire.MemberID]bool{}}
		r.failures[m.DataCenter] = c
	}
	before := c.confirmed()
	c.upstreams[m.ID], c.lastFailure = true, now
	if c.confirmed() && !before {
		c.nextProbe = now.Add(reachProbeInterval)
	}
}

// recordAnswer records that an upstream of the data centre answered.
func (r *reachability) recordAnswer(dataCenter string) { delete(r.failures, dataCenter) }

// unreachable reports whether the data centre counts as unreachable.
func (r *reachability) unreachable(dataCenter string) bool { return r.failures[dataCenter].confirmed() }

// blocked reports whether a data centre is unreachable and no probe is due.
func (r *reachability) blocked(now time.Time, dataCenter string) bool {
	c := r.failures[dataCenter]
	return c.confirmed() && now.Before(c.nextProbe)
}

// recordCall records that a call is sent to the data centre, which counts as a probe.
func (r *reachability) recordCall(now time.Time, dataCenter string) {
	if c := r.failures[dataCenter]; c.confirmed() {
		c.nextProbe = now.Add(reachProbeInterval)
	}
}

// unreachableDataCenters returns the data centres that count as unreachable, sorted.
func (r *reachability) unreachableDataCenters() []string {
	var out []string
	for dc, c := range r.failures {
		if c.confirmed() {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// expireFailures forgets data centres whose last failure is older than failureTTL.
func (r *reachability) expireFailures(now time.Time) {
	for dc, c := range r.failures {
		if now.Sub(c.lastFailure) > failureTTL {
			r.recordAnswer(dc)
		}
	}
}

// reset forgets all failures.
func (r *reachability) reset() { clear(r.failures) }

// markStranded marks the pieces that may only run in unreachable data centres. If these were skipped,
// the pieces would wait until their jobs' deadlines; they are sent there and fail by their own attempts.
func (q *serviceQueue) markStranded() {
	q.strandedDataCenters = nil
	unreachable := q.reachability.unreachableDataCenters()
	if len(unreachable) == 0 {
		return
	}
	var reachable []string
	for _, w := range q.list {
		if !w.unreachable() && !w.leaving && !slices.Contains(reachable, w.member.DataCenter) {
			reachable = append(reachable, w.member.DataCenter)
		}
	}
	for _, p := range q.waiting {
		p.stranded = !slices.ContainsFunc(reachable, p.job.Within.Contains)
		if p.stranded {
			q.strandedDataCenters = unreachable
		}
	}
}

// skips reports whether an upstream gets no call because its data centre is unreachable, unless there
// are stranded pieces for it.
func (q *serviceQueue) skips(w *worker, now time.Time) bool {
	return q.reachability.blocked(now, w.member.DataCenter) && !slices.Contains(q.strandedDataCenters, w.member.DataCenter)
}

// logReachability logs the data centres that became unreachable or reachable since the last call.
func (s *Service) logReachability() {
	unreachable := s.scheduler.reachability.unreachableDataCenters()
	for _, dc := range unreachable {
		if !slices.Contains(s.loggedUnreachable, dc) {
			s.log.Info("data centre unreachable", "data_center", dc, "jobs", len(s.scheduler.jobs))
		}
	}
	for _, dc := range s.loggedUnreachable {
		if !slices.Contains(unreachable, dc) {
			s.log.Info("data centre reachable again", "data_center", dc, "jobs", len(s.scheduler.jobs))
		}
	}
	s.loggedUnreachable = unreachable
}
