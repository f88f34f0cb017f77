package quarantine

import (
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/memberset"
)

const (
	// undecided is how long an upstream may be out of reach until nothing is concluded from
	// the calls that broke off there: it is over the lease of an upstream that falls silent.
	undecided = 10 * time.Second
	// remembered is how long the end of an upstream is known here, for calls of which it is
	// noticed late that they broke off.
	remembered = 10 * time.Second
)

// Broken is a call that broke off while an upstream had it.
type Broken struct {
	Call     Call
	Request  string // id of the try, for logs
	Route    string
	Upstream wire.Member
}

// Inquiries find out why calls broke off: whether their upstream's process has ended, or only
// the answer was cut. Nobody listens any more at the address of a process that has ended.
type Inquiries struct {
	listens func(address string) error // nil when somebody does
	ended   func(Broken)               // is told of every call under which an upstream ended
	clock   clockwork.Clock

	mu   sync.Mutex
	open map[wire.Start]*inquiry
}

type inquiry struct {
	upstream wire.Member
	since    time.Time
	ended    bool
	asking   bool
	calls    []Broken // that wait for the answer
}

// NewInquiries returns inquiries that report to ended, which must not block.
func NewInquiries(listens func(address string) error, ended func(Broken), clock clockwork.Clock) *Inquiries {
	return &Inquiries{listens: listens, ended: ended, clock: clock, open: map[wire.Start]*inquiry{}}
}

// Broke asks why the call broke off.
func (q *Inquiries) Broke(b Broken) {
	start := b.Upstream.Start()
	q.mu.Lock()
	q.forget()
	in := q.open[start]
	if in == nil {
		in = &inquiry{upstream: b.Upstream, since: q.clock.Now()}
		q.open[start] = in
	}
	known := in.ended
	if !known {
		in.calls = append(in.calls, b)
	}
	ask := !known && !in.asking
	in.asking = in.asking || ask
	q.mu.Unlock()
	if known {
		q.ended(b)
	}
	if ask {
		go q.ask(start, b.Upstream.Direct)
	}
}

// ask looks whether somebody listens at the upstream's address.
func (q *Inquiries) ask(start wire.Start, address string) {
	switch err := q.listens(address); {
	case err == nil:
		q.lives(start)
	case Refused(err):
		q.Ended(start)
	default: // out of reach: the members will tell
		q.mu.Lock()
		if in := q.open[start]; in != nil {
			in.asking = false
		}
		q.mu.Unlock()
	}
}

// Refused reports whether a connection was refused since nobody listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (q *Inquiries) lives(start wire.Start) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if in := q.open[start]; in != nil && !in.ended {
		delete(q.open, start)
	}
}

// Ended tells that a start of an upstream has ended. Without calls that broke off there it
// means nothing here.
func (q *Inquiries) Ended(start wire.Start) {
	q.mu.Lock()
	in := q.open[start]
	var calls []Broken
	if in != nil {
		calls, in.calls, in.ended, in.since = in.calls, nil, true, q.clock.Now()
	}
	q.mu.Unlock()
	for _, b := range calls {
		q.ended(b)
	}
}

// Follow takes over the members: a start whose address is another's now has ended.
func (q *Inquiries) Follow(members memberset.Set) {
	q.mu.Lock()
	if len(q.open) == 0 {
		q.mu.Unlock()
		return
	}
	addresses := map[string]bool{}
	for m := range members.All() {
		addresses[m.Direct] = true
	}
	var ended []wire.Start
	for start, in := range q.open {
		if m, known := members.Get(start.ID); !in.ended && (!known || m.Start() != start) && addresses[in.upstream.Direct] {
			ended = append(ended, start)
		}
	}
	q.mu.Unlock()
	for _, start := range ended {
		q.Ended(start)
	}
}

// forget drops what is too old to be concluded from.
func (q *Inquiries) forget() {
	for start, in := range q.open {
		if age := q.clock.Since(in.since); in.ended && age > remembered || !in.ended && age > undecided {
			delete(q.open, start)
		}
	}
}
