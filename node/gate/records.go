package gate

import (
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

const (
	// maxRecords bounds the ended attempts that are remembered. Past it the
	// oldest are forgotten early, which only moves the horizon closer.
	maxRecords = 1 << 14
	// unreadGrace is how long a repeatable attempt goes on without a reader.
	unreadGrace = 2 * time.Second
)

// records are what is kept of ended attempts, and the attempts that nobody
// reads.
type records struct {
	horizon   time.Time     // latest time of issue of a forgotten attempt, or the keep time ago
	ended     []*attempt    // done and tombstoned, in order of their end
	kept      int64         // bytes of ended answers
	evictable [2][]*attempt // ended answers without a reader, repeatable ones first
	unread    []*attempt    // repeatable, no reader, in the order they lost it
}

// forgot reports whether an attempt issued then may have been known once.
func (r *records) forgot(issued time.Time) bool { return !issued.After(r.horizon) }

// bury makes a tombstone of an attempt that has not started.
func (t *table) bury(a *attempt, why *verdict.Error) {
	a.state = wire.AttemptTombstoned
	t.end(a, why)
}

// end records that an attempt is done or tombstoned.
func (t *table) end(a *attempt, failure *verdict.Error) {
	a.answer.finish(failure)
	a.ended = t.clock.Now()
	a.body, a.header = nil, nil
	a.kept, _, _ = a.answer.size()
	t.records.kept += a.kept
	t.records.ended = append(t.records.ended, a)
	t.mayEvict(a)
}

// mayEvict lists an ended answer that nobody reads, and evicts the oldest
// answers past the limit: first those that can be had again. Only bytes go;
// that the attempt ran stays known.
func (t *table) mayEvict(a *attempt) {
	if a.kept > 0 && a.readers == 0 && !a.evictable {
		i := 1
		if a.repeatable {
			i = 0
		}
		a.evictable = true
		t.records.evictable[i] = append(t.records.evictable[i], a)
	}
	for i := range t.records.evictable {
		for t.records.kept > t.limits.keepBytes && len(t.records.evictable[i]) > 0 {
			t.evictOldest(i)
		}
	}
}

func (t *table) evictOldest(i int) {
	a := shift(&t.records.evictable[i])
	a.evictable = false
	if a.readers == 0 && a.kept > 0 {
		a.answer.drop()
		t.release(a)
	}
}

func (t *table) release(a *attempt) {
	t.records.kept -= a.kept
	a.kept = 0
}

// forget drops what ended longer ago than it must be kept.
func (t *table) forget() {
	limit := t.clock.Now().Add(-t.limits.keep)
	r := &t.records
	if limit.After(r.horizon) {
		// A copy that was under way for so long may belong to a key whose
		// claim has expired since.
		r.horizon = limit
	}
	for len(r.ended) > 0 && (len(r.ended) > maxRecords || r.ended[0].ended.Before(limit)) {
		a := shift(&r.ended)
		t.release(a)
		delete(t.attempts, a.id)
		if issued, ok := a.id.Issued(); ok && issued.After(r.horizon) {
			r.horizon = issued
		}
	}
	for i := range r.evictable {
		for len(r.evictable[i]) > 0 && r.evictable[i][0].kept == 0 {
			shift(&r.evictable[i]).evictable = false
		}
	}
}

// shift takes the first attempt out of a list.
func shift(list *[]*attempt) *attempt {
	a := (*list)[0]
	(*list)[0] = nil
	*list = (*list)[1:]
	return a
}

// join returns a known attempt and counts its caller as a reader until leave.
func (t *table) join(id wire.AttemptID) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	if a != nil {
		a.readers++
		a.unread = time.Time{}
	}
	return a
}

// leave counts a reader out. A repeatable attempt that nobody reads any more
// is abandoned after unreadGrace; the answer of another one is kept.
func (t *table) leave(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.arm()
	a.readers--
	if a.readers > 0 {
		return
	}
	if !a.ended.IsZero() {
		t.mayEvict(a)
		return
	}
	if a.repeatable {
		a.unread = t.clock.Now()
		t.records.unread = append(t.records.unread, a)
	}
}

// abandonUnread ends what nobody has read for unreadGrace. An entry in the
// list counts only while its attempt was not read or ended since.
func (t *table) abandonUnread() {
	limit := t.clock.Now().Add(-unreadGrace)
	r := &t.records
	for len(r.unread) > 0 {
		a := r.unread[0]
		waits := a.ended.IsZero() && !a.unread.IsZero()
		if waits && a.unread.After(limit) {
			return
		}
		shift(&r.unread)
		if !waits {
			continue
		}
		if t.queue.remove(a) {
			t.bury(a, verdict.New(verdict.NotRun, verdict.CodeTombstoned, "nobody waits for the answer").WithRetryAfter(retryAfterMin))
			continue
		}
		a.cancel()
	}
}
