package routing

// picker selects one of the candidates, of which there is at least one.
type picker interface {
	pick(c []candidate, r *choice) *Endpoint
}

// candidate is an endpoint that passed the filters, with its cost.
type candidate struct {
	endpoint *Endpoint
	cost     float64
}
