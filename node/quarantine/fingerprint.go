// Package quarantine detects calls that crash every upstream which runs them ("queries of death") and bars
// them from the upstreams. A call is identified by a fingerprint of its content, since each attempt has an ID
// of its own and may arrive at any process. Calls that differ may crash upstreams because of a part of their
// prompts that they share, so parts are suspects of their own, by the same evidence.
package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"io"
	"slices"

	"caperdrum.org/api/wire"
)

// Call holds the fields by which two calls count as copies of each other, and the parts of the call's prompt.
type Call struct {
	Customer string // calls of different customers never count as copies
	Method   string
	Host     string
	Target   string // path and query
	Body     []byte

	Service string   // to whose upstreams it is sent
	Parts   []string // IDs of the parts of its prompt that other calls may share
}

// maxParts bounds the parts of one prompt that are looked at.
const maxParts = 32

// parts returns the parts of the call's prompt that are looked at.
func (c Call) parts() []string { return c.Parts[:min(len(c.Parts), maxParts)] }

// HasPart reports whether the suspect is a part of the call's prompt.
func (c Call) HasPart(suspect wire.Fingerprint) bool {
	return slices.ContainsFunc(c.parts(), func(id string) bool { return partFingerprint(c.Service, id) == suspect })
}

// partSummary returns the summary of a part of the call's prompt. The customer is the one whose call was seen first;
// the part is the same one in calls of others.
func (c Call) partSummary(id, route string) wire.CallSummary {
	return wire.CallSummary{Kind: wire.SuspectPart, Service: c.Service, Part: id, Fingerprint: partFingerprint(c.Service, id), Customer: c.Customer, Route: route}
}

// partFingerprint returns a hash of a part. Upstreams of another service run other software, so there the same part is
// another suspect.
func partFingerprint(service, id string) wire.Fingerprint {
	h := sha256.New()
	for _, field := range []string{string(wire.SuspectPart), service, id} {
		writeField(h, field)
	}
	return encodeHash(h)
}

// fingerprintBytes is how much of the hash is kept: 128 bits resist second preimages.
const fingerprintBytes = 16

// Fingerprint returns a hash of the call that is the same in all processes and across restarts.
func (c Call) Fingerprint() wire.Fingerprint {
	h := sha256.New()
	for _, field := range []string{c.Customer, c.Method, c.Host, c.Target} {
		writeField(h, field)
	}
	h.Write(c.Body)
	return encodeHash(h)
}

func encodeHash(h hash.Hash) wire.Fingerprint {
	return wire.Fingerprint(base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// writeField writes the field prefixed by its length, so that different calls never hash the same bytes.
// Write on a hash never returns an error.
func writeField(h io.Writer, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write([]byte(field))
}
