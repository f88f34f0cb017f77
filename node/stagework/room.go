package stagework

import (
	"time"

	"caperdrum.org/node/upstream"
)

// The owner counts the room of each upstream by the results that it has made
// there. What an owner before it has made, and nobody frees, it cannot count: it
// asks the upstreams when it takes the queues over, and learns from each piece for
// which there was unexpectedly no room. Without that, the next owner sent 1,600 to
// 2,600 pieces a day to upstreams without room, and took in jobs for room that was
// not there.

// reportInterval is how often an upstream is asked for its room while it holds
// results that this owner has not made, and how often it is tried whether there
// are fewer of them. Its answer may be 200 ms old, so asking more often would tell
// little; results of an owner that is gone last for seconds.
const reportInterval = 300 * time.Millisecond

// held is what an upstream holds, as far as the owner knows.
type held struct {
	own     int64 // bytes of results that this owner has made there
	most    int64 // the most and the least of them since the last report
	least   int64
	foreign int64 // bytes of others' results

	until  time.Time // when others' results are gone at the latest
	askAt  time.Time // when the upstream is to be asked; zero when it is not
	asking bool
}

// hold counts bytes of results that this owner has made, or with a negative number
// no longer counts them.
func (h *held) hold(bytes int64) {
	h.own += bytes
	h.most, h.least = max(h.most, h.own), min(h.least, h.own)
}

// ask has the upstream asked for its room at the given time.
func (h *held) ask(at time.Time) {
	h.askAt = at
	h.most, h.least = h.own, h.own
}

// noRoom notes that an upstream with that room had none for a result of bytes. It is
// asked only after a while: a report that is older than the refusal knows less.
func (h *held) noRoom(now time.Time, room, bytes int64, ttl time.Duration) {
	h.foreign = max(h.foreign, room-h.own-bytes+1)
	h.until = now.Add(ttl)
	h.ask(now.Add(reportInterval))
}

// reported takes over a report: of room, between free and freeMost bytes were free
// a moment ago. Others' results only get fewer, so a part of a call is let in to see
// whether they did.
func (h *held) reported(room, free, freeMost, call int64) {
	h.foreign = min(h.foreign-call, room-free-h.least)
	h.foreign = max(h.foreign, room-freeMost-h.most, 0)
	h.most, h.least = h.own, h.own
}

// askAll has all upstreams asked for their room. Each gets no work until it has
// answered, for fullPause at most.
func (s *scheduler) askAll(now time.Time) {
	for _, q := range s.services {
		if q.spec.ResultRoom <= 0 {
			continue
		}
		for _, w := range q.list {
			w.ask(now)
			w.held.until = now.Add(q.spec.ResultTTL)
			w.until = now.Add(fullPause)
		}
	}
}

const (
	// lookInterval is how often the owner looks which upstreams are to be asked. There are thousands of events a
	// second, and hundreds of upstreams.
	lookInterval = 10 * time.Millisecond
	// askBurst and askRate bound the upstreams that are asked at once, and in a second. A process that takes the
	// queues over asks all of them while all processes connect to it: it would not answer anybody meanwhile,
	// and count as lost.
	askBurst = 100
	askRate  = 400.0
)

// asks bound how many upstreams are asked for their room.
type asks struct {
	looked time.Time // when it was looked last which are to be asked
	spare  float64
}

// due reports whether it is time to look again, and lets spare grow.
func (a *asks) due(now time.Time) bool {
	passed := now.Sub(a.looked)
	if passed < lookInterval {
		return false
	}
	a.spare = min(a.spare+askRate*min(passed, time.Second).Seconds(), askBurst)
	a.looked = now
	return true
}

// take reports whether one more may be asked now.
func (a *asks) take() bool {
	if a.spare < 1 {
		return false
	}
	a.spare--
	return true
}

// reports returns the upstreams that are to be asked for their room now, and
// forgets others' results that are gone by now.
func (s *scheduler) reports(now time.Time) []*worker {
	if !s.owner || !s.asks.due(now) {
		return nil
	}
	var out []*worker
	for _, q := range s.services {
		for _, w := range q.list {
			if w.foreign > 0 && now.After(w.held.until) {
				w.foreign, w.askAt = 0, time.Time{}
				s.due = true
			}
			if !w.askAt.IsZero() && !w.asking && !now.Before(w.askAt) && s.asks.take() {
				w.asking = true
				out = append(out, w)
			}
		}
	}
	return out
}

// reported takes over an upstream's report of its room; nil when it sent none. It is
// asked again while it holds what this owner has not made.
func (s *scheduler) reported(now time.Time, w *worker, r *upstream.Room) {
	s.due = true
	w.asking = false
	w.askAt = now.Add(reportInterval)
	q := s.services[w.member.Service]
	if r == nil || q == nil || !s.sameStart(q, w, r.Incarnation) {
		return
	}
	if w.failures == 0 {
		w.until = time.Time{}
	}
	w.held.reported(q.spec.ResultRoom, r.Free, r.FreeMax, q.spec.ResultRoom/roomSteps)
	if w.foreign == 0 {
		w.askAt = time.Time{}
	}
	if r.Busy && w.running == 0 && !w.proven {
		w.workForOther(now)
	}
}

// workForOther keeps calls from an upstream that works for the owner before: one that
// waited there would wait longer than at one that is idle, and its upstream would seem
// slow. It is asked again when it may be done.
func (w *worker) workForOther(now time.Time) {
	w.until = now.Add(fullPause)
	w.askAt = now.Add(fullPause)
}

// sameStart reports whether a report is of the start that the members name. One of a
// later start ends what is known of the earlier at once: the members say so a little later.
func (s *scheduler) sameStart(q *serviceQueue, w *worker, started uint64) bool {
	known := w.member.Incarnation
	if started == 0 || started == known || known <= 1 { // at 1 the members do not know
		return true
	}
	if started > known && !w.gone {
		m := w.member
		m.Incarnation = started
		s.lost = append(s.lost, q.replace(w, m))
		q.workers[m.ID].ahead = true
	}
	return false
}

// roomSteps is in how many reports all of an upstream's room is tried again: its
// results last for some 12 times reportInterval.
const roomSteps = 6
