package stagework

import (
	"time"

	"caperdrum.org/node/residency"
)

// farTokens is how many tokens to be read a megabyte of results counts that has to come from another region.
// Links between regions are long, narrow, and shared by everybody.
const farTokens = 20 * movedTokens

// regions tell which data centres are far from each other. The zero value knows none: all are near.
type regions struct{ of residency.Regions }

// far reports whether two data centres are known to be in different regions.
func (r regions) far(a, b string) bool {
	x, y := r.of[a], r.of[b]
	return x != y && x != "" && y != ""
}

// several reports whether there is more than one region.
func (r regions) several() bool {
	first := ""
	for _, region := range r.of {
		if first == "" {
			first = region
		} else if region != first {
			return true
		}
	}
	return false
}

// moved is what it costs, in tokens to be read, to bring results from where they lie.
func (r regions) moved(bytes map[string]int64, to string) int64 {
	var near, far int64
	for dataCenter, n := range bytes {
		switch {
		case dataCenter == to:
		case r.far(dataCenter, to):
			far += n
		default:
			near += n
		}
	}
	return (near*movedTokens + far*farTokens) / 1_000_000
}

// foreseeRegion notes for each piece whether the upstreams of its job's region will begin it soon enough: the
// queue is in order, and each call of them takes a batch.
func (q *serviceQueue) foreseeRegion(now time.Time) {
	free := map[string]int{} // healthy upstreams, by region
	soonest := map[string]time.Duration{}
	for _, w := range q.list {
		if !w.healthy() {
			continue
		}
		region := q.regions.of[w.member.DataCenter]
		wait := max(0, w.freeAt.Sub(now))
		if n := free[region]; n == 0 || wait < soonest[region] {
			soonest[region] = wait
		}
		free[region]++
	}
	before := map[string]int{}
	for _, p := range q.waiting {
		region := q.regions.of[p.job.DataCenter]
		n := free[region]
		if n == 0 {
			p.anywhere = true
			continue
		}
		rounds := before[region] / (n * q.spec.Batch)
		wait := soonest[region] + time.Duration(rounds)*fullCall(q.spec)
		before[region]++
		at, late := p.startBy(now, q.spec)
		p.anywhere = wait > fullCall(q.spec) || !late && at.Sub(now) < wait+homeMargin
	}
}

// mayMake reports whether the upstream is near enough to make the piece.
func (q *serviceQueue) mayMake(w *worker, p *piece) bool {
	return !q.apartRegions || p.anywhere || !q.regions.far(p.job.DataCenter, w.member.DataCenter)
}
