package stagework

import (
	"slices"
	"time"

	"caperdrum.org/api/wire"
)

const (
	// darkUpstreams is how many upstreams of a data centre cannot be reached, with no answer of
	// any there in between, when it counts as dark.
	darkUpstreams = 3
	// darkPause is how long between two calls that look whether a dark data centre is back.
	darkPause = time.Second
	// unreachedFor is for how long a failure counts. Where work is so little that nothing looks
	// whether a data centre is back, it is not passed over for good.
	unreachedFor = 10 * time.Second
)

// reach tells which data centres are dark: without power, or cut off from the owner. The upstreams
// of one share their fate (a failure domain), so what a few calls found out holds for all of them;
// by itself each would cost every process that has a call for it the time of a connection.
type reach struct {
	centers map[string]*center // by name; those at which a call could not be sent since the last answer
}

// center is a data centre of which nothing was heard lately.
type center struct {
	unreached map[wire.MemberID]bool
	failed    time.Time // the last time
	next      time.Time // when a call may look whether it is back
}

func (c *center) dark() bool { return c != nil && len(c.unreached) >= darkUpstreams }

func newReach() *reach { return &reach{centers: map[string]*center{}} }

// failed notes that nothing answered a connection to an upstream.
func (r *reach) failed(now time.Time, m wire.Member) {
	c := r.centers[m.DataCenter]
	if c == nil {
		c = &center{unreached: map[wire.MemberID]bool{}}
		r.centers[m.DataCenter] = c
	}
	before := c.dark()
	c.unreached[m.ID], c.failed = true, now
	if c.dark() && !before {
		c.next = now.Add(darkPause)
	}
}

// answered notes that an upstream of the data centre answered.
func (r *reach) answered(dataCenter string) { delete(r.centers, dataCenter) }

// dark reports whether the data centre counts as dark.
func (r *reach) dark(dataCenter string) bool { return r.centers[dataCenter].dark() }

// closed reports whether a data centre is dark and no call looks now whether it is back.
func (r *reach) closed(now time.Time, dataCenter string) bool {
	c := r.centers[dataCenter]
	return c.dark() && now.Before(c.next)
}

// sent notes that a call goes to the data centre.
func (r *reach) sent(now time.Time, dataCenter string) {
	if c := r.centers[dataCenter]; c.dark() {
		c.next = now.Add(darkPause)
	}
}

// list returns the data centres that count as dark, in order.
func (r *reach) list() []string {
	var out []string
	for dc, c := range r.centers {
		if c.dark() {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// expire ends what is known of data centres from long ago.
func (r *reach) expire(now time.Time) {
	for dc, c := range r.centers {
		if now.Sub(c.failed) > unreachedFor {
			r.answered(dc)
		}
	}
}

// forget ends all that is known.
func (r *reach) forget() { clear(r.centers) }

// strand notes the pieces that may go to dark data centres only: passed over, they would wait until their jobs'
// deadlines. They go there as if nothing were known, and end by their own tries.
func (q *serviceQueue) strand() {
	q.stranded = nil
	dark := q.reach.list()
	if len(dark) == 0 {
		return
	}
	var lit []string
	for _, w := range q.list {
		if !w.dark() && !w.leaving && !slices.Contains(lit, w.member.DataCenter) {
			lit = append(lit, w.member.DataCenter)
		}
	}
	for _, p := range q.waiting {
		p.stranded = !slices.ContainsFunc(lit, p.job.Within.Contains)
		if p.stranded {
			q.stranded = dark
		}
	}
}

// passedOver reports whether an upstream gets no call since its data centre is dark, but for pieces that
// have nowhere else to go.
func (q *serviceQueue) passedOver(w *worker, now time.Time) bool {
	return q.reach.closed(now, w.member.DataCenter) && !slices.Contains(q.stranded, w.member.DataCenter)
}

// logDark logs which data centres have gone dark, or are back, since it was called last.
func (s *Service) logDark() {
	dark := s.scheduler.reach.list()
	for _, dc := range dark {
		if !slices.Contains(s.dark, dc) {
			s.log.Info("data centre is dark", "data_center", dc, "jobs", len(s.scheduler.jobs))
		}
	}
	for _, dc := range s.dark {
		if !slices.Contains(dark, dc) {
			s.log.Info("data centre answers again", "data_center", dc, "jobs", len(s.scheduler.jobs))
		}
	}
	s.dark = dark
}
