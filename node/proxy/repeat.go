package proxy

import (
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/node/logging"
)

// reason is why an upstream gets a call of which one has got a call before. Its text is
// a label of metrics and logs.
type reason string

const (
	afterFailure reason = "failed"        // no answer, one that was cut, or a failure of the upstream's own
	afterRefusal reason = "refused"       // not run: the upstream was full, or none was reached
	inputsLost   reason = "inputs-lost"   // not run: results of the stages were gone
	addressMoved reason = "address-moved" // not run: another upstream has the address
)

func reasonOf(err *verdict.Error) reason {
	if err.Verdict == verdict.NotRun {
		return afterRefusal
	}
	return afterFailure
}

// mayRepeat reports whether another upstream may be tried after err, and counts it.
func (x *exchange) mayRepeat(err *verdict.Error) bool {
	switch {
	case x.sends >= x.route.Attempts, err.Code == verdict.CodeQuarantined:
		return false
	case err.Code == verdict.CodeNoEndpoint, x.upstreamPause() > 0: // there is none
		return false
	}
	return x.allowRepeat(reasonOf(err))
}

// maySend reports whether the call may reach an upstream once more. Nothing is sent beyond a
// call's first time without asking: upstreams count each arrival, also those that they reject.
func (x *exchange) allowRepeat(why reason) bool {
	if time.Until(x.deadline) < minTimeLeft || x.isSuspect() {
		return false
	}
	d := x.s.repeats.Take(x.service.Name)
	result, total := "allowed", repeatsVar
	if !d.Allowed {
		result, total = "denied", deniedVar
	}
	total.Add(x.service.Name+"/"+string(why), 1)
	x.s.log.Info("repeat", "request", x.call.ID, "service", x.service.Name, "result", result, "reason", why,
		"first", d.First, "repeats", d.Extra, "fixed", d.Fixed, "members", d.Members, "settled", d.Settled, "stamp_age", logging.Age(x.s.views.StampAge()))
	x.repeatReason = why
	return d.Allowed
}

// minLeft is the time under which another try is pointless.
const minTimeLeft = 30 * time.Millisecond
