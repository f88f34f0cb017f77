// Package timeline records typed events in a ring buffer. Events carry hybrid logical
// clock timestamps (Kulkarni et al., "Logical Physical Clocks", 2014), so that the events
// of all processes can be merged in causal order. Recording never waits for a reader.
package timeline

import (
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Stamp is a hybrid logical clock timestamp: milliseconds since the Unix epoch
// in the upper 48 bits, a logical counter in the lower 16.
type Stamp uint64

const counterBits = 16

// Time returns the physical part of s.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)) }

// StampOf returns the smallest stamp of the given time.
func StampOf(t time.Time) Stamp { return Stamp(uint64(t.UnixMilli()) << counterBits) }

// String returns s in hexadecimal, the format used in headers.
func (s Stamp) String() string { return strconv.FormatUint(uint64(s), 16) }

// ParseStamp parses the format of String. It returns 0 for invalid input.
func ParseStamp(v string) Stamp {
	n, err := strconv.ParseUint(v, 16, 64)
	if err != nil {
		return 0
	}
	return Stamp(n)
}

// maxClockSkew bounds how far a received stamp may move the clock ahead of the wall
// clock, so that one process with a wrong clock cannot disturb all others.
const maxClockSkew = time.Minute

// Clock is a hybrid logical clock. The zero value is ready to use.
type Clock struct {
	last atomic.Uint64
}

// Now returns a stamp later than all stamps returned or observed before.
func (c *Clock) Now() Stamp {
	wall := uint64(time.Now().UnixMilli()) << counterBits
	for {
		last := c.last.Load()
		next := max(wall, last+1)
		if c.last.CompareAndSwap(last, next) {
			return Stamp(next)
		}
	}
}

// Observe advances the clock past s, a stamp received from another process. It ignores
// stamps further ahead of the wall clock than maxClockSkew.
func (c *Clock) Observe(s Stamp) {
	limit := uint64(time.Now().Add(maxClockSkew).UnixMilli()) << counterBits
	if uint64(s) > limit {
		return
	}
	for {
		last := c.last.Load()
		if last >= uint64(s) || c.last.CompareAndSwap(last, uint64(s)) {
			return
		}
	}
}

// Kind is the type of an event.
type Kind string

// Event is one entry of the timeline.
type Event struct {
	At       Stamp  `json:"at"`
	Process  string `json:"process"`
	VM       string `json:"vm"`
	Kind     Kind   `json:"kind"`
	Request  string `json:"request,omitempty"`
	Attempt  string `json:"attempt,omitempty"`
	Customer string `json:"customer,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Ring is a ring buffer of the newest events of one process.
type Ring struct {
	Clock   *Clock
	process string
	vm      string

	mu     sync.Mutex
	events []Event
	next   uint64
}

// NewRing returns a ring that holds size events.
func NewRing(process, vm string, size int) *Ring {
	return &Ring{Clock: &Clock{}, process: process, vm: vm, events: make([]Event, 0, size)}
}

// Record stamps e and stores it, replacing the oldest event when the ring is full.
func (r *Ring) Record(e Event) {
	e.At, e.Process, e.VM = r.Clock.Now(), r.process, r.vm
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
	} else {
		r.events[r.next%uint64(cap(r.events))] = e
	}
	r.next++
}

// Filter selects events. Empty fields match everything.
type Filter struct {
	Request  string
	Customer string
	VM       string
	Kind     Kind
	Since    Stamp
}

// Matches reports whether e passes the filter.
func (f Filter) Matches(e Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Customer == "" || f.Customer == e.Customer) &&
		(f.VM == "" || f.VM == e.VM) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		e.At >= f.Since
}

// Events returns the events that pass f, ordered by stamp.
func (r *Ring) Events(f Filter) []Event {
	r.mu.Lock()
	out := make([]Event, 0, len(r.events))
	for _, e := range r.events {
		if f.Matches(e) {
			out = append(out, e)
		}
	}
	r.mu.Unlock()
	Sort(out)
	return out
}

// Sort orders events of several processes by stamp, then by process.
func Sort(events []Event) {
	sort.SliceStable(events, func(i, j int) bool {
		if events[i].At != events[j].At {
			return events[i].At < events[j].At
		}
		return events[i].Process < events[j].Process
	})
}
