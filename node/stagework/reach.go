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
	centers map[string]*center                 // by name; those at which a call could not be sent since the last answer
	mark    func(dataCenter string, dark bool) // called when one goes dark, or is back
}

// center is a data centre of which nothing was heard lately.
type center struct {
	unreached map[wire.MemberID]bool
	failed    time.Time // the last time
	next      time.Time // when a call may look whether it is back
}

func (c *center) dark() bool { return c != nil && len(c.unreached) >= darkUpstreams }

func newReach(mark func(dataCenter string, dark bool)) *reach {
	return &reach{centers: map[string]*center{}, mark: mark}
}

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
		r.mark(m.DataCenter, true)
	}
}

// answered notes that an upstream of the data centre answered.
func (r *reach) answered(dataCenter string) {
	c := r.centers[dataCenter]
	delete(r.centers, dataCenter)
	if c.dark() {
		r.mark(dataCenter, false)
	}
}

// dark reports whether the data centre counts as dark.
func (r *reach) dark(dataCenter string) bool { return r.centers[dataCenter].dark() }

// mayTry reports whether a call may go to the data centre: one that is dark gets one from time to time.
func (r *reach) mayTry(now time.Time, dataCenter string) bool {
	c := r.centers[dataCenter]
	return !c.dark() || !now.Before(c.next)
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
func (r *reach) forget() {
	for dc := range r.centers {
		r.answered(dc)
	}
}

// markDark notes at the upstreams of stages that their data centre has gone dark, or is back.
func (s *scheduler) markDark(dataCenter string, dark bool) {
	s.due = true
	for _, q := range s.services {
		for _, w := range q.list {
			if w.member.DataCenter == dataCenter {
				w.dark = dark
			}
		}
	}
	s.darkened = append(s.darkened, darkened{dataCenter, dark})
}

// darkened is a data centre that has gone dark, or is back.
type darkened struct {
	dataCenter string
	dark       bool
}

func (s *Service) logDark(list []darkened) {
	for _, d := range list {
		if d.dark {
			s.log.Info("data centre is dark", "data_center", d.dataCenter, "jobs", len(s.scheduler.jobs))
		} else {
			s.log.Info("data centre answers again", "data_center", d.dataCenter, "jobs", len(s.scheduler.jobs))
		}
	}
}

// takeDarkened returns the data centres that have gone dark, or are back, since the last call.
func (s *scheduler) takeDarkened() []darkened {
	out := s.darkened
	s.darkened = nil
	return out
}
