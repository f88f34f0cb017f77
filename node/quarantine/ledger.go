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
	// barAfter is how many upstreams end under a call until it is barred.
	barAfter = 3
	// barDespite is the same where other barred calls were on these upstreams too, or the call
	// was answered before.
	barDespite = 5
	// tellFrom is how many ends make a call known to all processes: they report when it is answered.
	tellFrom = 2
	// keepTime is how long a call is remembered after the last upstream ended under it. One
	// that was barred may then run once more: upstreams may have been mended.
	keepTime = 24 * time.Hour
	// maxRecords and maxStarts bound what a caller can make the replicas hold.
	maxRecords = 512
	maxStarts  = 16
)

// Record is what is known of one call. Its slices are replaced, never changed.
type Record struct {
	Call    wire.CallSummary `cbor:"1,keyasint"`
	Starts  []wire.Start     `cbor:"2,keyasint"` // of upstreams that ended under it, the latest last
	Barred  bool             `cbor:"3,keyasint,omitempty"`
	Cleared bool             `cbor:"4,keyasint,omitempty"` // it was answered once; Starts are those since the last time
	Since   int64            `cbor:"5,keyasint"`           // Barred or Cleared changed; milliseconds since the Unix epoch
	At      int64            `cbor:"6,keyasint"`           // last accused
}

// Ledger weighs which calls end upstreams. An end accuses all calls that the upstream had. The
// call that causes it is on each upstream that ends; those beside it are on some, and are answered elsewhere. An
// answer counts for what was before: a later version of the upstream may end under the same call.
//
// It is deterministic, reads no clock, and can be encoded. One goroutine owns it; Suspects are
// immutable.
type Ledger struct {
	Revision uint64                      `cbor:"1,keyasint"`
	Records  map[wire.Fingerprint]Record `cbor:"2,keyasint,omitempty"`
}

// Clone returns a ledger that stays as it is.
func (l Ledger) Clone() Ledger {
	l.Records = maps.Clone(l.Records)
	return l
}

// Take takes over a report. now is in milliseconds since the Unix epoch.
func (l *Ledger) Take(r *wire.CrashReport, now int64) wire.QuarantineChange {
	var change wire.QuarantineChange
	before := l.known()
	for _, call := range r.Answered {
		if l.clear(call, now) {
			change.Cleared = append(change.Cleared, call.Fingerprint)
		}
	}
	for _, crash := range r.Crashes {
		for _, call := range crash.Calls {
			l.accuse(call, crash.Upstream, now)
		}
	}
	l.judge(now, &change)
	l.published(before)
	return change
}

// Lift forgets a call, and reports whether it was known.
func (l *Ledger) Lift(f wire.Fingerprint) bool {
	if _, known := l.Records[f]; !known {
		return false
	}
	before := l.known()
	delete(l.Records, f)
	l.published(before)
	return true
}

// Due returns when Expire has something to do, in milliseconds since the Unix epoch.
func (l *Ledger) Due() int64 {
	due := int64(math.MaxInt64)
	for _, r := range l.Records {
		due = min(due, r.At+keepTime.Milliseconds()+1)
	}
	return due
}

// Expire forgets calls under which no upstream has ended lately. One that was barred stays a suspect.
func (l *Ledger) Expire(now int64) {
	var old []Record
	for _, r := range l.Records {
		if now-r.At > keepTime.Milliseconds() {
			old = append(old, r)
		}
	}
	if len(old) == 0 {
		return
	}
	before := l.known()
	for _, r := range old {
		l.expire(r, now)
	}
	l.published(before)
}

func (l *Ledger) expire(r Record, now int64) {
	if !r.Barred {
		delete(l.Records, r.Call.Fingerprint)
		return
	}
	r.Barred, r.Since, r.At = false, now, now
	r.Starts = slices.Clone(r.Starts[max(0, len(r.Starts)-tellFrom):])
	l.Records[r.Call.Fingerprint] = r
}

// accuse notes that an upstream ended under the call.
func (l *Ledger) accuse(call wire.CallSummary, start wire.Start, now int64) {
	r := l.record(call, now)
	if slices.Contains(r.Starts, start) {
		return
	}
	r.At = now
	r.Starts = append(slices.Clone(r.Starts), start)
	r.Starts = r.Starts[max(0, len(r.Starts)-maxStarts):]
	l.Records[call.Fingerprint] = r
}

// record returns the record of the call, a new one where there is none.
func (l *Ledger) record(call wire.CallSummary, now int64) Record {
	if r, known := l.Records[call.Fingerprint]; known {
		return r
	}
	if l.Records == nil {
		l.Records = map[wire.Fingerprint]Record{}
	}
	l.makeRoom()
	return Record{Call: call, Since: now}
}

// judge bars the calls under which enough upstreams have ended that no other call explains. Reports come
// one after the other, so a late one may show that a barred call was merely beside another one.
func (l *Ledger) judge(now int64, change *wire.QuarantineChange) {
	suspects, on := l.suspects()
	for _, r := range suspects {
		if r.Barred && len(r.Starts) < barDespite && l.covered(r, on) {
			r.Barred, r.Since = false, now
			l.Records[r.Call.Fingerprint] = r
			change.Lifted = append(change.Lifted, r.Call.Fingerprint)
		}
	}
	for _, r := range suspects {
		if l.Records[r.Call.Fingerprint].Barred || !l.ends(r, on) {
			continue
		}
		r.Barred, r.Since = true, now
		l.Records[r.Call.Fingerprint] = r
		change.Barred = append(change.Barred, r.entry())
	}
}

// onStart lists the calls that were on an upstream when it ended.
type onStart map[wire.Start][]wire.Fingerprint

// suspects returns the calls that may be barred, those that were on most upstreams first: they explain
// the ends that accuse the others.
func (l *Ledger) suspects() ([]Record, onStart) {
	var out []Record
	on := onStart{}
	for f, r := range l.Records {
		if len(r.Starts) < barAfter {
			continue
		}
		out = append(out, r)
		for _, start := range r.Starts {
			on[start] = append(on[start], f)
		}
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(len(b.Starts), len(a.Starts)), cmp.Compare(a.Call.Fingerprint, b.Call.Fingerprint))
	})
	return out, on
}

// ends reports whether the call is taken for one that ends upstreams.
func (l *Ledger) ends(r Record, on onStart) bool {
	if len(r.Starts) >= barDespite {
		return true
	}
	if r.Cleared || l.covered(r, on) {
		return false // another was on all of these upstreams too: the next end tells the two apart
	}
	own := 0
	for _, start := range r.Starts {
		if !l.explained(r, on[start]) {
			own++
		}
	}
	return own >= barAfter
}

// explained reports whether one of the other calls on an upstream is barred.
func (l *Ledger) explained(r Record, calls []wire.Fingerprint) bool {
	for _, f := range calls {
		if f != r.Call.Fingerprint && l.Records[f].Barred {
			return true
		}
	}
	return false
}

// covered reports whether another suspect was on all upstreams that r was on.
func (l *Ledger) covered(r Record, on onStart) bool {
	for _, f := range on[r.Starts[0]] {
		other := l.Records[f]
		if f != r.Call.Fingerprint && !other.Cleared && within(r.Starts, other.Starts) {
			return true
		}
	}
	return false
}

func within(part, whole []wire.Start) bool {
	for _, start := range part {
		if !slices.Contains(whole, start) {
			return false
		}
	}
	return true
}

// clear takes an upstream's answer as proof that the call did not end those before, and reports whether
// that is new.
func (l *Ledger) clear(call wire.CallSummary, now int64) bool {
	r := l.record(call, now)
	if r.Cleared && len(r.Starts) == 0 {
		return false
	}
	r.Cleared, r.Barred, r.Starts, r.Since, r.At = true, false, nil, now, now
	l.Records[call.Fingerprint] = r
	return true
}

// makeRoom forgets the record that tells least when there are too many: of the calls that are
// not barred the one with the fewest ends, and of barred ones one of the customer who has most.
func (l *Ledger) makeRoom() {
	if len(l.Records) < maxRecords {
		return
	}
	of := map[string]int{}
	for _, r := range l.Records {
		of[r.Call.Customer]++
	}
	records := slices.Collect(maps.Values(l.Records))
	least := slices.MinFunc(records, func(a, b Record) int {
		byCustomer := cmp.Compare(of[b.Call.Customer], of[a.Call.Customer])
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
	delete(l.Records, least.Call.Fingerprint)
}

// known returns what processes are told.
func (l *Ledger) known() []wire.Suspect {
	var out []wire.Suspect
	for f, r := range l.Records {
		if r.Barred || len(r.Starts) >= tellFrom {
			out = append(out, wire.Suspect{Fingerprint: f, Shape: r.Call.Shape, Barred: r.Barred})
		}
	}
	slices.SortFunc(out, func(a, b wire.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// published counts the revision on when what processes are told has changed.
func (l *Ledger) published(before []wire.Suspect) {
	if !slices.Equal(before, l.known()) {
		l.Revision++
	}
}

// certain returns the calls that are barred whatever else was on their upstreams.
func (l *Ledger) certain() wire.Suspects {
	out := wire.Suspects{Revision: l.Revision}
	for _, s := range l.known() {
		s.Barred = len(l.Records[s.Fingerprint].Starts) >= barDespite
		out.List = append(out.List, s)
	}
	return out
}

// Suspects returns what processes are told.
func (l *Ledger) Suspects() wire.Suspects {
	return wire.Suspects{Revision: l.Revision, List: l.known()}
}

// Entries returns all calls for operators, sorted by fingerprint.
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
