package proxy

import (
	"time"

	"caperdrum.org/api/verdict"
)

// reason is why an upstream gets a call of which one has got a call before. Its text is
// a label of metrics and logs.
type reason string

const (
	afterFailure reason = "failed"        // no answer, one that was cut, or a failure of the upstream's own
	afterRefusal reason = "refused"       // not run: the upstream was full
	inputsLost   reason = "inputs-lost"   // not run: results of the stages were gone
	addressMoved reason = "address-moved" // not run: another upstream has the address
)

func reasonOf(err *verdict.Error) reason {
	if err.Verdict == verdict.NotRun {
		return afterRefusal
	}
	return afterFailure
}

// mayRepeat reports whether another upstream may be tried, and counts it.
func (x *exchange) mayRepeat(why reason) bool {
	if x.sends >= x.route.Attempts || time.Until(x.deadline) < minLeft {
		return false
	}
	d := x.s.repeats.Take(x.service.Name)
	result, total := "allowed", repeatsVar
	if !d.Allowed {
		result, total = "denied", deniedVar
	}
	total.Add(x.service.Name+"/"+string(why), 1)
	x.s.log.Info("repeat", "request", x.call.ID, "service", x.service.Name, "result", result, "reason", why,
		"first", d.First, "repeats", d.Extra, "fixed", d.Fixed, "members", d.Members, "stamp_age", x.s.sync.StampAge())
	x.again = why
	return d.Allowed
}

// unasked notes a repeat that was not asked for.
func (x *exchange) unasked(why reason) {
	x.again = why
	repeatsVar.Add(x.service.Name+"/"+string(why), 1)
	x.s.log.Info("repeat", "request", x.call.ID, "service", x.service.Name, "result", "unasked", "reason", why, "stamp_age", x.s.sync.StampAge())
}

// minLeft is the time under which another try is pointless.
const minLeft = 30 * time.Millisecond
