package gate

import (
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

const (
	// maxRecords bounds the ended attempts that are remembered. Beyond it the oldest expire early, which only
	// moves the horizon forward.
	maxRecords = 1 << 14
	// unreadGrace is how long a repeatable attempt goes on without a reader before it is abandoned.
	unreadGrace = 2 * time.Second
)

// records hold the ended attempts, in order to expire them and evict their responses, and the repeatable
// attempts without a reader.
type records struct {
	horizon   time.Time     // latest issue time of an expired attempt, or the retention time ago, whichever is later
	ended     []*attempt    // done and tombstoned, in order of their end
	keptBytes int64         // bytes of ended responses
	evictable [2][]*attempt // ended responses without a reader; index 0 holds those of repeatable attempts
	unread    []*attempt    // repeatable attempts without a reader, in the order they lost it
}

// mayHaveExpired reports whether an attempt issued at this time may have been known and expired.
func (r *records) mayHaveExpired(issued time.Time) bool { return !issued.After(r.horizon) }

// tombstone marks an attempt that has not started as one that never will.
func (t *table) tombstone(a *attempt, why *verdict.Error) {
	a.state = wire.AttemptTombstoned
	t.recordEnd(a, why)
}

// recordEnd records that an attempt is done or tombstoned.
func (t *table) recordEnd(a *attempt, failure *verdict.Error) {
	a.response.finish(failure)
	a.ended = t.clock.Now()
	a.body, a.header = nil, nil
	a.keptBytes, _, _ = a.response.size()
	t.records.keptBytes += a.keptBytes
	t.records.ended = append(t.records.ended, a)
	t.evictExcess(a)
}

// evictExcess lists an ended response without a reader as evictable, and evicts the oldest responses past the
// limit, those of repeatable attempts first. Only the bytes are dropped; that the attempt ran stays known.
func (t *table) evictExcess(a *attempt) {
	if a.keptBytes > 0 && a.readers == 0 && !a.evictable {
		i := 1
		if a.repeatable {
			i = 0
		}
		a.evictable = true
		t.records.evictable[i] = append(t.records.evictable[i], a)
	}
	for i := range t.records.evictable {
		for t.records.keptBytes > t.limits.keepBytes && len(t.records.evictable[i]) > 0 {
			t.evictOldest(i)
		}
	}
}

func (t *table) evictOldest(i int) {
	a := popFront(&t.records.evictable[i])
	a.evictable = false
	if a.readers == 0 && a.keptBytes > 0 {
		a.response.drop()
		t.releaseBytes(a)
	}
}

func (t *table) releaseBytes(a *attempt) {
	t.records.keptBytes -= a.keptBytes
	a.keptBytes = 0
}

// expireRecords removes the attempts that ended before the retention time.
func (t *table) expireRecords() {
	limit := t.clock.Now().Add(-t.limits.keep)
	r := &t.records
	if limit.After(r.horizon) {
		// A copy that was in transit for this long may belong to an idempotency key whose claim has expired
		// since.
		r.horizon = limit
	}
	for len(r.ended) > 0 && (len(r.ended) > maxRecords || r.ended[0].ended.Before(limit)) {
		a := popFront(&r.ended)
		t.releaseBytes(a)
		delete(t.attempts, a.id)
		if issued, ok := a.id.Issued(); ok && issued.After(r.horizon) {
			r.horizon = issued
		}
	}
	for i := range r.evictable {
		for len(r.evictable[i]) > 0 && r.evictable[i][0].keptBytes == 0 {
			popFront(&r.evictable[i]).evictable = false
		}
	}
}

// popFront removes and returns the first attempt of a list.
func popFront(list *[]*attempt) *attempt {
	a := (*list)[0]
	(*list)[0] = nil
	*list = (*list)[1:]
	return a
}

// addReader returns a known attempt and counts the caller as a reader until removeReader.
func (t *table) addReader(id wire.AttemptID) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	if a != nil {
		a.readers++
		a.unreadSince = time.Time{}
	}
	return a
}

// removeReader counts a reader out. A repeatable attempt without readers is abandoned after unreadGrace; the
// response of any other is kept.
func (t *table) removeReader(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.resetTimer()
	a.readers--
	if a.readers > 0 {
		return
	}
	if !a.ended.IsZero() {
		t.evictExcess(a)
		return
	}
	if a.repeatable {
		a.unreadSince = t.clock.Now()
		t.records.unread = append(t.records.unread, a)
	}
}

// abandonUnread cancels attempts that had no reader for unreadGrace. List entries are stale, and skipped, if
// their attempt got a reader or ended since.
func (t *table) abandonUnread() {
	limit := t.clock.Now().Add(-unreadGrace)
	r := &t.records
	for len(r.unread) > 0 {
		a := r.unread[0]
		waits := a.ended.IsZero() && !a.unreadSince.IsZero()
		if waits && a.unreadSince.After(limit) {
			return
		}
		popFront(&r.unread)
		if !waits {
			continue
		}
		if t.queue.remove(a) {
			t.tombstone(a, verdict.New(verdict.NotRun, verdict.CodeTombstoned, "nobody waits for the answer").WithRetryAfter(retryAfterMin))
			continue
		}
		a.cancel()
	}
}
