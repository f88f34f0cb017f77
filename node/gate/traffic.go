package gate

// Traffic is the load of a gate as the planner needs it.
type Traffic struct {
	Arrived  int64 // attempts since the process started: run, refused, queued and running
	Queued   int
	InFlight int
	Limit    int
}

// Traffic returns the gate's current load.
func (s *Service) Traffic() Traffic {
	queued, running, limit := s.table.load()
	return Traffic{Arrived: ranVar.Value() + refusedVar.Value() + int64(queued+running), Queued: queued, InFlight: running, Limit: limit}
}

// SetModelUnavailable sets whether the upstream has no model to serve. Such an upstream gets no new work; admitted
// attempts are completed.
func (s *Service) SetModelUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noModel = unavailable
	s.applyLeaving()
}
