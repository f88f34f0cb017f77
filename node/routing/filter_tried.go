package routing

// triedFilter drops endpoints that the request has already tried.
type triedFilter struct{}

func (triedFilter) keep(e *Endpoint, r *choice) bool {
	return len(r.Exclude) == 0 || !r.Exclude[e.Member.ID]
}
