// Package quarantine detects calls that crash every upstream which runs them ("queries of death") and bars
// them from the upstreams. A call is identified by a fingerprint of its content, since each attempt has an ID
// of its own and may arrive at any process.
package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"io"

	"caperdrum.org/api/wire"
)

// Call holds the fields by which two calls count as copies of each other.
type Call struct {
	Customer string // calls of different customers never count as copies
	Method   string
	Host     string
	Target   string // path and query
	Body     []byte
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
