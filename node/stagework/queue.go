package stagework

import (
	"slices"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/upstream"
)

const (
	// slowProbeInterval is how long a slow upstream goes without work before it gets one
	// piece, to find out whether it has recovered.
	slowProbeInterval = 2 * time.Second
	// largeTransferBytes is the amount of data that a stage of one call has to move between data
	// centres from which on its pieces wait for an upstream near the data.
	largeTransferBytes = 100_000
	// localityMargin is how long before its latest start a piece stops waiting for an upstream
	// near its data.
	localityMargin = 60 * time.Millisecond
)

// serviceQueue holds the waiting pieces and the workers of one service.
type serviceQueue struct {
	spec         *optext.Service
	waiting      []*piece
	fitChecks    int       // pieces checked by fitting, in total
	sortedAt     time.Time // the time for which waiting is sorted; zero: unsorted
	workers      map[wire.MemberID]*worker
	list         []*worker     // workers by ID, for iteration
	members      []wire.Member // from which workers was built
	workersKnown bool          // whether members was set
	backlog      serviceBacklog
	startedLate  int // pieces not done yet of late jobs that have started
	passes       passes
	taken        pieceCounts // in calls so far

	name                string
	split               *rollout.Splitter // of this owner's calls between versions
	reachability        *reachability     // of data centres; shared by all services
	permits             *permits          // for upstreams that limit their requests; shared by all services
	strandedDataCenters []string          // unreachable data centres that stranded pieces may try
	rollout             wire.Rollout      // the service's last one

	meter       throughputMeter // of the throughput reached while pieces wait
	scheduler   *scheduler
	efficiency  float64 // share of the nominal throughput by how full calls are, as a moving average
	hedgeBudget hedgeBudget
}

// piece is a unit of work of a stage, which an upstream processes in a batch call.
type piece struct {
	job                 *job
	stage               int
	number              int
	attempts            int
	epoch               int // restarts of the job when the piece was queued
	queued              time.Time
	preferredDataCenter string // where its inputs are or its result is fetched; empty when they are small

	predictedWait time.Duration // predicted time until a worker there starts it
	stranded      bool          // may run in unreachable data centres only
	noLocalWorker bool          // the preferred data centre has no healthy worker

	pieceCalls
}

// call is a batch call of an upstream, to be made or in progress.
type call struct {
	service       string
	worker        *worker
	pieces        []*piece
	request       []upstream.Piece
	started       time.Time
	expected      time.Duration
	timeout       time.Duration
	bytes         int64
	longestWait   time.Duration // of its pieces, in the queue
	leftWaiting   int           // pieces still in the queue after it was filled
	inputsFetched bool          // the upstream has fetched the inputs
	ended         bool
	hedgeState
}

// nextCall takes the pieces of the next call out of the queue, or returns nil when no
// upstream can take one.
func (q *serviceQueue) nextCall(now time.Time) *call {
	q.markStranded()
	free := q.chooseTrack(q.availableWorkers(now))
	if len(free) == 0 {
		return nil
	}
	q.sort(now)
	fewIdle := q.fewIdle(len(free))
	if fewIdle && q.canHold(now) {
		return nil
	}
	q.predictWaits(now)
	fits := map[string][]*piece{} // by data centre: which pieces fit depends on nothing else of the upstream
	for _, w := range free {
		fit, known := fits[w.member.DataCenter]
		if !known {
			fit = q.fitting(w, now)
			fits[w.member.DataCenter] = fit
		}
		limit := q.maxPieces(w, len(fit), now)
		if limit == 0 {
			continue
		}
		// Spread the waiting pieces over the idle upstreams, as each piece makes a call longer.
		target := (len(fit) + len(free) - 1) / len(free)
		if fewIdle && q.canAllWait(fit, now) {
			target = q.spec.Batch
		}
		if n := q.splitSize(groupOf(fit), len(free), now); n > 0 {
			fit, target = fit[:n], n
		}
		if c := q.fillCall(w, fit, limit, target, now); c != nil {
			return c
		}
	}
	return nil
}

// enqueue adds a piece to the queue.
func (q *serviceQueue) enqueue(p *piece) {
	q.waiting = append(q.waiting, p)
	q.sortedAt = time.Time{}
}

// splitSize is the number of pieces for each call when a group is to be split, or zero to keep
// it together. A group is split only if it would miss its goal as one call, meets it in calls
// of that size, enough upstreams are idle for all of them and no other pieces wait: more calls
// pay the fixed time of a call more often.
func (q *serviceQueue) splitSize(group []*piece, idle int, now time.Time) int {
	j, stage := group[0].job, group[0].stage
	left := j.goal.Sub(now) - q.spec.CallTime - j.minRemaining[stage]
	if j.late || q.spec.PieceTime <= 0 || left >= time.Duration(len(group))*q.spec.PieceTime {
		return 0
	}
	n := int(left / q.spec.PieceTime)
	if n < 1 || n*idle < len(group) || len(q.waiting) > len(group) {
		return 0
	}
	return n
}

// maxPieces is the largest number of pieces that a call of the upstream may get, of those that
// fit. A slow upstream gets none while the others can take all, except for one piece from time
// to time that probes whether it has recovered.
func (q *serviceQueue) maxPieces(w *worker, fit int, now time.Time) int {
	switch healthy := q.healthyWorkers(); {
	case fit == 0:
		return 0
	case w.unreachable():
		return 1 // probes whether the data centre is reachable again
	case !w.slow(), healthy == 0, fit > healthy*q.spec.Batch:
		return q.spec.Batch
	case now.Sub(w.lastCallAt) > slowProbeInterval:
		return 1
	}
	return 0
}

// predictWaits sets how long each piece would wait for an upstream in its preferred data
// centre, behind the pieces ahead of it. The queue must be sorted.
func (q *serviceQueue) predictWaits(now time.Time) {
	free := map[string][]time.Duration{} // by data centre: when its upstreams become free
	for _, w := range q.list {
		if w.healthy() {
			dc := w.member.DataCenter
			free[dc] = append(free[dc], max(0, w.freeAt.Sub(now)))
		}
	}
	for _, list := range free {
		slices.Sort(list)
	}
	before := map[string]int{}
	for _, p := range q.waiting {
		list := free[p.preferredDataCenter]
		if p.noLocalWorker = len(list) == 0; p.noLocalWorker {
			continue
		}
		calls := before[p.preferredDataCenter] / q.spec.Batch
		p.predictedWait = list[calls%len(list)] + time.Duration(calls/len(list))*fullCall(q.spec)
		before[p.preferredDataCenter]++
	}
}

// fitting returns the waiting pieces that the upstream may take. A piece with large inputs or
// a large result waits for an upstream in their data centre, if there is one and as long as the
// piece can wait without missing its goal.
func (q *serviceQueue) fitting(w *worker, now time.Time) []*piece {
	q.fitChecks += len(q.waiting)
	out := make([]*piece, 0, len(q.waiting))
	closed := q.reachability.blocked(now, w.member.DataCenter)
	for _, p := range q.waiting {
		if closed && !p.stranded || !p.job.Within.Contains(w.member.DataCenter) {
			continue
		}
		if p.preferredDataCenter == "" || p.preferredDataCenter == w.member.DataCenter || p.noLocalWorker || p.predictedWait > fullCall(q.spec) || p.urgent(now, q.spec) {
			out = append(out, p)
		}
	}
	return out
}

// urgent reports whether the piece would miss its goal by waiting for its preferred data centre.
func (p *piece) urgent(now time.Time, spec *optext.Service) bool {
	at, late := p.latestStart(now, spec)
	return !late && at.Sub(now) < p.predictedWait+localityMargin
}

// fillCall builds a call of the upstream from the fitting pieces, in order, as far as there is
// room for their results: target pieces, plus the rest of the last group, but limit at most. It
// returns nil when there is room for none.
func (q *serviceQueue) fillCall(w *worker, fit []*piece, limit, target int, now time.Time) *call {
	c := &call{worker: w, started: now, expected: q.spec.CallTime}
	room := q.freeRoomAt(w)
	taken := map[*piece]bool{}
	for len(fit) > 0 && len(c.pieces) < target {
		// Keep the pieces of a stage together: results that wait for the stage's other pieces
		// only occupy room.
		group := groupOf(fit)
		bytes := int64(len(group)) * group[0].job.Stages[group[0].stage].ResultBytes
		fits := len(c.pieces)+len(group) <= min(limit, q.spec.Batch) && bytes <= room && !q.delaysOthers(c, group, now)
		fit = fit[len(group):]
		if len(c.pieces) > 0 && !fits {
			continue
		}
		if !fits { // the group exceeds any batch, or the remaining room
			n := min(len(group), q.spec.Batch, int(room/max(1, group[0].bytes())))
			if n == 0 && w.ownBytes+w.foreignBytes > 0 {
				continue
			}
			group = group[:max(1, n)]
			bytes = int64(len(group)) * group[0].bytes()
		}
		room -= bytes
		c.bytes += bytes
		c.expected += time.Duration(len(group)) * q.spec.PieceTime
		for _, p := range group {
			taken[p] = true
			p.beginCall()
			p.job.recordStart(p.stage, now, q)
			c.longestWait = max(c.longestWait, now.Sub(p.queued))
			c.pieces = append(c.pieces, p)
			c.request = append(c.request, p.request(now))
		}
	}
	if len(c.pieces) == 0 {
		return nil
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(p *piece) bool { return taken[p] })
	c.leftWaiting = len(q.waiting)
	q.recordPasses(c)
	q.updateEfficiency(c)
	q.beginCall(c, now)
	return c
}

// delaysOthers reports whether a late group would make pieces in time late that are in the call already: they must
// reach their goal even if each of their later stages takes a full call.
func (q *serviceQueue) delaysOthers(c *call, group []*piece, now time.Time) bool {
	if _, late := group[0].latestStart(now, q.spec); !late {
		return false
	}
	end := now.Add(c.expected + time.Duration(len(group))*q.spec.PieceTime)
	return slices.ContainsFunc(c.pieces, func(p *piece) bool {
		_, late := p.latestStart(now, q.spec)
		return !late && end.After(p.job.goal.Add(-p.job.fullRemaining[p.stage]))
	})
}

// beginCall records that a call starts at its upstream.
func (q *serviceQueue) beginCall(c *call, now time.Time) {
	w := c.worker
	w.runningCalls++
	w.lastCall = c
	q.split.RecordSent(q.name, w.member.Version)
	w.addOwn(c.bytes)
	w.lastCallAt = now
	q.permits.take(now, w.member)
	w.freeAt = now.Add(max(time.Duration(float64(c.expected)*max(1, w.slowdown)), q.permits.wait(now, w.member)))
	c.timeout = callLimit(c.expected, w.slowdown)
}

// groupOf returns the leading pieces that belong to the same stage of the same job.
func groupOf(pieces []*piece) []*piece {
	first := pieces[0]
	n := 1
	for n < len(pieces) && pieces[n].job == first.job && pieces[n].stage == first.stage {
		n++
	}
	return pieces[:n]
}

func (p *piece) bytes() int64 { return p.job.Stages[p.stage].ResultBytes }

// callLimit is the timeout of a call: three times its expected duration at the upstream's
// pace, plus half a second for the network.
func callLimit(expect time.Duration, ratio float64) time.Duration {
	return time.Duration(3*float64(expect)*max(1, ratio)) + 500*time.Millisecond
}

func (p *piece) request(now time.Time) upstream.Piece {
	r := upstream.Piece{ID: p.job.ID, Stage: p.stage, Number: p.number, Remaining: p.job.deadline.Sub(now)}
	if len(p.job.Stages[p.stage].DependsOn) == 0 {
		r.Key = p.job.Key
	} else {
		r.Inputs = p.job.inputs(p.stage)
	}
	return r
}
