package proxy

import (
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/node/logging"
)

// reason is why a call is sent to an upstream again. Its text is a label of metrics and logs.
type reason string

const (
	afterFailure reason = "failed"        // no response, an incomplete one, or a server error
	afterRefusal reason = "refused"       // not run: the upstream refused the call or could not be reached
	inputsLost   reason = "inputs-lost"   // not run: results of the stages were lost
	addressMoved reason = "address-moved" // not run: another upstream answered at the address
)

func reasonOf(err *verdict.Error) reason {
	if err.Verdict == verdict.NotRun {
		return afterRefusal
	}
	return afterFailure
}

// mayRepeat reports whether another upstream may be tried after err, and counts the repeat if so.
func (x *exchange) mayRepeat(err *verdict.Error) bool {
	switch {
	case x.sends >= x.route.Attempts, err.Code == verdict.CodeQuarantined, x.repeatOutlastsStop():
		return false
	case err.Code == verdict.CodeNoEndpoint, x.upstreamPause() > 0: // no upstream is left to try
		return false
	}
	return x.allowRepeat(reasonOf(err))
}

// allowRepeat asks the quota whether the call may be sent once more, and counts the repeat if so. Everything that
// reaches an upstream after a call's first attempt must be allowed here: upstreams count rejected arrivals as well.
func (x *exchange) allowRepeat(why reason) bool {
	if time.Until(x.deadline) < minTimeLeft || x.isSuspect() {
		return false
	}
	d := x.s.repeats.Take(x.service.Name)
	result, counter := "allowed", repeatsVar
	if !d.Allowed {
		result, counter = "denied", deniedVar
	}
	counter.Add(x.service.Name+"/"+string(why), 1)
	x.s.log.Info("repeat", "request", x.call.ID, "service", x.service.Name, "result", result, "reason", why,
		"first", d.First, "repeats", d.Repeats, "fixed", d.Fixed, "members", d.Members, "settled", d.Settled, "stamp_age", logging.Age(x.s.views.StampAge()))
	x.repeatReason = why
	return d.Allowed
}

// minTimeLeft is the time before the deadline below which a repeat is pointless.
const minTimeLeft = 30 * time.Millisecond
