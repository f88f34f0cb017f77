package state

import (
	"slices"
	"strings"

	"caperdrum.org/api/wire"
)

// applyRollouts executes the parts of a command that concern rollouts.
func (m *Machine) applyRollouts(c *Command, r *Result) {
	if c.StartRollout != nil {
		res := m.startRollout(c.StartRollout)
		r.Rollout = &res
	}
	if c.StepRollout != nil {
		res := m.stepRollout(c.StepRollout)
		r.Rollout = &res
	}
}

// startRollout starts a rollout. An order equal to a running rollout, or to one that started within its span,
// is treated as a resend, since the first answer may have been lost.
func (m *Machine) startRollout(o *wire.RolloutOrder) wire.RolloutResult {
	current := m.s.Rollouts.Of(o.Service)
	switch {
	case current.Order > 0 && current.Target == o.Target && current.Span == o.Span && (current.Running() || m.s.Now-current.Started <= current.Span.Milliseconds()):
		return wire.RolloutResult{Rollout: current}
	case current.Running():
		return wire.RolloutResult{Rollout: current, Refusal: wire.RolloutBusy}
	case current.Revision != o.Base:
		return wire.RolloutResult{Rollout: current, Refusal: wire.RolloutOvertaken}
	}
	revision := current.Revision + 1
	next := wire.Rollout{Service: o.Service, Target: o.Target, Span: o.Span, State: wire.RolloutRunning, Revision: revision, Order: revision,
		Started: m.s.Now, Author: o.Author, Replaced: m.otherVersions(o.Service, o.Target, nil)}
	if len(next.Replaced) == 0 && m.serves(o.Service, o.Target) {
		next.State, next.Ended, next.Reason = wire.RolloutCompleted, m.s.Now, "no other version serves"
	}
	m.setRollout(next)
	return wire.RolloutResult{Rollout: next, Changed: true}
}

// stepRollout applies a decision that was based on the rollout's current revision.
func (m *Machine) stepRollout(s *wire.RolloutStep) wire.RolloutResult {
	current := m.s.Rollouts.Of(s.Service)
	if !current.Running() || current.Revision != s.Base {
		return wire.RolloutResult{Rollout: current, Refusal: wire.RolloutOvertaken}
	}
	next := current
	next.Revision++
	next.State, next.Share, next.Reason = s.State, s.Share, s.Reason
	if !next.Running() {
		next.Ended = m.s.Now
	}
	if next.State == wire.RolloutCompleted {
		next.Replaced = m.otherVersions(s.Service, next.Target, next.Replaced)
	}
	m.setRollout(next)
	return wire.RolloutResult{Rollout: next, Changed: true}
}

// otherVersions returns known plus the versions of the service's upstreams other than target, sorted.
func (m *Machine) otherVersions(service, target string, known []string) []string {
	out := slices.Clone(known)
	for _, x := range m.s.Members {
		if x.Role == wire.AnnouncedRole && x.Service == service && x.Version != target && !slices.Contains(out, x.Version) {
			out = append(out, x.Version)
		}
	}
	slices.Sort(out)
	return out
}

func (m *Machine) serves(service, version string) bool {
	for _, x := range m.s.Members {
		if x.Role == wire.AnnouncedRole && x.Service == service && x.Version == version && !x.Leaving {
			return true
		}
	}
	return false
}

// setRollout builds a new list, because views share the old one.
func (m *Machine) setRollout(r wire.Rollout) {
	list := slices.DeleteFunc(slices.Clone(m.s.Rollouts.List), func(x wire.Rollout) bool { return x.Service == r.Service })
	list = append(list, r)
	slices.SortFunc(list, func(a, b wire.Rollout) int { return strings.Compare(a.Service, b.Service) })
	m.s.Rollouts = wire.Rollouts{Revision: m.s.Rollouts.Revision + 1, List: list}
}
