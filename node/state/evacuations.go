package state

import (
	"slices"
	"strings"

	"caperdrum.org/api/wire"
)

// evacuate carries out an order that was made for the data centre's present revision, or that
// asks for what is in force already. Each of these makes earlier orders void that are still on
// their way: a start that was delayed must not undo an end that was acknowledged.
func (m *Machine) evacuate(o *wire.EvacuationOrder) wire.EvacuationResult {
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

// setEvacuation replaces the list, which views share.
func (m *Machine) setEvacuation(e wire.Evacuation) {
	list := slices.DeleteFunc(slices.Clone(m.s.Evacuations.List), func(x wire.Evacuation) bool { return x.DataCenter == e.DataCenter })
	list = append(list, e)
	slices.SortFunc(list, func(a, b wire.Evacuation) int { return strings.Compare(a.DataCenter, b.DataCenter) })
	m.s.Evacuations = wire.Evacuations{Revision: m.s.Evacuations.Revision + 1, List: list}
}
