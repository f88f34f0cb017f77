package stagework

import (
	"cmp"
	"time"

	"caperdrum.org/api/optext"
)

// compare orders pieces: first those of jobs that can still reach their goal, by the latest
// time at which they must start for that, and first attempts before retries of callers, which
// have waited already; then the others by their deadline.
func (p *piece) compare(o *piece, now time.Time, spec *optext.Service) int {
	a, aLate := p.latestStart(now, spec)
	b, bLate := o.latestStart(now, spec)
	if t := cmp.Compare(p.tier(aLate), o.tier(bLate)); t != 0 {
		return t
	}
	return cmp.Or(a.Compare(b), cmp.Compare(p.job.serial, o.job.serial), cmp.Compare(p.stage, o.stage), cmp.Compare(p.number, o.number))
}

// Tiers of pieces in the queue; the least goes first.
const (
	tierFirst = iota // in time, first attempt of the caller
	tierRetry        // in time, a retry of the caller
	tierLate
)

func (p *piece) tier(late bool) int {
	switch {
	case late:
		return tierLate
	case p.job.retry:
		return tierRetry
	}
	return tierFirst
}

func (p *piece) latestStart(now time.Time, spec *optext.Service) (at time.Time, late bool) {
	rest := spec.CallTime + spec.PieceTime + p.job.minRemaining[p.stage]
	if at = p.job.goal.Add(-rest); !p.job.late && !at.Before(now) {
		return at, false
	}
	return p.job.deadline, true
}
