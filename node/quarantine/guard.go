package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/wire"
)

// Status says whether a call is suspected or barred.
type Status int

// Values of Status, in order of increasing severity.
const (
	Unsuspected Status = iota
	Suspected          // in flight at several upstreams when they crashed
	Barred
)

// Shape returns a cheap hash of the call that covers only the length of its body. It is a prefilter: equal
// calls have equal shapes.
func (c Call) Shape() uint64 {
	d := xxhash.New()
	for _, field := range []string{c.Customer, c.Method, c.Host, c.Target} {
		writeField(d, field)
	}
	return d.Sum64() ^ uint64(len(c.Body))
}

// Sketch returns the summary of the call that is sent in reports.
func (c Call) Sketch(route string) wire.CallSummary {
	return wire.CallSummary{Fingerprint: c.Fingerprint(), Shape: c.Shape(), Customer: c.Customer, Route: route, Bytes: len(c.Body)}
}

// Guard decides whether a call may reach an upstream. It follows the replicated list of suspects. While the
// control role is unreachable it also uses the reports of this process, as far as they bar a call without
// knowing which other calls were in flight at the same upstreams.
type Guard struct {
	replicated atomic.Pointer[index]
	local      atomic.Pointer[index]

	mu     sync.Mutex
	ledger Ledger // built from this process's own reports
}

// index looks up suspects. A call's body is hashed only if the call's shape is listed.
type index struct {
	revision uint64
	shapes   map[uint64]bool
	statuses map[wire.Fingerprint]Status
}

func newIndex(s wire.Suspects) *index {
	x := &index{revision: s.Revision, shapes: map[uint64]bool{}, statuses: map[wire.Fingerprint]Status{}}
	for _, suspect := range s.List {
		x.shapes[suspect.Shape] = true
		x.statuses[suspect.Fingerprint] = Suspected
		if suspect.Barred {
			x.statuses[suspect.Fingerprint] = Barred
		}
	}
	return x
}

// NewGuard returns a Guard without suspects.
func NewGuard() *Guard {
	g := &Guard{}
	g.replicated.Store(newIndex(wire.Suspects{}))
	g.local.Store(newIndex(wire.Suspects{}))
	return g
}

// Update replaces the replicated suspects, and reports whether their revision is new.
func (g *Guard) Update(s wire.Suspects) (changed bool) {
	if s.Revision == g.replicated.Load().revision {
		return false
	}
	g.replicated.Store(newIndex(s))
	return true
}

// RecordLocal adds a report of this process to the local suspects.
func (g *Guard) RecordLocal(r *wire.CrashReport, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Expire(now.UnixMilli())
	g.ledger.Apply(r, now.UnixMilli())
	g.local.Store(newIndex(g.ledger.unambiguousSuspects()))
}

// Empty reports whether there are no suspects at all, which is the usual case.
func (g *Guard) Empty() bool {
	return len(g.replicated.Load().shapes) == 0 && len(g.local.Load().shapes) == 0
}

// Check returns the status of the call, and its fingerprint if its shape is listed. With includeLocal, the local
// suspects count as well as the replicated ones.
func (g *Guard) Check(c Call, includeLocal bool) (Status, wire.Fingerprint) {
	replicated, local := g.replicated.Load(), g.local.Load()
	if len(replicated.shapes) == 0 && (!includeLocal || len(local.shapes) == 0) {
		return Unsuspected, ""
	}
	if shape := c.Shape(); !replicated.shapes[shape] && (!includeLocal || !local.shapes[shape]) {
		return Unsuspected, ""
	}
	f := c.Fingerprint()
	status := replicated.statuses[f]
	if includeLocal {
		status = max(status, local.statuses[f])
	}
	return status, f
}
