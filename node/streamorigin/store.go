package streamorigin

import (
	"container/heap"
	"time"

	"caperdrum.org/api/wire"
)

// maxRecords bounds the records of one process. Beyond it those that expire first are dropped; their streams are not
// known here any more.
const maxRecords = 32 << 10

// entry is a record in a store.
type entry struct {
	key      Key
	origin   Origin
	expires  time.Time
	conflict bool         // two origins were recorded for the key
	began    bool         // the stream began at this process, which sees to the copies
	asked    []wire.Start // processes that have a copy or are asked to take one
	acked    bool         // one of them has taken a copy at some time
	failures int
	index    int // in the heap
}

// store holds records until they expire.
type store struct {
	byKey    map[Key]*entry
	expiring expiryHeap
	evicted  int // records dropped before they expired
}

func newStore() *store { return &store{byKey: map[Key]*entry{}} }

// add records an origin. Two origins under one key are a conflict, whichever came first: neither is known to be that
// of the stream that a caller means.
func (s *store) add(now time.Time, r Record) *entry {
	s.expire(now)
	expires := now.Add(min(max(r.TTL, 0), MaxTTL))
	if e := s.byKey[r.Key]; e != nil {
		e.conflict = e.conflict || e.origin != r.Origin
		if expires.After(e.expires) {
			e.expires = expires
			heap.Fix(&s.expiring, e.index)
		}
		return e
	}
	e := &entry{key: r.Key, origin: r.Origin, expires: expires}
	s.byKey[r.Key] = e
	heap.Push(&s.expiring, e)
	if len(s.expiring) > maxRecords {
		s.dropFirst()
		s.evicted++
	}
	return e
}

// find returns the entry for the key, or nil.
func (s *store) find(now time.Time, key Key) *entry {
	s.expire(now)
	return s.byKey[key]
}

func (s *store) expire(now time.Time) {
	for len(s.expiring) > 0 && !now.Before(s.expiring[0].expires) {
		s.dropFirst()
	}
}

func (s *store) dropFirst() {
	e := heap.Pop(&s.expiring).(*entry)
	delete(s.byKey, e.key)
}

// expiryHeap implements heap.Interface; the entry that expires first is on top.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
