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
	// barAfter is how many upstreams must crash under a call before it is barred.
	barAfter = 3
	// barAfterAmbiguous is the same for a call that was answered before, or whose crashes another call may
	// explain.
	barAfterAmbiguous = 5
	// suspectAfter is how many crashes make a call a suspect. Suspects are published to all processes, which
	// then report it when such a call is answered.
	suspectAfter = 2
	// recordTTL is how long a call is remembered after its last crash. A barred call may then run once more,
	// as the upstreams may have been fixed.
	recordTTL = 24 * time.Hour
	// maxRecords and maxStartsPerRecord bound the memory that callers can make the replicas use.
	maxRecords         = 512
	maxStartsPerRecord = 16
)

// Record holds the crashes and the state of one call. Its slices are replaced, never modified.
type Record struct {
	Call    wire.CallSummary `cbor:"1,keyasint"`
	Starts  []wire.Start     `cbor:"2,keyasint"` // upstreams that crashed with the call in flight, oldest first
	Barred  bool             `cbor:"3,keyasint,omitempty"`
	Cleared bool             `cbor:"4,keyasint,omitempty"` // it was answered at least once; Starts are the crashes since the last answer
	Since   int64            `cbor:"5,keyasint"`           // when Barred or Cleared last changed, in milliseconds since the Unix epoch
	At      int64            `cbor:"6,keyasint"`           // last change of the record, in milliseconds since the Unix epoch
}

// Ledger decides which calls crash upstreams. A crash is recorded for all calls that were in
// flight at the upstream. The call that causes it is in flight at every upstream that crashes;
// unrelated calls are in flight at some of them and are answered elsewhere. An answer clears only
// the crashes before it: a later version of the upstream may crash under the same call.
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
	r.Starts = slices.Clone(r.Starts[max(0, len(r.Starts)-suspectAfter):])
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
	r.Starts = r.Starts[max(0, len(r.Starts)-maxStartsPerRecord):]
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
	l.evict()
	return Record{Call: call, Since: now}
}

// updateBars bars the calls with enough crashes that no other call explains. It also lifts bars: reports
// arrive one after the other, so a late one may show that a barred call merely ran beside another one.
func (l *Ledger) updateBars(now int64, change *wire.QuarantineChange) {
	suspects, byStart := l.barCandidates()
	for _, r := range suspects {
		if r.Barred && len(r.Starts) < barAfterAmbiguous && l.ambiguous(r, byStart) {
			r.Barred, r.Since = false, now
			l.Records[r.Call.Fingerprint] = r
			change.Lifted = append(change.Lifted, r.Call.Fingerprint)
		}
	}
	for _, r := range suspects {
		if l.Records[r.Call.Fingerprint].Barred || !l.shouldBar(r, byStart) {
			continue
		}
		r.Barred, r.Since = true, now
		l.Records[r.Call.Fingerprint] = r
		change.Barred = append(change.Barred, r.entry())
	}
}

// callsByStart lists the calls that were in flight at an upstream when it crashed.
type callsByStart map[wire.Start][]wire.Fingerprint

// barCandidates returns the records with enough crashes for a bar, most crashes first: once these are barred,
// they explain the crashes of the others.
func (l *Ledger) barCandidates() ([]Record, callsByStart) {
	var out []Record
	byStart := callsByStart{}
	for f, r := range l.Records {
		if len(r.Starts) < barAfter {
			continue
		}
		out = append(out, r)
		for _, start := range r.Starts {
			byStart[start] = append(byStart[start], f)
		}
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(len(b.Starts), len(a.Starts)), cmp.Compare(a.Call.Fingerprint, b.Call.Fingerprint))
	})
	return out, byStart
}

// shouldBar reports whether the call is considered the cause of crashes.
func (l *Ledger) shouldBar(r Record, byStart callsByStart) bool {
	if len(r.Starts) >= barAfterAmbiguous {
		return true
	}
	if r.Cleared || l.ambiguous(r, byStart) {
		return false // another call was in flight at all of these upstreams; the next crash distinguishes them
	}
	unexplained := 0
	for _, start := range r.Starts {
		if !l.hasBarredCall(r, byStart[start]) {
			unexplained++
		}
	}
	return unexplained >= barAfter
}

// hasBarredCall reports whether one of the calls, other than that of r, is barred.
func (l *Ledger) hasBarredCall(r Record, calls []wire.Fingerprint) bool {
	for _, f := range calls {
		if f != r.Call.Fingerprint && l.Records[f].Barred {
			return true
		}
	}
	return false
}

// ambiguous reports whether another candidate, which no answer has cleared, was in flight at all crashes of
// r.
func (l *Ledger) ambiguous(r Record, byStart callsByStart) bool {
	for _, f := range byStart[r.Starts[0]] {
		other := l.Records[f]
		if f != r.Call.Fingerprint && !other.Cleared && isSubset(r.Starts, other.Starts) {
			return true
		}
	}
	return false
}

func isSubset(part, whole []wire.Start) bool {
	for _, start := range part {
		if !slices.Contains(whole, start) {
			return false
		}
	}
	return true
}

// clear records that an upstream answered the call, which shows that the call did not cause the earlier
// crashes. It reports whether that changes the record.
func (l *Ledger) clear(call wire.CallSummary, now int64) bool {
	r := l.record(call, now)
	if r.Cleared && len(r.Starts) == 0 {
		return false
	}
	r.Cleared, r.Barred, r.Starts, r.Since, r.At = true, false, nil, now, now
	l.Records[call.Fingerprint] = r
	return true
}

// evict drops one record if the ledger is full: of the calls that are not barred one with the fewest crashes,
// or, if all are barred, one of the customer with the most records. So one customer cannot displace the
// others' records.
func (l *Ledger) evict() {
	if len(l.Records) < maxRecords {
		return
	}
	perCustomer := map[string]int{}
	for _, r := range l.Records {
		perCustomer[r.Call.Customer]++
	}
	records := slices.Collect(maps.Values(l.Records))
	victim := slices.MinFunc(records, func(a, b Record) int {
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
	delete(l.Records, victim.Call.Fingerprint)
}

// suspectList returns the suspects that are published to all processes, sorted by fingerprint.
func (l *Ledger) suspectList() []wire.Suspect {
	var out []wire.Suspect
	for f, r := range l.Records {
		if r.Barred || len(r.Starts) >= suspectAfter {
			out = append(out, wire.Suspect{Fingerprint: f, Shape: r.Call.Shape, Barred: r.Barred})
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
		s.Barred = len(l.Records[s.Fingerprint].Starts) >= barAfterAmbiguous
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
	case r.Cleared:
		e.State = wire.QuarantineCleared
	}
	return e
}
