// Package memberset provides an immutable set of the members of a cluster. Sets that differ in a few members
// share the rest, so that the cost of a change does not depend on the size of the cluster.
package memberset

import (
	"iter"

	"github.com/benbjohnson/immutable"

	"caperdrum.org/api/wire"
)

// Set is an immutable set of members by ID. Its zero value is empty.
type Set struct {
	byID *immutable.Map[wire.MemberID, wire.Member]
}

// Of returns the set of the given members. If several have the same ID, the last one counts.
func Of(members ...wire.Member) Set {
	b := immutable.NewMapBuilder[wire.MemberID, wire.Member](nil)
	for _, m := range members {
		b.Set(m.ID, m)
	}
	return Set{b.Map()}
}

// Get returns the member with the given ID.
func (s Set) Get(id wire.MemberID) (wire.Member, bool) {
	if s.byID == nil {
		return wire.Member{}, false
	}
	return s.byID.Get(id)
}

// Len returns the number of members.
func (s Set) Len() int {
	if s.byID == nil {
		return 0
	}
	return s.byID.Len()
}

// All iterates over the members in unspecified order.
func (s Set) All() iter.Seq[wire.Member] {
	return func(yield func(wire.Member) bool) {
		if s.byID == nil {
			return
		}
		for it := s.byID.Iterator(); !it.Done(); {
			if _, m, ok := it.Next(); ok && !yield(m) {
				return
			}
		}
	}
}

// With returns the set with m added, or replaced if the set contains a member with its ID.
func (s Set) With(m wire.Member) Set {
	if s.byID == nil {
		return Of(m)
	}
	return Set{s.byID.Set(m.ID, m)}
}

// Without returns the set without the member with the given ID.
func (s Set) Without(id wire.MemberID) Set {
	if s.byID == nil {
		return s
	}
	return Set{s.byID.Delete(id)}
}
