package consensus

// raftLog holds the entries after the compacted part of the log.
//
// Invariants: compactedIndex <= committed <= last; applied <= committed; entries up to stable are synced by
// the caller.
type raftLog struct {
	compactedIndex uint64 // index of the last entry dropped from memory; a snapshot covers it
	compactedTerm  uint64
	entries        []Entry
	stable         uint64
	committed      uint64
	applied        uint64
}

func (l *raftLog) last() uint64 { return l.compactedIndex + uint64(len(l.entries)) }

// term returns the term of the entry at i, and false if that entry is compacted or does not exist yet.
func (l *raftLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.compactedIndex:
		return l.compactedTerm, true
	case i < l.compactedIndex || i > l.last():
		return 0, false
	default:
		return l.entries[i-l.compactedIndex-1].Term, true
	}
}

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// slice returns the entries in (after, upTo], limited to maxBytes of data but at least one if the range is
// not empty.
func (l *raftLog) slice(after, upTo uint64, maxBytes int) []Entry {
	if after < l.compactedIndex || after >= upTo {
		return nil
	}
	all := l.entries[after-l.compactedIndex : upTo-l.compactedIndex]
	size := 0
	for i := range all {
		size += len(all[i].Data)
		if i > 0 && size > maxBytes {
			return all[:i]
		}
	}
	return all
}

// isUpToDate implements the election restriction (Raft paper, section 5.4.1).
func (l *raftLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// appendFrom stores entries that follow prev and returns the index of the last one. It removes conflicting
// entries but keeps a longer log that agrees, because a delayed message must not shorten it.
func (l *raftLog) appendFrom(prev uint64, entries []Entry) uint64 {
	for i, e := range entries {
		if t, ok := l.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= l.compactedIndex {
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
		panic("consensus: attempt to truncate a committed entry")
	}
	// The full slice expression makes the next append copy, so that entries handed out in an earlier Ready do
	// not change.
	n := i - l.compactedIndex
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, i)
}

// compact drops the entries up to i, which a snapshot covers.
func (l *raftLog) compact(i uint64) {
	if i <= l.compactedIndex {
		return
	}
	t, _ := l.term(i)
	rest := l.entries[i-l.compactedIndex:]
	l.entries = append([]Entry(nil), rest...)
	l.compactedIndex, l.compactedTerm = i, t
}

func (l *raftLog) restore(s *Snapshot) {
	l.compactedIndex, l.compactedTerm = s.Index, s.Term
	l.entries = nil
	l.stable, l.committed, l.applied = s.Index, s.Index, s.Index
}
