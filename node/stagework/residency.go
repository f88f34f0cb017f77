package stagework

import (
	"caperdrum.org/node/residency"
)

// hasWorkerWithin reports whether the service has an upstream where a job may run.
func (q *serviceQueue) hasWorkerWithin(w residency.AllowedDataCenters) bool {
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

// serviceWithoutWorker returns a service that an incomplete stage of the job needs, and that has no
// upstream left in the data centres to which the job is bound; empty: none.
func (s *scheduler) serviceWithoutWorker(j *job) string {
	if !j.Within.Restricted {
		return ""
	}
	for i, st := range j.Stages {
		if j.missing[i] > 0 && !s.services[st.Service].hasWorkerWithin(j.Within) {
			return st.Service
		}
	}
	return ""
}
