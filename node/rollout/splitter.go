// Package rollout moves a service's calls to upstreams of another version, step by step.
//
// Each process, and the owner of the stage queues, sends a share of its own calls to the target
// version (Split) and counts the answers of all versions (Counter). The leader adds the counts up,
// compares the versions at the same time (Judge) and decides (Plan).
package rollout

import (
	"math"
	"math/rand/v2"

	"caperdrum.org/api/wire"
)

// mostCredit bounds the calls that a process may send to the target in a row after it could
// send none there.
const maxCredit = 2

// Split shares out the calls of one process. It is not safe for concurrent use.
//
// A call of the service earns Share of a call at the target. The first credit is drawn between
// zero and one, so that the calls at the target add up to the share also over many processes of
// which each has a few calls.
type Split struct {
	rand     *rand.Rand
	rollouts wire.Rollouts
	credits  map[string]*credit // by service
}

// credit is what the calls of a service have earned in a roll-out.
type credit struct {
	order uint64 // of the roll-out
	calls float64
}

// NewSplit returns a Split that draws its first credits from r.
func NewSplit(r *rand.Rand) *Split {
	return &Split{rand: r, credits: map[string]*credit{}}
}

// Follow takes over the roll-outs of a view.
func (s *Split) Follow(r wire.Rollouts) { s.rollouts = r }

// Track are the upstreams of a service among which a call may choose.
type Track struct {
	rollout wire.Rollout
	target  bool
}

// Next returns the track of the service's next call. hasTarget says whether an upstream of the
// target version could take it.
func (s *Split) Next(service string, hasTarget bool) Track {
	r := s.rollouts.Of(service)
	if !r.Running() {
		return Track{}
	}
	return Track{rollout: r, target: hasTarget && s.creditOf(r).calls >= 1}
}

// Stable returns the track of the versions that serve already.
func (s *Split) Stable(service string) Track {
	if r := s.rollouts.Of(service); r.Running() {
		return Track{rollout: r}
	}
	return Track{}
}

// Sent notes that a call of the service goes to an upstream of the version.
func (s *Split) Sent(service, version string) {
	r := s.rollouts.Of(service)
	if !r.Running() {
		return
	}
	c := s.creditOf(r)
	c.calls = min(c.calls+r.Share, maxCredit)
	if version == r.Target {
		c.calls--
	}
}

func (s *Split) creditOf(r wire.Rollout) *credit {
	c := s.credits[r.Service]
	if c == nil || c.order != r.Order {
		c = &credit{order: r.Order, calls: s.rand.Float64()}
		s.credits[r.Service] = c
	}
	return c
}

// Whole reports whether the track admits all upstreams.
func (t Track) Whole() bool { return !t.rollout.Running() || len(t.rollout.Replaced) == 0 }

// Target reports whether the track is that of the target version.
func (t Track) Target() bool { return t.target }

// Admits reports whether a call on the track may go to an upstream of the version.
func (t Track) Admits(version string) bool {
	return t.Whole() || (version == t.rollout.Target) == t.target
}

// Choose returns the upstreams of the list, which is sorted by ID, that the track admits. Of those of
// the target it returns as many as bear the load that the others bear: a version that fails under
// load only must show it while few calls go there.
func (t Track) Choose(list []wire.Member) []wire.Member {
	if t.Whole() {
		return list
	}
	var out []wire.Member
	others := 0
	for _, m := range list {
		if t.Admits(m.Version) {
			out = append(out, m)
		} else {
			others++
		}
	}
	if t.target {
		out = out[:min(len(out), targetUpstreams(t.rollout.Share, others))]
	}
	return out
}

// loaded is how many upstreams bear share of all calls when others bear the rest.
func targetUpstreams(share float64, others int) int {
	if share >= 1 {
		return math.MaxInt
	}
	return max(1, int(math.Round(share/(1-share)*float64(others))))
}

// HasTarget reports whether an upstream in the list is of the version to which the service is
// being rolled out.
func (s *Split) HasTarget(service string, list []wire.Member) bool {
	r := s.rollouts.Of(service)
	if !r.Running() {
		return false
	}
	for _, m := range list {
		if m.Version == r.Target {
			return true
		}
	}
	return false
}
