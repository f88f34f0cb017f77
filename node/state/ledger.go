package state

import (
	"slices"
	"sort"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// LedgerLifetime is how long a key is kept after its claim, and again after its settlement. A resend after
// that counts as a new call.
const LedgerLifetime = 24 * time.Hour

// ledgerEntryOverhead is the memory of an entry in bytes, without its strings and its answer: map slot,
// structs and expiry record.
const ledgerEntryOverhead = 430

// ledgerEntry is immutable, so that a snapshot can be encoded while commands are applied.
type ledgerEntry struct {
	Claim   wire.ClaimRequest `cbor:"1,keyasint"`
	Outcome *wire.Outcome     `cbor:"2,keyasint,omitempty"`
	At      int64             `cbor:"3,keyasint"` // time of the claim, then of the settlement; milliseconds since the Unix epoch
}

func (e *ledgerEntry) size() int64 {
	c := &e.Claim
	n := len(c.Customer) + len(c.Key) + len(c.BodyHash) + len(c.Attempt) + len(c.Endpoint) + len(c.Gate) + len(c.RequestID)
	if e.Outcome != nil {
		n += len(e.Outcome.ContentType) + len(e.Outcome.Body)
	}
	return int64(ledgerEntryOverhead + n)
}

// ledger maps each idempotency key to the attempt that holds it and, once known, to its outcome.
type ledger struct {
	entries        map[wire.ClaimKey]*ledgerEntry
	expiryQueue    []expiryRecord // ordered by time; an entry that changed has a later record as well
	unsettled      []*ledgerEntry // unsettled claims ordered by time, with some that have since left entries
	unsettledCount int            // number of unsettled claims in entries
	bytes          int64
}

type expiryRecord struct {
	key wire.ClaimKey
	at  int64
}

func newLedger(list []*ledgerEntry) ledger {
	l := ledger{entries: make(map[wire.ClaimKey]*ledgerEntry, len(list))}
	for _, e := range list {
		l.put(e)
	}
	sort.SliceStable(l.expiryQueue, func(i, j int) bool { return l.expiryQueue[i].at < l.expiryQueue[j].at })
	sort.SliceStable(l.unsettled, func(i, j int) bool { return l.unsettled[i].At < l.unsettled[j].At })
	return l
}

func (l *ledger) put(e *ledgerEntry) {
	key := e.Claim.ClaimKey
	l.remove(key)
	l.entries[key] = e
	l.bytes += e.size()
	l.expiryQueue = append(l.expiryQueue, expiryRecord{key, e.At})
	if e.Outcome == nil {
		l.unsettled = append(l.unsettled, e)
		l.unsettledCount++
	}
	if len(l.unsettled) > 2*l.unsettledCount+unsettledSlack {
		l.unsettled = slices.DeleteFunc(l.unsettled, func(e *ledgerEntry) bool { return l.entries[e.Claim.ClaimKey] != e })
	}
}

// unsettledSlack is the minimum number of stale elements in ledger.unsettled before it is compacted, which
// keeps the amortized cost per claim constant.
const unsettledSlack = 1024

// unsettledClaims returns up to n unsettled claims made at or before limit, oldest first, without those for
// which skip is true. It visits at most twice the number of unsettled claims plus unsettledSlack.
func (l *ledger) unsettledClaims(limit int64, n int, skip func(wire.AttemptID) bool) []wire.ClaimRequest {
	var out []wire.ClaimRequest
	for _, e := range l.unsettled {
		if len(out) >= n || e.At > limit {
			break
		}
		if l.entries[e.Claim.ClaimKey] == e && !skip(e.Claim.Attempt) {
			out = append(out, e.Claim)
		}
	}
	return out
}

func (l *ledger) remove(key wire.ClaimKey) {
	if e := l.entries[key]; e != nil {
		l.bytes -= e.size()
		if e.Outcome == nil {
			l.unsettledCount--
		}
		delete(l.entries, key)
	}
}

func (l *ledger) claim(c wire.ClaimRequest, now, limit int64) wire.ClaimReply {
	e := l.entries[c.ClaimKey]
	if e == nil {
		if limit > 0 && l.bytes >= limit {
			return wire.ClaimReply{State: wire.ClaimFull}
		}
		l.put(&ledgerEntry{Claim: c, At: now})
		return wire.ClaimReply{State: wire.ClaimGranted}
	}
	holder := e.Claim
	switch {
	case e.Claim.BodyHash != c.BodyHash:
		return wire.ClaimReply{State: wire.ClaimMismatch}
	case e.Outcome != nil:
		return wire.ClaimReply{State: wire.ClaimSettled, Holder: &holder, Outcome: e.Outcome}
	case e.Claim.Attempt == c.Attempt:
		return wire.ClaimReply{State: wire.ClaimGranted} // duplicate of the same claim
	default:
		return wire.ClaimReply{State: wire.ClaimHeld, Holder: &holder}
	}
}

// settle records the first outcome of the attempt that holds the key and returns the recorded outcome. An
// outcome of another attempt has no effect. An answer that becomes known later replaces MayHaveRun.
func (l *ledger) settle(s wire.SettleRequest, now int64) wire.SettleReply {
	e := l.entries[s.ClaimKey]
	if e == nil || e.Claim.Attempt != s.Attempt {
		return wire.SettleReply{Outcome: s.Outcome}
	}
	if e.Outcome != nil && (e.Outcome.Verdict != verdict.MayHaveRun || s.Outcome.Verdict != verdict.Ran) {
		return wire.SettleReply{Outcome: *e.Outcome}
	}
	if s.Outcome.Verdict == verdict.NotRun {
		l.remove(s.ClaimKey)
		return wire.SettleReply{Outcome: s.Outcome}
	}
	out := s.Outcome
	l.put(&ledgerEntry{Claim: e.Claim, Outcome: &out, At: now})
	return wire.SettleReply{Outcome: out}
}

// expire removes the entries that have not changed for LedgerLifetime.
func (l *ledger) expire(now int64) {
	limit := now - LedgerLifetime.Milliseconds()
	k := 0
	for k < len(l.expiryQueue) && l.expiryQueue[k].at < limit {
		if e := l.entries[l.expiryQueue[k].key]; e != nil && e.At < limit {
			l.remove(l.expiryQueue[k].key)
		}
		k++
	}
	l.expiryQueue = l.expiryQueue[k:]
}
