package streamorigin

import (
	"slices"
	"time"

	"caperdrum.org/api/wire"
)

// Tracker holds the records of one process and decides which copies other processes are asked to take. It reads no
// clock and does no I/O, and is not safe for concurrent use.
type Tracker struct {
	self      wire.MemberID
	store     *store
	placement *Placement
}

// NewTracker returns a tracker without records.
func NewTracker() *Tracker { return &Tracker{store: newStore()} }

// Begin records a stream that begins at this process, and returns the copies to be sent.
func (t *Tracker) Begin(now time.Time, r Record) []Send {
	e := t.store.add(now, r)
	if e.conflict {
		return t.contradict(r)
	}
	if e.began {
		return nil
	}
	e.began = true
	return t.replicate(now, e, nil)
}

// contradict returns the copies by which all processes that may have another origin of the key learn of the conflict.
func (t *Tracker) contradict(r Record) (out []Send) {
	for _, m := range t.Askable(r.Key) {
		out = append(out, Send{To: m, Record: r})
	}
	return out
}

// replicate returns the copies that are missing of a record that began here.
func (t *Tracker) replicate(now time.Time, e *entry, out []Send) []Send {
	for _, m := range t.placement.Ranked(e.key) {
		if len(e.asked) >= copies || e.failures > maxFailures {
			break
		}
		if m.ID == t.self || m.Leaving || slices.Contains(e.asked, m.Start()) {
			continue
		}
		e.asked = append(e.asked, m.Start())
		out = append(out, Send{To: m, Record: e.record(now)})
	}
	return out
}

func (e *entry) record(now time.Time) Record {
	return Record{Key: e.key, Origin: e.origin, TTL: e.expires.Sub(now)}
}

// Acked records that a process has taken a copy.
func (t *Tracker) Acked(now time.Time, key Key) {
	if e := t.store.find(now, key); e != nil {
		e.acked = true
	}
}

// Failed records that a process did not take a copy, and returns the copies to be sent to others instead.
func (t *Tracker) Failed(now time.Time, to wire.Member, key Key) []Send {
	e := t.store.find(now, key)
	if e == nil || !e.began || e.conflict || !slices.Contains(e.asked, to.Start()) {
		return nil
	}
	e.failures++
	// The process stays in asked: it is not asked again, and whether it has the copy is not known.
	if e.failures > maxFailures {
		return nil
	}
	for _, m := range t.placement.Ranked(key) {
		if m.ID != t.self && !m.Leaving && !slices.Contains(e.asked, m.Start()) {
			e.asked = append(e.asked, m.Start())
			return []Send{{To: m, Record: e.record(now)}}
		}
	}
	return nil
}

// Held reports whether another process has taken a copy of the record.
func (t *Tracker) Held(now time.Time, key Key) bool {
	e := t.store.find(now, key)
	return e != nil && e.acked
}

// Pending reports whether a copy may still be taken of a record of which no process has one yet.
func (t *Tracker) Pending(now time.Time, key Key) bool {
	e := t.store.find(now, key)
	return e != nil && !e.acked && len(e.asked) > e.failures
}

// SetProcesses applies a member list, and returns the copies to be sent in place of those whose processes are gone,
// have started again or are leaving.
func (t *Tracker) SetProcesses(now time.Time, self wire.MemberID, processes []wire.Member) (out []Send) {
	t.self, t.placement = self, NewPlacement(processes)
	present := make(map[wire.Start]bool, len(processes))
	for _, m := range processes {
		present[m.Start()] = !m.Leaving
	}
	t.store.expire(now)
	for _, e := range t.store.expiring {
		if !e.began || e.conflict {
			continue
		}
		before := len(e.asked)
		e.asked = slices.DeleteFunc(e.asked, func(start wire.Start) bool { return !present[start] })
		if len(e.asked) < before {
			e.failures = 0
		}
		if len(e.asked) < copies {
			out = t.replicate(now, e, out)
		}
	}
	return out
}

// Take stores a copy of a record.
func (t *Tracker) Take(now time.Time, r Record) { t.store.add(now, r) }

// Answer is what a process knows of a stream.
type Answer struct {
	Known  bool          `json:"known"`
	Origin Origin        `json:"origin,omitzero"`
	TTL    time.Duration `json:"ttl,omitempty"`
	// Conflict says that two origins were recorded, so that the stream must not go on.
	Conflict bool `json:"conflict,omitempty"`
}

// Find returns what this process knows of a stream.
func (t *Tracker) Find(now time.Time, key Key) Answer {
	e := t.store.find(now, key)
	switch {
	case e == nil:
		return Answer{}
	case e.conflict:
		return Answer{Conflict: true}
	}
	return Answer{Known: true, Origin: e.origin, TTL: e.expires.Sub(now)}
}

// Lookup collects the answers of other processes about one stream.
type Lookup struct {
	asked  int // processes that have not answered yet
	silent int // processes that did not answer
	result Answer
}

// NewLookup returns a lookup of which that many processes are asked.
func NewLookup(asked int) *Lookup { return &Lookup{asked: asked} }

// Add adds the answer of a process, nil if there was none, and reports whether the lookup is over.
func (l *Lookup) Add(a *Answer) (over bool) {
	l.asked--
	if a == nil {
		l.silent++
	} else if a.Known || a.Conflict {
		l.result = *a
	}
	return l.asked <= 0 || l.result.Known || l.result.Conflict
}

// Result returns what is known of the stream by the answers so far.
func (l *Lookup) Result() Answer { return l.result }

// Askable returns the processes that may have a record, the likely ones first.
func (t *Tracker) Askable(key Key) []wire.Member {
	list := slices.DeleteFunc(t.placement.Ranked(key), func(m wire.Member) bool { return m.ID == t.self })
	return list[:min(len(list), askedProcesses)]
}

// HandOver returns all records with the processes that are to hold them once this process has stopped.
func (t *Tracker) HandOver(now time.Time) (out []Send) {
	t.store.expire(now)
	for _, e := range t.store.expiring {
		if e.conflict {
			continue
		}
		n := 0
		for _, m := range t.placement.Ranked(e.key) {
			if n == copies {
				break
			}
			if m.ID == t.self || m.Leaving {
				continue
			}
			n++
			if !slices.Contains(e.asked, m.Start()) {
				out = append(out, Send{To: m, Record: e.record(now)})
			}
		}
	}
	return out
}

// Len returns the number of records.
func (t *Tracker) Len() int { return len(t.store.expiring) }

// Evicted returns how many records were dropped before they expired.
func (t *Tracker) Evicted() int { return t.store.evicted }
