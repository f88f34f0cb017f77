package routing

// ejectedFilter drops endpoints that failed or lagged too often lately.
type ejectedFilter struct{}

func (ejectedFilter) keep(e *Endpoint, r *choice) bool { return !e.health.unavailable(r.now) }
