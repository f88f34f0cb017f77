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

const (
	// ratioPart is how much of a limit's ratio a process uses on its own first attempts. Those
	// behind the repeats of one span lie in it or in the one before, and callers may have moved
	// to another process between the two, which both count: a half keeps the limit whatever they
	// do. The rest of it is for attempts that are counted up to a tenth of a span before their repeats.
	ratioShare = 0.45
	// fixedPart is how much of a limit's fixed number all processes use together. The rest is
	// for repeats that arrive later than the window allows for.
	fixedShare = 0.9
)

// Quota is this process's part of a Limit, which holds for each service by itself. Of the
// fixed number it has a part while it is settled among its peers.
type Quota struct {
	limit Limit
	clock clockwork.Clock
	peers *Peers

	mu      sync.Mutex
	windows map[string]*Window // by service
}

// NewQuota returns the quota of a process that has just started. Its peers are followed over
// the limit's window.
func NewQuota(limit Limit, clock clockwork.Clock, peers *Peers) *Quota {
	return &Quota{limit: limit, clock: clock, peers: peers, windows: map[string]*Window{}}
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
	d := q.fixedAllowance()
	d.First, d.Extra = w.Counts()
	d.Allowed = w.Take(d.Fixed)
	return d
}

// part returns this process's part of the fixed number.
func (q *Quota) fixedAllowance() Decision {
	d := Decision{Members: q.peers.Most(), Settled: q.peers.Settled()}
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
