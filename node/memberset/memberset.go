// Package memberset holds the members of a cluster as an immutable set: one that differs in a few members
// shares the rest, so that a change costs the same in a small cluster and in a large one.
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

// Of returns the set of the members; of two with one ID it is the last.
func Of(members ...wire.Member) Set {
	b := immutable.NewMapBuilder[wire.MemberID, wire.Member](nil)
	for _, m := range members {
		b.Set(m.ID, m)
	}
	return Set{b.Map()}
}

// Get returns a member.
func (s Set) Get(id wire.MemberID) (wire.Member, bool) {
	if s.byID == nil {
		return wire.Member{}, false
	}
	return s.byID.Get(id)
}

// Len returns how many members there are.
func (s Set) Len() int {
	if s.byID == nil {
		return 0
	}
	return s.byID.Len()
}

// All iterates over the members in no order.
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

// With returns the set with the member in place of the one with its ID.
func (s Set) With(m wire.Member) Set {
	if s.byID == nil {
		return Of(m)
	}
	return Set{s.byID.Set(m.ID, m)}
}

// Without returns the set without a member.
func (s Set) Without(id wire.MemberID) Set {
	if s.byID == nil {
		return s
	}
	return Set{s.byID.Delete(id)}
}
