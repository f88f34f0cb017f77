package state

import (
	"slices"
	"sort"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// LedgerLifetime is how long a key is kept after its claim, and again after
// its settlement. A resend that comes later is a new call.
const LedgerLifetime = 24 * time.Hour

// ledgerEntryBytes is what an entry costs besides its strings and its answer:
// map slot, structs and expiry record, as measured.
const ledgerEntryBytes = 430

// ledgerEntry is immutable, so that a snapshot can be encoded while commands
// are applied.
type ledgerEntry struct {
	Claim   wire.ClaimRequest `cbor:"1,keyasint"`
	Outcome *wire.Outcome     `cbor:"2,keyasint,omitempty"`
	At      int64             `cbor:"3,keyasint"` // of the claim, then of the settlement
}

func (e *ledgerEntry) size() int64 {
	c := &e.Claim
	n := len(c.Customer) + len(c.Key) + len(c.BodyHash) + len(c.Attempt) + len(c.Endpoint) + len(c.Gate) + len(c.RequestID)
	if e.Outcome != nil {
		n += len(e.Outcome.ContentType) + len(e.Outcome.Body)
	}
	return int64(ledgerEntryBytes + n)
}

// ledger maps idempotency keys to the attempt that holds each, and to its
// outcome once that is known.
type ledger struct {
	entries map[wire.ClaimKey]*ledgerEntry
	expiry  []expiring     // in order of time; an entry that changed since has a later record
	open    []*ledgerEntry // unsettled claims in order of time, and some that are no longer in entries
	openNow int            // unsettled claims in entries
	bytes   int64
}

type expiring struct {
	key wire.ClaimKey
	at  int64
}

func newLedger(list []*ledgerEntry) ledger {
	l := ledger{entries: make(map[wire.ClaimKey]*ledgerEntry, len(list))}
	for _, e := range list {
		l.put(e)
	}
	sort.SliceStable(l.expiry, func(i, j int) bool { return l.expiry[i].at < l.expiry[j].at })
	sort.SliceStable(l.open, func(i, j int) bool { return l.open[i].At < l.open[j].At })
	return l
}

func (l *ledger) put(e *ledgerEntry) {
	key := e.Claim.ClaimKey
	l.remove(key)
	l.entries[key] = e
	l.bytes += e.size()
	l.expiry = append(l.expiry, expiring{key, e.At})
	if e.Outcome == nil {
		l.open = append(l.open, e)
		l.openNow++
	}
	if len(l.open) > 2*l.openNow+openSlack {
		l.open = slices.DeleteFunc(l.open, func(e *ledgerEntry) bool { return l.entries[e.Claim.ClaimKey] != e })
	}
}

// openSlack is how many settled claims stay in open at least, so that it is
// cleaned at a constant cost per claim.
const openSlack = 1024

// held returns up to n unsettled claims that were made at limit or before and
// that skip does not name, the oldest first. The cost is at most that of twice
// the unsettled claims.
func (l *ledger) held(limit int64, n int, skip func(wire.AttemptID) bool) []wire.ClaimRequest {
	var out []wire.ClaimRequest
	for _, e := range l.open {
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
			l.openNow--
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
		return wire.ClaimReply{State: wire.ClaimGranted} // the claim was sent twice
	default:
		return wire.ClaimReply{State: wire.ClaimHeld, Holder: &holder}
	}
}

// settle records the first outcome of the attempt that holds the key. An
// outcome for another attempt has no effect; the outcome that stands is
// returned. An answer that comes to light later replaces MayHaveRun.
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

// expire drops the entries that did not change for LedgerLifetime.
func (l *ledger) expire(now int64) {
	limit := now - LedgerLifetime.Milliseconds()
	k := 0
	for k < len(l.expiry) && l.expiry[k].at < limit {
		if e := l.entries[l.expiry[k].key]; e != nil && e.At < limit {
			l.remove(l.expiry[k].key)
		}
		k++
	}
	l.expiry = l.expiry[k:]
}
