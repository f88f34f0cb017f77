// Package rollout shifts a service's calls step by step to upstreams of a new version, the target.
//
// Each process, and the stage owner, sends a share of its own calls to the target
// (Splitter) and counts the answers of all versions (Counter). The leader adds up the counts, compares
// the target with the other versions, the baseline, over the same period (Analyzer) and decides on the
// next step (NextStep).
package rollout

import (
	"math"
	"math/rand/v2"

	"caperdrum.org/api/wire"
)

// maxCredit bounds the calls that a process may send to the target in a row after a time in which no upstream
// of the target was available.
const maxCredit = 2

// Splitter divides the calls of one process between the versions. It is not safe for concurrent use.
//
// Each call of a service adds the rollout's share to the service's credit; a call to the target
// costs 1. The initial credit is random between 0 and 1, so that the share also holds over many
// processes with a few calls each.
type Splitter struct {
	rand     *rand.Rand
	rollouts wire.Rollouts
	credits  map[string]*credit // by service
}

// credit is the calls that a service may send to the target, in fractions of a call.
type credit struct {
	order uint64 // of the rollout, to reset the credit for a new one
	calls float64
}

// NewSplitter returns a Splitter that draws initial credits from r.
func NewSplitter(r *rand.Rand) *Splitter {
	return &Splitter{rand: r, credits: map[string]*credit{}}
}

// Update takes the rollouts of a view.
func (s *Splitter) Update(r wire.Rollouts) { s.rollouts = r }

// Track is the set of upstreams of a service to which a call may go.
type Track struct {
	rollout wire.Rollout
	target  bool
}

// NextTrack returns the track of the service's next call. hasTarget says whether an upstream of the target version
// is available.
func (s *Splitter) NextTrack(service string, hasTarget bool) Track {
	r := s.rollouts.Of(service)
	if !r.Running() {
		return Track{}
	}
	return Track{rollout: r, target: hasTarget && s.creditOf(r).calls >= 1}
}

// StableTrack returns the track of all versions except the target.
func (s *Splitter) StableTrack(service string) Track {
	if r := s.rollouts.Of(service); r.Running() {
		return Track{rollout: r}
	}
	return Track{}
}

// RecordSent updates the service's credit for a call that is sent to an upstream of the version.
func (s *Splitter) RecordSent(service, version string) {
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

func (s *Splitter) creditOf(r wire.Rollout) *credit {
	c := s.credits[r.Service]
	if c == nil || c.order != r.Order {
		c = &credit{order: r.Order, calls: s.rand.Float64()}
		s.credits[r.Service] = c
	}
	return c
}

// Unrestricted reports whether the track allows all upstreams.
func (t Track) Unrestricted() bool { return !t.rollout.Running() || len(t.rollout.Replaced) == 0 }

// Target reports whether this is the track of the target version.
func (t Track) Target() bool { return t.target }

// Allows reports whether the track allows upstreams of the version.
func (t Track) Allows(version string) bool {
	return t.Unrestricted() || (version == t.rollout.Target) == t.target
}

// Filter returns the upstreams that the track allows. The list must be sorted by ID. On the track of the
// target, it returns only as many upstreams as give each the same load as the others have: a version that
// fails under load must do so while it gets few calls.
func (t Track) Filter(list []wire.Member) []wire.Member {
	if t.Unrestricted() {
		return list
	}
	var out []wire.Member
	others := 0
	for _, m := range list {
		if t.Allows(m.Version) {
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

// targetUpstreams returns how many upstreams of the target carry the given share of all calls at the same
// load as the others, which carry the rest.
func targetUpstreams(share float64, others int) int {
	if share >= 1 {
		return math.MaxInt
	}
	return max(1, int(math.Round(share/(1-share)*float64(others))))
}

// HasTarget reports whether the list contains an upstream of the version to which the service is being rolled
// out.
func (s *Splitter) HasTarget(service string, list []wire.Member) bool {
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
