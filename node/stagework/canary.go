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

// followRollouts applies the rollouts of a view.
func (s *scheduler) followRollouts(r wire.Rollouts) {
	s.split.Update(r)
	for name, q := range s.services {
		if x := r.Of(name); x.Revision != q.rollout.Revision {
			q.rollout = x
			q.markCanaries()
		}
	}
}

// markCanaries marks the upstreams with the target version of the service's rollout.
func (q *serviceQueue) markCanaries() {
	x := q.rollout
	for _, w := range q.list {
		w.canary = x.Running() && w.member.Version == x.Target && len(x.Replaced) > 0
	}
}

// chooseTrack returns the free upstreams that the service's next call may use. If it is the target
// version's turn, those of the target version come first.
func (q *serviceQueue) chooseTrack(free []*worker) []*worker {
	stable := q.split.StableTrack(q.name)
	if stable.Unrestricted() {
		return free
	}
	var trials, others []*worker
	for _, w := range free {
		if w.canary {
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

// countRolloutCall counts the outcome of a call during a rollout. As calls take longer with each
// piece, durations are compared relative to the expected ones.
func (s *scheduler) countRolloutCall(now time.Time, c *call, o outcome) {
	how := rollout.Answered
	switch {
	case o.full, o.misdirected, o.leaving && o.results == nil, !s.unaffectedByStall(c):
		return
	case o.results == nil, slices.ContainsFunc(o.results, func(r upstream.PieceResult) bool { return r.Failure == upstream.Failed }):
		how = rollout.Failed
	}
	took := time.Duration(float64(time.Second) * float64(now.Sub(c.started)) / float64(max(c.expected, time.Millisecond)))
	s.counter.Add(c.worker.member, routePieces, how, took)
}

// routePieces stands for the route in the counts of calls with pieces.
const routePieces = "pieces"
