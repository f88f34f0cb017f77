package routing

// ejectedFilter drops endpoints ejected for repeated failures or slowness.
type ejectedFilter struct{}

func (ejectedFilter) keep(e *Endpoint, r *choice) bool { return !e.health.unavailable(r.now) }
