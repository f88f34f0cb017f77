package configsync

import (
	"cmp"
	"maps"
	"slices"

	"caperdrum.org/api/wire"
)

// lists are members by service, sorted by ID. Views share the lists: a change replaces a list.
type lists map[string][]wire.Member

func compareID(m wire.Member, id wire.MemberID) int { return cmp.Compare(m.ID, id) }

// change moves a member from one list to another and updates its record; an empty name stands for no list.
// Lists in owned were already copied for this change.
func (l lists) change(before, after string, m wire.Member, owned map[string]bool) {
	if before != "" && before != after {
		list := l.writable(before, owned)
		if i, found := slices.BinarySearchFunc(list, m.ID, compareID); found {
			l[before] = slices.Delete(list, i, i+1)
		}
		if len(l[before]) == 0 {
			delete(l, before)
		}
	}
	if after == "" {
		return
	}
	list := l.writable(after, owned)
	i, found := slices.BinarySearchFunc(list, m.ID, compareID)
	if found {
		list[i] = m
		return
	}
	l[after] = slices.Insert(list, i, m)
}

// writable returns a list that may be modified, which it copies if needed.
func (l lists) writable(name string, owned map[string]bool) []wire.Member {
	if !owned[name] {
		owned[name] = true
		list := l[name]
		l[name] = append(make([]wire.Member, 0, len(list)+1), list...)
	}
	return l[name]
}

// SameList reports whether two lists share their memory, that is, whether the list did not change between the
// views.
func SameList(a, b []wire.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// ChangedPart returns the lists without their common prefix and suffix.
func ChangedPart(before, after []wire.Member) (from, to []wire.Member) {
	for len(before) > 0 && len(after) > 0 && before[0] == after[0] {
		before, after = before[1:], after[1:]
	}
	for len(before) > 0 && len(after) > 0 && before[len(before)-1] == after[len(after)-1] {
		before, after = before[:len(before)-1], after[:len(after)-1]
	}
	return before, after
}

func cloneLists(l lists) lists {
	if l == nil {
		return lists{}
	}
	return maps.Clone(l)
}
