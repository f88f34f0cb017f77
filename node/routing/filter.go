package routing

// filter drops endpoints that were tried already or are ejected. When nothing
// but ejected endpoints is left it returns those: a guess that an endpoint is
// bad must not make a service unavailable.
func filter(all []*Endpoint, r Request) []*Endpoint {
	out := make([]*Endpoint, 0, len(all))
	var ejected []*Endpoint
	for _, e := range all {
		switch {
		case r.Exclude[e.Member.ID]:
		case e.Ejected(r.Now):
			ejected = append(ejected, e)
		default:
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return ejected
	}
	return out
}
