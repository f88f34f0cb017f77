package routing

// roleFilter drops engines whose role differs from the one that the request needs.
type roleFilter struct{}

func (roleFilter) keep(e *Endpoint, r *choice) bool {
	o := e.offer.announced.Load()
	return r.Role == "" || o == nil || o.Role == "" || o.Role == r.Role
}
