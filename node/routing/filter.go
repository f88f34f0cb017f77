package routing

// Each filter keeps or drops an endpoint and stands in a file of its own. The
// chain is written out, not a list of interfaces, so that the compiler can
// inline it: it runs for every endpoint of every choice.

// passesFirm applies the filters that always hold.
func passesRequired(e *Endpoint, r *choice) bool {
	return leavingFilter{}.keep(e, r) &&
		triedFilter{}.keep(e, r) &&
		modelFilter{}.keep(e, r) &&
		roleFilter{}.keep(e, r)
}

// passesAll applies all filters. The health filter is left out when nothing
// passes: a guess that an endpoint is bad must not make a service unavailable.
func passesAll(e *Endpoint, r *choice) bool {
	return ejectedFilter{}.keep(e, r) && passesRequired(e, r)
}
