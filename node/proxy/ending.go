package proxy

import (
	"caperdrum.org/node/upstream"
)

// end ends the attempt, the body of whose response has ended as b says. The verdict that it returns decides what the caller
// gets, and what is learned of the upstream.
func (x *exchange) end(a *attempt, b upstream.BodyEnd) upstream.Ending {
	ending := a.response.Ending(b, func() upstream.ProcessState { return upstream.ProcessUnknown })
	answersEndedVar.Add(x.service.Name+"/"+string(a.response.Framing())+"/"+string(ending), 1)
	if ending.BrokenOff() {
		x.investigateBreak(a.member)
	}
	x.discard(a, outcomeOf(ending))
	return ending
}

func outcomeOf(e upstream.Ending) callOutcome {
	switch {
	case e.Complete():
		return callAnswered
	case e == upstream.EndedAbandoned:
		return callUnknown
	default:
		return callFailed
	}
}
