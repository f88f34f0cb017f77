package routing

// Each filter keeps or drops an endpoint and has a file of its own. The chain is
// written out instead of being a list of interfaces, so that the compiler can inline
// it: it runs for every endpoint of every choice.

// passesRequired applies the filters that must never be skipped.
func passesRequired(e *Endpoint, r *choice) bool {
	return leavingFilter{}.keep(e, r) &&
		triedFilter{}.keep(e, r) &&
		modelFilter{}.keep(e, r) &&
		roleFilter{}.keep(e, r)
}

// passesAll applies all filters. Callers fall back to passesRequired when nothing
// passes: a guess that endpoints are unhealthy must not make a service unavailable.
func passesAll(e *Endpoint, r *choice) bool {
	return ejectedFilter{}.keep(e, r) && passesRequired(e, r)
}
