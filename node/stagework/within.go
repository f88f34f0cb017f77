package stagework

import (
	"caperdrum.org/node/residency"
)

// within reports whether the service has an upstream where a job may be made.
func (q *serviceQueue) within(w residency.Within) bool {
	if !w.Bound {
		return true
	}
	for _, x := range q.workers {
		if !x.leaving && w.Has(x.member.DataCenter) {
			return true
		}
	}
	return false
}

// outside reports whether a job that is bound to data centres waits for a service that has no upstream
// there any more.
func (s *scheduler) outside(j *job) bool {
	if !j.Within.Bound {
		return false
	}
	for i, st := range j.Stages {
		if j.missing[i] > 0 && !s.services[st.Service].within(j.Within) {
			return true
		}
	}
	return false
}
