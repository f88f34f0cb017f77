package configsync

import (
	"cmp"
	"maps"
	"slices"

	"caperdrum.org/api/wire"
)

// lists are members by service, sorted by ID. Views share them: a list that changes is replaced.
type lists map[string][]wire.Member

func compareID(m wire.Member, id wire.MemberID) int { return cmp.Compare(m.ID, id) }

// change takes a member's record out of one list and puts its next one into another; an empty name
// stands for no list. Lists in fresh belong to this change already and are not copied again.
func (l lists) change(before, after string, m wire.Member, fresh map[string]bool) {
	if before != "" && before != after {
		list := l.writable(before, fresh)
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
	list := l.writable(after, fresh)
	i, found := slices.BinarySearchFunc(list, m.ID, compareID)
	if found {
		list[i] = m
		return
	}
	l[after] = slices.Insert(list, i, m)
}

// own returns a list that may be changed.
func (l lists) writable(name string, fresh map[string]bool) []wire.Member {
	if !fresh[name] {
		fresh[name] = true
		list := l[name]
		l[name] = append(make([]wire.Member, 0, len(list)+1), list...)
	}
	return l[name]
}

// SameList reports whether two lists of views are one list: it did not change between the views.
func SameList(a, b []wire.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// ChangedPart returns what is left of two lists without the records at both ends that they share.
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
