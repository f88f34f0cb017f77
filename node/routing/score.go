package routing

// scorer returns one part of the cost of sending the request to an endpoint, in seconds.
// The parts are added up, and the lowest sum is best. Each scorer has a file of its own.
type scorer interface {
	score(e *Endpoint, r *choice) float64
}
