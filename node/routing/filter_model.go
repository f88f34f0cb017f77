package routing

import "slices"

// modelFilter drops engines that lack the request's model or adapter.
type modelFilter struct{}

func (modelFilter) keep(e *Endpoint, r *choice) bool {
	if r.Model != "" {
		if l := e.offer.missing.Load(); l != nil && l.model == r.Model && l.until > r.now {
			return false
		}
	}
	o := e.offer.announced.Load()
	return o == nil || !o.rulesOut(r.Model) && listAllows(o.Adapters, r.Adapter)
}

func listAllows(list []string, name string) bool {
	return name == "" || list == nil || slices.Contains(list, name)
}
