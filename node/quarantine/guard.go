package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/wire"
)

// Standing is what is known of a call.
type Standing int

// Standings of calls, the graver last.
const (
	Unsuspected Standing = iota
	Suspected            // several upstreams ended under it
	Barred
)

// Shape returns the call's shape, which costs nothing for a large body.
func (c Call) Shape() uint64 {
	d := xxhash.New()
	for _, field := range []string{c.Customer, c.Method, c.Host, c.Target} {
		writeField(d, field)
	}
	return d.Sum64() ^ uint64(len(c.Body))
}

// Sketch returns what is told of the call.
func (c Call) Sketch(route string) wire.CallSummary {
	return wire.CallSummary{Fingerprint: c.Fingerprint(), Shape: c.Shape(), Customer: c.Customer, Route: route, Bytes: len(c.Body)}
}

// Guard says of each call whether it may reach an upstream. It follows what a quorum holds. While
// control is out of reach it goes by what this process has seen itself besides, where that needs no
// other process's word to tell the calls on an upstream apart.
type Guard struct {
	known atomic.Pointer[index]
	own   atomic.Pointer[index]

	mu     sync.Mutex
	ledger Ledger // of this process's own reports
}

// index finds suspects. A body is hashed only where the shape of its call is listed.
type index struct {
	revision uint64
	shapes   map[uint64]bool
	standing map[wire.Fingerprint]Standing
}

func newIndex(s wire.Suspects) *index {
	x := &index{revision: s.Revision, shapes: map[uint64]bool{}, standing: map[wire.Fingerprint]Standing{}}
	for _, suspect := range s.List {
		x.shapes[suspect.Shape] = true
		x.standing[suspect.Fingerprint] = Suspected
		if suspect.Barred {
			x.standing[suspect.Fingerprint] = Barred
		}
	}
	return x
}

// NewGuard returns a guard that suspects nobody.
func NewGuard() *Guard {
	g := &Guard{}
	g.known.Store(newIndex(wire.Suspects{}))
	g.own.Store(newIndex(wire.Suspects{}))
	return g
}

// Follow takes over what a quorum holds, and reports whether it is new.
func (g *Guard) Follow(s wire.Suspects) (changed bool) {
	if s.Revision == g.known.Load().revision {
		return false
	}
	g.known.Store(newIndex(s))
	return true
}

// Seen takes over what this process reports.
func (g *Guard) Seen(r *wire.CrashReport, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Expire(now.UnixMilli())
	g.ledger.Take(r, now.UnixMilli())
	g.own.Store(newIndex(g.ledger.certain()))
}

// Quiet reports whether nobody is suspected, as on most days.
func (g *Guard) Quiet() bool {
	return len(g.known.Load().shapes) == 0 && len(g.own.Load().shapes) == 0
}

// Check returns what is known of the call, and its fingerprint where it is listed. With withOwn, what
// this process has seen counts besides what a quorum holds.
func (g *Guard) Check(c Call, withOwn bool) (Standing, wire.Fingerprint) {
	known, own := g.known.Load(), g.own.Load()
	if len(known.shapes) == 0 && (!withOwn || len(own.shapes) == 0) {
		return Unsuspected, ""
	}
	if shape := c.Shape(); !known.shapes[shape] && (!withOwn || !own.shapes[shape]) {
		return Unsuspected, ""
	}
	f := c.Fingerprint()
	standing := known.standing[f]
	if withOwn {
		standing = max(standing, own.standing[f])
	}
	return standing, f
}
