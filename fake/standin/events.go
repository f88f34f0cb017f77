package standin

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// CacheEvent records that a block was stored in or evicted from an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"` // stored or evicted
	Block    Block  `json:"block"`
}

// Kinds of cache events.
const (
	EventStored  = "stored"
	EventEvicted = "evicted"
)

const maxEvents = 16384

type datedEvent struct {
	at    time.Time
	event CacheEvent
}

// eventLog publishes cache events with a delay and drops a share of them.
type eventLog struct {
	lag   time.Duration
	loss  float64
	clock clockwork.Clock

	mu     sync.Mutex
	random *rand.Rand
	next   uint64
	events []datedEvent
}

func newEventLog(o Options, clock clockwork.Clock) *eventLog {
	return &eventLog{lag: o.EventLag, loss: o.EventLoss, clock: clock, random: rand.New(rand.NewPCG(uint64(o.Seed), eventStream))}
}

// Streams of the seeded random number generators.
const (
	eventStream = iota + 1
	faultStream
	serviceStream
)

func (l *eventLog) add(b Block, stored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	if l.loss > 0 && l.random.Float64() < l.loss {
		return
	}
	kind := EventEvicted
	if stored {
		kind = EventStored
	}
	l.events = append(l.events, datedEvent{l.clock.Now(), CacheEvent{l.next, kind, b}})
	if len(l.events) > maxEvents {
		l.events = append([]datedEvent(nil), l.events[maxEvents/2:]...)
	}
}

// after returns the published events with a sequence number above seq.
func (l *eventLog) after(seq uint64) []CacheEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	due := l.clock.Now().Add(-l.lag)
	out := []CacheEvent{}
	for _, e := range l.events {
		if e.event.Sequence > seq && !e.at.After(due) {
			out = append(out, e.event)
		}
	}
	return out
}
