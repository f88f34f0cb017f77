package state

import (
	"maps"
	"sync"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/textdelta"
)

// viewParts are the parts of a View that most commands leave as they are.
type viewParts struct {
	history    *textdelta.History
	members    map[wire.MemberID]wire.Member
	membersSeq uint64 // of members
	whole      *wholeList
}

// memberView returns an immutable copy of the members. It is made anew only
// after the members changed.
func (m *Machine) memberView() map[wire.MemberID]wire.Member {
	if m.parts.members == nil || m.parts.membersSeq != m.s.MembersSeq {
		m.parts.members, m.parts.membersSeq = maps.Clone(m.s.Members), m.s.MembersSeq
		m.parts.whole = &wholeList{}
	}
	return m.parts.members
}

// wholeList is the list of all members as processes get it that hold none: made, and packed, once for all of
// them. Views with the same members share it.
type wholeList struct {
	once sync.Once
	list *wire.MembersDelta
}

func (w *wholeList) delta(v *View) *wire.MembersDelta {
	w.once.Do(func() {
		d := &wire.MembersDelta{To: v.MembersSeq, Whole: true, Changed: make([]wire.Member, 0, len(v.Members))}
		for _, m := range v.Members {
			d.Changed = append(d.Changed, m)
		}
		w.list = d.CacheEncoding()
	})
	return w.list
}

// Delta returns what changed in the members after sequence number seq, or the
// whole list when that is not known any more. It is nil when nothing changed,
// or when seq is higher than the view's: then the view is behind the caller.
func (v *View) Delta(seq uint64) *wire.MembersDelta {
	if seq >= v.MembersSeq {
		return nil
	}
	d := &wire.MembersDelta{From: seq, To: v.MembersSeq}
	if seq == 0 || len(v.log) == 0 || v.log[0].seq > seq+1 {
		return v.whole.delta(v)
	}
	latest := map[wire.MemberID]bool{}
	for _, c := range v.log[seq+1-v.log[0].seq:] { // the log has no gaps
		latest[c.id] = true
	}
	for id := range latest {
		if m, ok := v.Members[id]; ok {
			d.Changed = append(d.Changed, m)
		} else {
			d.Removed = append(d.Removed, id)
		}
	}
	return d
}
