package proxy

import (
	"time"

	"caperdrum.org/api/verdict"
)

// rotationDivisor sets the largest part of the time until a stopping process ends for which it still takes calls: half of
// it. The rest is left for them to end.
const rotationDivisor = 2

// rotation is how long a stopping process still takes calls.
func (s *Service) rotation() time.Duration {
	return min(s.set.Proxy.Rotation, s.set.Node.DrainTimeout/rotationDivisor)
}

func (s *Service) stopping() bool { return s.stopAt.Load() != nil }

// finalResponsesAt returns when the process gives the calls that are left their final responses, if it is stopping.
func (s *Service) finalResponsesAt() (at time.Time, stopping bool) {
	if t := s.stopAt.Load(); t != nil {
		return *t, true
	}
	return time.Time{}, false
}

// checkStop refuses a call that would probably outlast this process, and gives others no more time than the process has: the
// caller is served elsewhere, as nothing has run.
func (x *exchange) checkStop() *verdict.Error {
	at, stopping := x.s.finalResponsesAt()
	if !stopping {
		return nil
	}
	if expected := x.expectedTime(); time.Now().Add(expected).After(at) {
		return verdict.New(verdict.NotRun, verdict.CodeShuttingDown, "this process ends its calls in %s, and the call may take %s", time.Until(at), expected).WithRetryAfter(defaultRetryAfter)
	}
	if x.deadline.After(at) {
		x.deadline = at
	}
	return nil
}

// expectedTime is the time that few calls of the route exceed. Without any call to tell, it is all that the call has.
func (x *exchange) expectedTime() time.Duration {
	left := time.Until(x.deadline)
	if most := x.s.callTimes.Most(x.route.Name); most > 0 {
		return min(most, left)
	}
	return left
}

// repeatOutlastsStop reports whether a repeat of the call would probably outlast this process. A stream that has begun only
// needs the rest of its time.
func (x *exchange) repeatOutlastsStop() bool {
	at, stopping := x.s.finalResponsesAt()
	if !stopping {
		return false
	}
	expected := x.expectedTime()
	if x.firstByte > 0 {
		expected -= time.Since(x.began)
	}
	return time.Now().Add(expected).After(at)
}
