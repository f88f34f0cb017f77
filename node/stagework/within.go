package stagework

import (
	"caperdrum.org/node/residency"
)

// within reports whether the service has an upstream where a job may be made.
func (q *serviceQueue) within(w residency.AllowedDataCenters) bool {
	if !w.Restricted {
		return true
	}
	for _, x := range q.workers {
		if !x.leaving && w.Contains(x.member.DataCenter) {
			return true
		}
	}
	return false
}

// outside returns the service for which a job waits that is bound to data centres where the service has no
// upstream any more; empty: none.
func (s *scheduler) outside(j *job) string {
	if !j.Within.Restricted {
		return ""
	}
	for i, st := range j.Stages {
		if j.missing[i] > 0 && !s.services[st.Service].within(j.Within) {
			return st.Service
		}
	}
	return ""
}
