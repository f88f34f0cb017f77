package wire

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

// NewAttemptID returns an id for a new attempt: a UUID of version 7 (RFC 9562). It contains
// the time of issue by the issuer's clock, so that a gate which no longer remembers an
// attempt can tell from the id whether it may have known it.
func NewAttemptID() AttemptID {
	return AttemptID(uuid.Must(uuid.NewV7()).String())
}

// AttemptIDAt returns an attempt id as if issued at t, for tests. n makes it unique.
func AttemptIDAt(t time.Time, n uint64) AttemptID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], n)
	id[6] = 0x70
	id[8] = id[8]&0x3f | 0x80
	return AttemptID(id.String())
}

// Issued returns the time of issue, in whole milliseconds. It returns false for an id that
// NewAttemptID did not generate.
func (id AttemptID) Issued() (time.Time, bool) {
	u, err := uuid.Parse(string(id))
	if err != nil || u.Version() != 7 || u.String() != string(id) {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(u[:8]) >> 16)), true
}
