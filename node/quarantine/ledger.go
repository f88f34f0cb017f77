package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"caperdrum.org/api/wire"
)

const (
	// barAfter is how many upstreams must crash under a call, or under calls with a part, before it is barred.
	barAfter = 3
	// barAfterAmbiguous is the same for one that was answered before, or for a call whose crashes another call
	// may explain.
	barAfterAmbiguous = 5
	// suspectAfter is how many crashes make a call or part a suspect. Suspects are published to all processes, which
	// then report it when such a call is answered.
	suspectAfter = 2
	// recordTTL is how long a call is remembered after its last crash. A barred call may then run once more,
	// as the upstreams may have been fixed.
	recordTTL = 24 * time.Hour
	// maxRecords of calls, maxPartRecords and maxStartsPerRecord bound the memory that callers can make the replicas use.
	// A crash accuses one call, but up to maxParts parts, for each call that it interrupts.
	maxRecords         = 512
	maxPartRecords     = 2048
	evictedParts       = maxPartRecords / 8 // at once, as one crash may accuse hundreds
	maxStartsPerRecord = 16
	// probation is how long a part is a suspect before it may be barred, so that all processes can report answers
	// to other calls with it: most parts of a prompt under which an upstream crashes belong to sound calls too.
	probation = 500 * time.Millisecond
)

// Record holds the crashes and the state of one suspect. Its slices are replaced, never modified.
type Record struct {
	Call    wire.CallSummary `cbor:"1,keyasint"`
	Starts  []wire.Start     `cbor:"2,keyasint"` // upstreams that crashed with the call in flight, oldest first
	Barred  bool             `cbor:"3,keyasint,omitempty"`
	Cleared bool             `cbor:"4,keyasint,omitempty"` // it was answered at least once; Starts are the crashes since the last answer
	Since   int64            `cbor:"5,keyasint"`           // when Barred or Cleared last changed, in milliseconds since the Unix epoch
	At      int64            `cbor:"6,keyasint"`           // last change of the record, in milliseconds since the Unix epoch
	Suspect int64            `cbor:"7,keyasint,omitempty"` // when it became a suspect, in milliseconds since the Unix epoch

	// Joint is set for a part that calls are refused for only if they have another such part; see isJoint.
	Joint    bool               `cbor:"9,keyasint,omitempty"`
	Accusers []wire.Fingerprint `cbor:"8,keyasint,omitempty"` // of a part: for each of Starts a call with the part that was in flight
}

// Ledger decides which calls, and which parts of prompts, crash upstreams. A crash is recorded for
// all calls that were in flight at the upstream, and for the parts of their prompts. The one that
// causes it is in flight at every upstream that crashes; unrelated ones are in flight at some of them
// and are answered elsewhere. An answer clears only the crashes before it: a later version of the
// upstream may crash under the same call. A part that several calls share explains the crashes of
// each of them; a part that only one call accuses does not, so that the call is barred, which
// refuses fewer others.
//
// A Ledger is deterministic, reads no clock, and can be encoded. It is not safe for concurrent
// use; the Suspects that it returns are immutable.
type Ledger struct {
	Revision uint64                      `cbor:"1,keyasint"`
	Records  map[wire.Fingerprint]Record `cbor:"2,keyasint,omitempty"`
}

// Clone returns a copy that later changes of l do not affect.
func (l Ledger) Clone() Ledger {
	l.Records = maps.Clone(l.Records)
	return l
}

// Apply applies a report and returns which calls it cleared and barred, and whose bar it lifted. now is in
// milliseconds since the Unix epoch.
func (l *Ledger) Apply(r *wire.CrashReport, now int64) wire.QuarantineChange {
	var change wire.QuarantineChange
	before := l.suspectList()
	for _, call := range r.Answered {
		if l.clear(call, now) {
			change.Cleared = append(change.Cleared, call.Fingerprint)
		}
	}
	for _, crash := range r.Crashes {
		for _, call := range crash.Calls {
			l.addCrash(call, crash.Upstream, now)
		}
	}
	l.updateBars(now, &change)
	l.updateRevision(before)
	return change
}

// Lift removes a call's record, and reports whether there was one.
func (l *Ledger) Lift(f wire.Fingerprint) bool {
	if _, known := l.Records[f]; !known {
		return false
	}
	before := l.suspectList()
	delete(l.Records, f)
	l.updateRevision(before)
	return true
}

// NextExpiry returns when the next record expires, in milliseconds since the Unix epoch.
func (l *Ledger) NextExpiry() int64 {
	due := int64(math.MaxInt64)
	for _, r := range l.Records {
		due = min(due, r.At+recordTTL.Milliseconds()+1)
	}
	return due
}

// Expire drops records that are older than recordTTL. A barred call becomes a suspect instead. now is in
// milliseconds since the Unix epoch.
func (l *Ledger) Expire(now int64) {
	var old []Record
	for _, r := range l.Records {
		if now-r.At > recordTTL.Milliseconds() {
			old = append(old, r)
		}
	}
	if len(old) == 0 {
		return
	}
	before := l.suspectList()
	for _, r := range old {
		l.expire(r, now)
	}
	l.updateRevision(before)
}

func (l *Ledger) expire(r Record, now int64) {
	if !r.Barred {
		delete(l.Records, r.Call.Fingerprint)
		return
	}
	r.Barred, r.Since, r.At = false, now, now
	r.limitStarts(barAfter - 1) // one more crash bars it again
	l.Records[r.Call.Fingerprint] = r
}

// addCrash records that an upstream crashed with the call in flight.
func (l *Ledger) addCrash(call wire.CallSummary, start wire.Start, now int64) {
	r := l.record(call, now)
	if slices.Contains(r.Starts, start) {
		return
	}
	r.At = now
	r.Starts = append(slices.Clone(r.Starts), start)
	if call.Kind == wire.SuspectPart {
		r.Accusers = append(slices.Clone(r.Accusers), call.Accuser)
	}
	r.limitStarts(maxStartsPerRecord)
	if r.Suspect == 0 && r.crashes() >= suspectAfter {
		r.Suspect = now
	}
	l.Records[call.Fingerprint] = r
}

// record returns the record of the call, or a new one that is not stored yet.
func (l *Ledger) record(call wire.CallSummary, now int64) Record {
	if r, known := l.Records[call.Fingerprint]; known {
		return r
	}
	if l.Records == nil {
		l.Records = map[wire.Fingerprint]Record{}
	}
	l.evict(call.Kind)
	return Record{Call: call, Since: now}
}

// clear records that an upstream answered the call, which shows that the call did not cause the earlier
// crashes. It reports whether that changes the record.
func (l *Ledger) clear(call wire.CallSummary, now int64) bool {
	r := l.record(call, now)
	if r.Cleared && len(r.Starts) == 0 {
		return false
	}
	r.Cleared, r.Barred, r.Joint, r.Since, r.At, r.Suspect = true, false, false, now, now, 0
	r.Starts, r.Accusers = nil, nil
	l.Records[call.Fingerprint] = r
	return true
}

// evict drops records if the ledger is full of their kind: of those that are not barred the ones with the fewest
// crashes, of the customer with the most records, or, if all are barred, of that customer. So one customer cannot
// displace the others' records, nor parts those of calls.
func (l *Ledger) evict(kind wire.SuspectKind) {
	limit, batch := maxRecords, 1
	if kind == wire.SuspectPart {
		limit, batch = maxPartRecords, evictedParts
	}
	if len(l.Records) < limit {
		return
	}
	perCustomer := map[string]int{}
	var records []Record
	for _, r := range l.Records {
		if r.Call.Kind == kind {
			records = append(records, r)
			perCustomer[r.Call.Customer]++
		}
	}
	if len(records) < limit {
		return
	}
	slices.SortFunc(records, func(a, b Record) int {
		byCustomer := cmp.Compare(perCustomer[b.Call.Customer], perCustomer[a.Call.Customer])
		byAge := cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Call.Fingerprint, b.Call.Fingerprint))
		switch {
		case a.Barred && b.Barred:
			return cmp.Or(byCustomer, byAge)
		case a.Barred:
			return 1
		case b.Barred:
			return -1
		}
		return cmp.Or(cmp.Compare(len(a.Starts), len(b.Starts)), byCustomer, byAge)
	})
	for _, victim := range records[:batch] {
		delete(l.Records, victim.Call.Fingerprint)
	}
}

// suspectList returns the suspects that are published to all processes, sorted by fingerprint.
func (l *Ledger) suspectList() []wire.Suspect {
	var out []wire.Suspect
	for f, r := range l.Records {
		if r.Barred || r.Joint || r.crashes() >= suspectAfter {
			out = append(out, wire.Suspect{Kind: r.Call.Kind, Fingerprint: f, Shape: r.Call.Shape, Barred: r.Barred, Joint: r.Joint, Since: r.barredSince()})
		}
	}
	slices.SortFunc(out, func(a, b wire.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// updateRevision increments the revision if the published list differs from before.
func (l *Ledger) updateRevision(before []wire.Suspect) {
	if !slices.Equal(before, l.suspectList()) {
		l.Revision++
	}
}

// unambiguousSuspects returns the suspects, of which only those are barred that have enough crashes
// regardless of what else was in flight.
func (l *Ledger) unambiguousSuspects() wire.Suspects {
	out := wire.Suspects{Revision: l.Revision}
	for _, s := range l.suspectList() {
		r := l.Records[s.Fingerprint]
		s.Barred = r.crashes() >= barAfterAmbiguous && (r.Barred || r.Call.Kind == wire.SuspectCall)
		s.Joint = s.Joint && r.crashes() >= barAfterAmbiguous
		out.List = append(out.List, s)
	}
	return out
}

// Suspects returns the list that is published to all processes.
func (l *Ledger) Suspects() wire.Suspects {
	return wire.Suspects{Revision: l.Revision, List: l.suspectList()}
}

// Entries returns all records for the admin API, sorted by fingerprint.
func (l *Ledger) Entries() []wire.QuarantineEntry {
	out := make([]wire.QuarantineEntry, 0, len(l.Records))
	for _, f := range slices.Sorted(maps.Keys(l.Records)) {
		out = append(out, l.Records[f].entry())
	}
	return out
}

func (r Record) entry() wire.QuarantineEntry {
	e := wire.QuarantineEntry{Call: r.Call, State: wire.QuarantineSuspected, Since: r.Since, Upstreams: r.Starts}
	switch {
	case r.Barred:
		e.State = wire.QuarantineBarred
	case r.Joint:
		e.State = wire.QuarantineJoint
	case r.Cleared:
		e.State = wire.QuarantineCleared
	}
	return e
}
