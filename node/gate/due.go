package gate

import "time"

// minTimer keeps a due event that cannot be met at once from spinning.
const minTimer = time.Millisecond

// arm sets the one timer to the next due event, if that is earlier than what
// it is set to. A gate without work or records has no timer.
func (t *table) arm() {
	queueVar.Set(int64(t.queue.len()))
	inFlightVar.Set(int64(t.running))
	next := t.nextDue()
	if next.IsZero() || !t.due.IsZero() && !next.Before(t.due) {
		return
	}
	t.due = next
	wait := max(next.Sub(t.clock.Now()), minTimer)
	if t.timer == nil {
		t.timer = t.clock.AfterFunc(wait, t.sweep)
		return
	}
	t.timer.Reset(wait)
}

// nextDue returns when something falls due, or the zero time.
func (t *table) nextDue() time.Time {
	var next time.Time
	sooner := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if a := t.queue.earliest(); a != nil {
		sooner(t.latestStart(a))
	}
	if u := t.records.unread; len(u) > 0 {
		sooner(u[0].unread.Add(unreadGrace))
	}
	if e := t.records.ended; len(e) > 0 {
		sooner(e[0].ended.Add(t.limits.keep + minTimer))
	}
	return next
}

// sweep does what fell due: waiting attempts that can no longer finish are
// refused at once, unread ones abandoned, old records forgotten.
func (t *table) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = time.Time{}
	t.forget()
	t.abandonUnread()
	t.refuseLate()
	t.arm()
}

// refuseLate refuses every waiting attempt that can no longer finish.
func (t *table) refuseLate() {
	for a := t.queue.earliest(); a != nil && t.late(a); a = t.queue.earliest() {
		t.queue.remove(a)
		t.bury(a, lateError(t.expectedWait(a)))
	}
}
