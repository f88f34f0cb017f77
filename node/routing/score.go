package routing

// scorer gives a part of the cost of sending the request to an endpoint, in
// seconds; parts are added up and the lowest sum is best. Each scorer stands
// in a file of its own.
type scorer interface {
	score(e *Endpoint, r *choice) float64
}
