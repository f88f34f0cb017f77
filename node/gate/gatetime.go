package gate

import (
	"net/http"
	"strconv"
	"time"

	"caperdrum.org/api/wire"
)

// The gate forgets ended attempts after a while, so "never seen" proves
// nothing about an old one. Gate time mends that without clocks in step: an
// entry reads the gate's own clock before it claims a key and sends the reading
// with the attempt and with every later question about it.
//
//   - A submission whose reading is older than a part of the keep time is
//     refused, so that no tombstone can be forgotten before its attempt comes.
//   - An unknown attempt whose reading is older than the whole keep time may
//     have run: it is reported as forgotten, never as tombstoned, and a late
//     copy of it leaves no tombstone.

// claimAgeDivisor sets the part of the keep time within which a claimed attempt
// must reach the gate.
const claimAgeDivisor = 2

// gateTime returns milliseconds since the table was made, at least 1.
func (t *table) gateTime() int64 { return t.clock.Since(t.start).Milliseconds() + 1 }

func (t *table) age(gateTime int64) time.Duration {
	return time.Duration(t.gateTime()-gateTime) * time.Millisecond
}

// tooOld reports whether a submission comes too late after its claim.
func (t *table) tooOld(gateTime int64) bool {
	return gateTime > 0 && t.age(gateTime) > t.limits.keep/claimAgeDivisor
}

// beyondMemory reports whether an attempt of this age may have been forgotten.
func (t *table) beyondMemory(gateTime int64) bool {
	return gateTime > 0 && t.age(gateTime) >= t.limits.keep
}

// cancelClaimed is cancelLocked for an attempt whose claim carries a gate
// time; zero says that there is none.
func (t *table) cancelClaimed(id wire.AttemptID, abandon bool, gateTime int64) wire.AttemptStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts[id] == nil && t.beyondMemory(gateTime) {
		return wire.AttemptStatus{Attempt: id, State: wire.AttemptForgotten}
	}
	return t.cancelLocked(id, abandon)
}

func readGateTime(h http.Header) int64 {
	v, err := strconv.ParseInt(h.Get(wire.HeaderGateTime), 10, 64)
	if err != nil {
		return 0
	}
	return v
}

// lateAnswer is how long past its caller's deadline a claimed attempt that has
// started may run on, so that a resend of the key still gets the answer.
const lateAnswer = 30 * time.Second

func (a *attempt) runLimit() time.Time {
	if a.gateTime > 0 {
		return a.deadline.Add(lateAnswer)
	}
	return a.deadline
}
