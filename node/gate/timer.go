package gate

import "time"

// minTimerWait keeps a due event that cannot be handled at once from spinning.
const minTimerWait = time.Millisecond

// resetTimer sets the timer to the next due event, if that is earlier than its current time. A gate without
// queued attempts or records has no timer.
func (t *table) resetTimer() {
	queueVar.Set(int64(t.queue.len()))
	inFlightVar.Set(int64(t.running))
	next := t.nextTimerTime()
	if next.IsZero() || !t.timerAt.IsZero() && !next.Before(t.timerAt) {
		return
	}
	t.timerAt = next
	wait := max(next.Sub(t.clock.Now()), minTimerWait)
	if t.timer == nil {
		t.timer = t.clock.AfterFunc(wait, t.sweep)
		return
	}
	t.timer.Reset(wait)
}

// nextTimerTime returns when the next event is due, or the zero time.
func (t *table) nextTimerTime() time.Time {
	var next time.Time
	sooner := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if a := t.queue.earliestDeadline(); a != nil {
		sooner(t.latestStart(a))
		if wait := t.pace.wait(t.clock.Now()); wait > 0 {
			sooner(t.clock.Now().Add(wait))
		}
	}
	if u := t.records.unread; len(u) > 0 {
		sooner(u[0].unreadSince.Add(unreadGrace))
	}
	if e := t.records.ended; len(e) > 0 {
		sooner(e[0].ended.Add(t.limits.keep + minTimerWait))
	}
	return next
}

// sweep handles due events: it refuses waiting attempts that can no longer finish in time, starts those that the
// upstream's request limit admits, abandons those without a reader and expires old records.
func (t *table) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timerAt = time.Time{}
	t.expireRecords()
	t.abandonUnread()
	t.refuseLate()
	t.startQueued()
	t.resetTimer()
}

// refuseLate refuses every waiting attempt that can no longer finish in time.
func (t *table) refuseLate() {
	for a := t.queue.earliestDeadline(); a != nil && t.cannotFinish(a); a = t.queue.earliestDeadline() {
		t.queue.remove(a)
		t.tombstone(a, deadlineRefusal(t.expectedWait(a)))
	}
}
