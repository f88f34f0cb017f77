package state

import (
	"slices"
	"strings"

	"caperdrum.org/api/wire"
)

// applyEvacuation executes an order that was based on the data centre's current revision, or that requests
// the state already in force. Either way the revision increases, which invalidates orders still in transit: a
// delayed start must not undo an end that was acknowledged.
func (m *Machine) applyEvacuation(o *wire.EvacuationOrder) wire.EvacuationResult {
	current := m.s.Evacuations.Of(o.DataCenter)
	if current.Evacuated != o.Evacuate && current.Revision != o.Base {
		return wire.EvacuationResult{Evacuation: current, Overtaken: true}
	}
	next := current
	next.Revision++
	if current.Evacuated != o.Evacuate {
		next.Evacuated, next.Since = o.Evacuate, m.s.Now
	}
	m.setEvacuation(next)
	return wire.EvacuationResult{Evacuation: next, Changed: current.Evacuated != o.Evacuate}
}

// setEvacuation builds a new list, because views share the old one.
func (m *Machine) setEvacuation(e wire.Evacuation) {
	list := slices.DeleteFunc(slices.Clone(m.s.Evacuations.List), func(x wire.Evacuation) bool { return x.DataCenter == e.DataCenter })
	list = append(list, e)
	slices.SortFunc(list, func(a, b wire.Evacuation) int { return strings.Compare(a.DataCenter, b.DataCenter) })
	m.s.Evacuations = wire.Evacuations{Revision: m.s.Evacuations.Revision + 1, List: list}
}
