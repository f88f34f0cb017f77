package gate

// Traffic is what the planner needs to know of a gate's load.
type Traffic struct {
	Arrived  int64 // attempts that ended since the start, ran or refused, and those at hand
	Queued   int
	InFlight int
	Limit    int
}

// Traffic returns the gate's load now.
func (s *Service) Traffic() Traffic {
	queued, running, limit := s.table.load()
	return Traffic{Arrived: ranVar.Value() + refusedVar.Value() + int64(queued+running), Queued: queued, InFlight: running, Limit: limit}
}

// SetParked says that the upstream holds nothing to serve with. A parked one
// gets no new work; attempts that were admitted are brought to their end.
func (s *Service) SetParked(parked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noModel = parked
	s.applyLeaving()
}
