package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Limit bounds how often all processes together may repeat requests of one service within
// every span of time of length Window: a Ratio of the first attempts plus a Fixed number.
type Limit struct {
	Ratio  float64
	Fixed  float64
	Window time.Duration
}

const (
	// ratioShare is how much of a limit's ratio a process uses for its own first attempts. The
	// first attempts behind the repeats of one span lie in it or in the span before, and callers
	// may have moved to another process between the two, where both count them: a half keeps the
	// limit in every case. The remaining 0.05 covers attempts that are counted up to a tenth of a
	// span before their repeats.
	ratioShare = 0.45
	// fixedShare is how much of a limit's fixed number all processes use together. The rest is
	// for repeats that arrive later than the window allows for.
	fixedShare = 0.9
)

// Quota is this process's share of a Limit, which applies to each service separately. It has
// a share of the fixed number only while it is settled among its peers.
type Quota struct {
	limit Limit
	clock clockwork.Clock
	peers *Peers

	mu      sync.Mutex
	windows map[string]*Window // by service
}

// NewQuota returns the quota of a process that has just started. The peers must have been
// created with the limit's window as their span.
func NewQuota(limit Limit, clock clockwork.Clock, peers *Peers) *Quota {
	return &Quota{limit: limit, clock: clock, peers: peers, windows: map[string]*Window{}}
}

// First counts a first attempt at the service.
func (q *Quota) First(service string) { q.window(service).First() }

// Decision is the answer to a request for a repeat, with the values that led to it.
type Decision struct {
	Allowed bool
	First   int  // first attempts of this process in the window
	Repeats int  // repeats of this process in the window, without this one
	Fixed   int  // this process's share of the fixed number
	Members int  // number of processes by which the fixed number was divided
	Settled bool // this process may use its share of the fixed number
}

// Take decides whether a request of the service may be repeated, and counts the repeat if so.
func (q *Quota) Take(service string) Decision {
	w := q.window(service)
	d := q.fixedAllowance()
	d.First, d.Repeats = w.Counts()
	d.Allowed = w.Take(d.Fixed)
	return d
}

// fixedAllowance returns a Decision with this process's share of the fixed number.
func (q *Quota) fixedAllowance() Decision {
	d := Decision{Members: q.peers.MaxMembers(), Settled: q.peers.Settled()}
	if d.Settled {
		d.Fixed = int(fixedShare * q.limit.Fixed / float64(d.Members))
	}
	return d
}

func (q *Quota) window(service string) *Window {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.windows[service]
	if w == nil {
		w = NewWindow(q.limit.Window, ratioShare*q.limit.Ratio, q.clock)
		q.windows[service] = w
	}
	return w
}
