package routing

import "slices"

// modelFilter drops engines that lack the request's model or adapter.
type modelFilter struct{}

func (modelFilter) keep(e *Endpoint, r *choice) bool {
	if r.Model != "" {
		if l := e.offer.lacks.Load(); l != nil && l.model == r.Model && l.until > r.now {
			return false
		}
	}
	o := e.offer.announced.Load()
	return o == nil || !o.lacks(r.Model) && offers(o.Adapters, r.Adapter)
}

func offers(list []string, name string) bool {
	return name == "" || list == nil || slices.Contains(list, name)
}
