package stagework

import (
	"math/rand/v2"
	"slices"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/upstream"
)

func newSplit() *rollout.Splitter {
	return rollout.NewSplitter(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// followRollouts takes over the roll-outs of a view.
func (s *scheduler) followRollouts(r wire.Rollouts) {
	s.split.Update(r)
	for name, q := range s.services {
		if x := r.Of(name); x.Revision != q.rollout.Revision {
			q.rollout = x
			q.markTrials()
		}
	}
}

// markTrials finds out which upstreams are of the version to which the service is being rolled out.
func (q *serviceQueue) markTrials() {
	x := q.rollout
	for _, w := range q.list {
		w.trial = x.Running() && w.member.Version == x.Target && len(x.Replaced) > 0
	}
}

// onTrack returns the upstreams, of those that are free, to which the service's next call may go: one
// of the target version first, where it is its turn.
func (q *serviceQueue) onTrack(free []*worker) []*worker {
	stable := q.split.StableTrack(q.name)
	if stable.Unrestricted() {
		return free
	}
	var trials, others []*worker
	for _, w := range free {
		if w.trial {
			trials = append(trials, w)
		} else {
			others = append(others, w)
		}
	}
	if q.split.NextTrack(q.name, len(trials) > 0).Target() {
		return append(trials, others...)
	}
	return others
}

// countTrial counts how a call ended, while the service is rolled out. Calls take longer with each
// piece: what is compared is how much longer than foreseen.
func (s *scheduler) countTrial(now time.Time, c *call, o outcome) {
	how := rollout.Answered
	switch {
	case o.full, o.moved, o.leaving && o.results == nil, !s.measured(c):
		return
	case o.results == nil, slices.ContainsFunc(o.results, func(r upstream.PieceResult) bool { return r.Failure == upstream.Failed }):
		how = rollout.Failed
	}
	took := time.Duration(float64(time.Second) * float64(now.Sub(c.began)) / float64(max(c.expect, time.Millisecond)))
	s.counter.Add(c.worker.member, routePieces, how, took)
}

// routePieces stands for the route of calls for pieces.
const routePieces = "pieces"
