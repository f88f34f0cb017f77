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

// Confirmations are those of a process's view by a quorum.
type Confirmations struct {
	// Steady returns for how long the view has been confirmed, with no more than Gap between two
	// confirmations or since the last one; zero where that is over.
	Steady func() time.Duration
	Gap    time.Duration
}

const (
	// ratioPart is how much of a limit's ratio a process uses on its own first attempts. Those
	// behind the repeats of one span lie in it or in the one before, and callers may have moved
	// to another process between the two, which both count: a half keeps the limit whatever they
	// do. The rest of it is for attempts that are counted up to a tenth of a span before their repeats.
	ratioPart = 0.45
	// fixedPart is how much of a limit's fixed number all processes use together. The rest is
	// for repeats that arrive later than the window allows for.
	fixedPart = 0.9
)

// Quota is this process's part of a Limit, which holds for each service by itself.
//
// Its part of the fixed number is safe only while no others use theirs unseen. So a process has
// none until it is settled: a member in each view, which a quorum has confirmed without a gap, for a span
// and two gaps. Until then another start of it, or processes that it does not see, may have repeated within
// the span. The number is divided by the most members that any of these views had: of any processes that have
// repeated within one span, all were members at one moment that each of them has seen.
type Quota struct {
	limit     Limit
	clock     clockwork.Clock
	confirmed Confirmations

	mu      sync.Mutex
	member  time.Time // since when each view holds this start; zero where the last one does not
	views   []size    // the oldest first
	windows map[string]*Window
}

// size is how many members the views had from a moment on.
type size struct {
	at      time.Time
	members int
}

// NewQuota returns the quota of a process that has just started.
func NewQuota(limit Limit, clock clockwork.Clock, c Confirmations) *Quota {
	return &Quota{limit: limit, clock: clock, confirmed: c, windows: map[string]*Window{}}
}

// settle is how long a process is a member until it has a part of the fixed number.
func (q *Quota) settle() time.Duration { return q.limit.Window + 2*q.confirmed.Gap }

// Follow takes over what a new view says.
func (q *Quota) Follow(s Standing) {
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case !s.Self:
		q.member = time.Time{}
	case q.member.IsZero():
		q.member = now
	}
	if n := len(q.views); n == 0 || q.views[n-1].members != s.Members {
		q.views = append(q.views, size{now, s.Members})
	}
	q.forget(now)
}

// forget drops the views that were replaced before all that counts.
func (q *Quota) forget(now time.Time) {
	for len(q.views) > 1 && now.Sub(q.views[1].at) > q.settle() {
		q.views = q.views[1:]
	}
}

// First notes a first attempt at the service.
func (q *Quota) First(service string) { q.window(service).First() }

// Decision is what became of a question for a repeat, and what decided it.
type Decision struct {
	Allowed bool
	First   int  // attempts of this process in the window
	Extra   int  // repeats of this process in the window, without this one
	Fixed   int  // this process's part of the fixed number
	Members int  // by which the fixed number was divided
	Settled bool // this process may use its part
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
	now, steady := q.clock.Now(), q.confirmed.Steady()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forget(now)
	d := Decision{Members: 1}
	for _, v := range q.views {
		d.Members = max(d.Members, v.members)
	}
	d.Settled = !q.member.IsZero() && min(now.Sub(q.member), steady) >= q.settle()
	if d.Settled {
		d.Fixed = int(fixedPart * q.limit.Fixed / float64(d.Members))
	}
	return d
}

func (q *Quota) window(service string) *Window {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.windows[service]
	if w == nil {
		w = NewWindow(q.limit.Window, ratioPart*q.limit.Ratio, q.clock)
		q.windows[service] = w
	}
	return w
}
