package consensus

// raftLog holds the entries after the last snapshot.
//
// Invariants: first <= committed <= last; applied <= committed; entries up to
// stable are synced by the caller.
type raftLog struct {
	first     uint64 // index of the last entry the snapshot covers
	firstTerm uint64
	entries   []Entry
	stable    uint64
	committed uint64
	applied   uint64
}

func (l *raftLog) last() uint64 { return l.first + uint64(len(l.entries)) }

// term returns the term of the entry at i, and false when it is compacted
// away or not there yet.
func (l *raftLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.first:
		return l.firstTerm, true
	case i < l.first || i > l.last():
		return 0, false
	default:
		return l.entries[i-l.first-1].Term, true
	}
}

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// slice returns the entries in (after, upTo], cut at maxBytes but never empty
// when the range is not.
func (l *raftLog) slice(after, upTo uint64, maxBytes int) []Entry {
	if after < l.first || after >= upTo {
		return nil
	}
	all := l.entries[after-l.first : upTo-l.first]
	size := 0
	for i := range all {
		size += len(all[i].Data)
		if i > 0 && size > maxBytes {
			return all[:i]
		}
	}
	return all
}

// upToDate is the voting restriction of the Raft paper, section 5.4.1.
func (l *raftLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// appendFrom stores entries that follow prev and returns the last index they
// reach. It drops what conflicts but keeps a longer log that agrees, because
// a late message must not shorten it.
func (l *raftLog) appendFrom(prev uint64, entries []Entry) uint64 {
	for i, e := range entries {
		if t, ok := l.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= l.first {
			continue
		}
		l.truncateAfter(e.Index - 1)
		l.entries = append(l.entries, entries[i:]...)
		break
	}
	return prev + uint64(len(entries))
}

func (l *raftLog) truncateAfter(i uint64) {
	if i < l.committed {
		panic("consensus: a committed entry would be dropped")
	}
	// The full slice expression makes the next append copy, so entries
	// handed out in an earlier Ready stay as they were.
	n := i - l.first
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, i)
}

// compact forgets the entries up to i, which a snapshot now covers.
func (l *raftLog) compact(i uint64) {
	if i <= l.first {
		return
	}
	t, _ := l.term(i)
	rest := l.entries[i-l.first:]
	l.entries = append([]Entry(nil), rest...)
	l.first, l.firstTerm = i, t
}

func (l *raftLog) restore(s *Snapshot) {
	l.first, l.firstTerm = s.Index, s.Term
	l.entries = nil
	l.stable, l.committed, l.applied = s.Index, s.Index, s.Index
}
