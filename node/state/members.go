package state

import (
	"maps"
	"sync"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/textdelta"
)

// viewCache holds the parts of a View that most commands leave unchanged.
type viewCache struct {
	history    *textdelta.History
	members    map[wire.MemberID]wire.Member
	membersSeq uint64 // MembersSeq at which members was copied
	fullList   *fullMemberList
}

// memberView returns an immutable copy of the members. It copies them only if they have changed since the
// last call.
func (m *Machine) memberView() map[wire.MemberID]wire.Member {
	if m.cache.members == nil || m.cache.membersSeq != m.s.MembersSeq {
		m.cache.members, m.cache.membersSeq = maps.Clone(m.s.Members), m.s.MembersSeq
		m.cache.fullList = &fullMemberList{}
	}
	return m.cache.members
}

// fullMemberList is the complete member list for processes that have none yet. It is built and compressed
// once and shared by all views with the same members.
type fullMemberList struct {
	once sync.Once
	list *wire.MembersDelta
}

func (w *fullMemberList) delta(v *View) *wire.MembersDelta {
	w.once.Do(func() {
		d := &wire.MembersDelta{To: v.MembersSeq, Whole: true, Changed: make([]wire.Member, 0, len(v.Members))}
		for _, m := range v.Members {
			d.Changed = append(d.Changed, m)
		}
		w.list = d.CacheEncoding()
	})
	return w.list
}

// Delta returns the changes to the members after sequence number seq, or the full list if the log does not
// reach back that far. It returns nil if nothing changed, or if seq is above the view's: then the view is
// older than the caller's.
func (v *View) Delta(seq uint64) *wire.MembersDelta {
	if seq >= v.MembersSeq {
		return nil
	}
	d := &wire.MembersDelta{From: seq, To: v.MembersSeq}
	if seq == 0 || len(v.memberLog) == 0 || v.memberLog[0].seq > seq+1 {
		return v.fullList.delta(v)
	}
	latest := map[wire.MemberID]bool{}
	for _, c := range v.memberLog[seq+1-v.memberLog[0].seq:] { // valid index, because the log has no gaps
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
