package proxy

import (
	"caperdrum.org/node/upstream"
)

// ending returns the verdict on how the attempt's response ended, and counts it.
func (x *exchange) ending(a *attempt, end upstream.BodyEnd) upstream.Ending {
	ending := a.response.Ending(end, func() upstream.ProcessState { return upstream.ProcessUnknown })
	answersEndedVar.Add(x.service.Name+"/"+string(a.response.Framing())+"/"+string(ending), 1)
	return ending
}
