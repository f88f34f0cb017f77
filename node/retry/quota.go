package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Limit is what all processes together may repeat at one service in every span of
// time of length Window: Ratio of the first attempts, and Fixed besides.
type Limit struct {
	Ratio  float64
	Fixed  float64
	Window time.Duration
}

// Standing is a process's place among those that share a Limit, as its view has it.
type Standing struct {
	Members int  // the processes that the view holds
	Self    bool // it holds this start of this process
}

// Quota is this process's part of a Limit, which holds for each service by itself.
type Quota struct {
	limit  Limit
	clock  clockwork.Clock
	steady func() time.Duration

	mu      sync.Mutex
	members int
	windows map[string]*Window // by service
}

// quotaPart is how much of a limit all processes use together: calls that upstreams
// count at another moment than this process does, and processes that just join, need the rest.
const quotaPart = 0.75

// NewQuota returns the quota of a process that has just started. steady says for how long
// a quorum has confirmed the process's view without a gap; zero while it does not.
func NewQuota(limit Limit, clock clockwork.Clock, steady func() time.Duration) *Quota {
	return &Quota{limit: limit, clock: clock, steady: steady, members: 1, windows: map[string]*Window{}}
}

// Follow takes over what a new view says.
func (q *Quota) Follow(s Standing) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.members = max(s.Members, 1)
}

// First notes a first attempt at the service.
func (q *Quota) First(service string) { q.window(service).First() }

// Decision is what became of a question for a repeat, and what decided it.
type Decision struct {
	Allowed bool
	First   int // attempts of this process in the window
	Extra   int // repeats of this process in the window, without this one
	Fixed   int // this process's part of the fixed number
	Members int // by which the fixed number was divided
}

// Take decides about a repeat at the service, and counts it where it is allowed.
func (q *Quota) Take(service string) Decision {
	w := q.window(service)
	d := q.part()
	d.First, d.Extra = w.Counts()
	d.Allowed = w.Take(d.Fixed)
	return d
}

// part returns this process's part of the fixed number.
func (q *Quota) part() Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Decision{Members: q.members, Fixed: int(quotaPart * q.limit.Fixed / float64(q.members))}
}

func (q *Quota) window(service string) *Window {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.windows[service]
	if w == nil {
		w = NewWindow(q.limit.Window, quotaPart*q.limit.Ratio, q.clock)
		q.windows[service] = w
	}
	return w
}
