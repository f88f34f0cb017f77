// Package streamorigin records at which software version of its service each stream began, so that it goes on only
// there: what two versions write of one stream does not fit together, and upstreams do not check it.
//
// A caller that takes a stream up again may reach any process, also after the one that served it was lost. So the
// process at which a stream begins records it at a few others before the first event goes out, in different data
// centres where there are any. The holders follow from the stream's key and the member list (Placement). They are
// asked by the process at which the caller takes the stream up. Records are never changed, so a copy is never out of
// date, however long its process was suspended or cut off. A stream of which no process that answers has a record is
// not known, and must not go on.
//
// Records are in memory only. They are lost if all their holders are, and expire when no caller can take the stream
// up any more.
package streamorigin

import (
	"time"

	"caperdrum.org/api/wire"
)

// Key identifies a stream. Customers cannot find the streams of others, whatever id they name.
type Key struct {
	Customer string `json:"customer,omitempty"` // empty on public routes
	Attempt  string `json:"attempt"`            // id of the caller's attempt that brought the first event
}

// Origin says where a stream began.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version,omitempty"` // software version of the upstream; empty if it reports none
}

// Record is a stream's origin as processes tell each other.
type Record struct {
	Key
	Origin
	TTL time.Duration `json:"ttl"` // how much longer a caller can take the stream up
}

// Send is a record to be sent to a process.
type Send struct {
	To     wire.Member
	Record Record
}

const (
	// copies is how many other processes hold a record.
	copies = 2
	// maxFailures is how many processes that did not take a record are replaced by others.
	maxFailures = 2
	// askedProcesses is how many processes are asked for a record. It is above copies and maxFailures, since
	// member lists differ between processes for a while after a change.
	askedProcesses = 8
	// MaxTTL bounds how long a record is kept.
	MaxTTL = 10 * time.Minute
)
