package routing

// leavingFilter drops endpoints whose upstream is shutting down.
type leavingFilter struct{}

func (leavingFilter) keep(e *Endpoint, r *choice) bool {
	return !e.Member.Leaving && e.offer.leavingUntil.Load() <= r.now
}
