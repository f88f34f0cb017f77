package proxy

import (
	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// end ends the attempt, the body of whose response has ended as b says. The verdict that it returns decides what the caller
// gets, and what is learned of the upstream.
func (x *exchange) end(a *attempt, b upstream.BodyEnd) upstream.Ending {
	ending := a.response.Ending(b, func() upstream.ProcessState { return x.s.processState(a.member) })
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

// processState returns whether the upstream's process still runs: the kernel closes the connections of one that has
// crashed in order. It may take as long as the connection to an unreachable VM. An upstream that leaves ends as it says
// so, after its answers: one that is gone as an answer ends was taken away in the middle of it.
func (s *Service) processState(m wire.Member) upstream.ProcessState {
	current, known := s.table.Load().members.Get(m.ID)
	if known && current.Start() != m.Start() {
		return upstream.ProcessGone
	}
	return upstream.Probe(m.Direct, !known || current.Leaving)
}
