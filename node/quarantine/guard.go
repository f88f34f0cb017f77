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
	Unsuspected   Status = iota
	Suspected            // in flight at several upstreams when they crashed
	jointlyBarred        // a part: calls with two of them are barred
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

// index looks up suspects. A call's body is hashed only if the call's shape is listed, and the parts of its prompt only
// if a part is.
type index struct {
	revision uint64
	shapes   map[uint64]bool
	parts    bool
	statuses map[wire.Fingerprint]Status
	since    map[wire.Fingerprint]int64 // start of the bar of a part, in milliseconds since the Unix epoch
}

func newIndex(s wire.Suspects) *index {
	x := &index{revision: s.Revision, shapes: map[uint64]bool{}, statuses: map[wire.Fingerprint]Status{}, since: map[wire.Fingerprint]int64{}}
	for _, suspect := range s.List {
		if suspect.Kind == wire.SuspectPart {
			x.parts = true
		} else {
			x.shapes[suspect.Shape] = true
		}
		x.statuses[suspect.Fingerprint] = Suspected
		switch {
		case suspect.Barred:
			x.statuses[suspect.Fingerprint], x.since[suspect.Fingerprint] = Barred, suspect.Since
		case suspect.Joint:
			x.statuses[suspect.Fingerprint] = jointlyBarred
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
	return len(g.replicated.Load().statuses) == 0 && len(g.local.Load().statuses) == 0
}

// Check returns the status of the call, and the fingerprint of the suspect that decides it: the call itself, or a part of
// its prompt. With includeLocal, the local suspects count as well as the replicated ones.
func (g *Guard) Check(c Call, includeLocal bool) (Status, wire.Fingerprint) {
	status, f := g.checkCall(c, includeLocal)
	joint := 0
	g.eachPart(c, includeLocal, func(_ string, part wire.Fingerprint, s Status) {
		if s == jointlyBarred {
			joint++
			s = Suspected
		}
		if joint > 1 {
			s = Barred
		}
		if s > status {
			status, f = s, part
		}
	})
	return status, f
}

// OnlyBarredPart returns the part for which alone the call is barred by the replicated suspects, and since when. found is
// false if it is not barred, or for other reasons as well.
func (g *Guard) OnlyBarredPart(c Call) (part wire.Fingerprint, since time.Time, found bool) {
	suspects := 0
	g.eachPart(c, false, func(_ string, f wire.Fingerprint, s Status) {
		if s != Unsuspected {
			suspects++
		}
		if s == Barred {
			part, found = f, true
		}
	})
	if status, _ := g.checkCall(c, true); suspects != 1 || status != Unsuspected {
		return "", time.Time{}, false
	}
	return part, time.UnixMilli(g.replicated.Load().since[part]), found
}

// checkCall returns the status of the call itself, whatever its prompt.
func (g *Guard) checkCall(c Call, includeLocal bool) (Status, wire.Fingerprint) {
	replicated, local := g.replicated.Load(), g.local.Load()
	if len(replicated.shapes) == 0 && (!includeLocal || len(local.shapes) == 0) {
		return Unsuspected, ""
	}
	if shape := c.Shape(); !replicated.shapes[shape] && (!includeLocal || !local.shapes[shape]) {
		return Unsuspected, ""
	}
	f := c.Fingerprint()
	return g.status(f, includeLocal), f
}

// eachPart calls f with the status of each part of the call's prompt, if any part is a suspect.
func (g *Guard) eachPart(c Call, includeLocal bool, f func(id string, part wire.Fingerprint, s Status)) {
	if !g.replicated.Load().parts && (!includeLocal || !g.local.Load().parts) {
		return
	}
	for _, id := range c.parts() {
		part := partFingerprint(c.Service, id)
		f(id, part, g.status(part, includeLocal))
	}
}

func (g *Guard) status(f wire.Fingerprint, includeLocal bool) Status {
	status := g.replicated.Load().statuses[f]
	if includeLocal {
		status = max(status, g.local.Load().statuses[f])
	}
	return status
}
