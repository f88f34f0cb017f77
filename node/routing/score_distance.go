package routing

// distanceScorer adds the round trip to another data centre.
type distanceScorer struct{ dataCenter string }

const remoteDataCenterSeconds = 0.001 // seconds

func (d distanceScorer) score(e *Endpoint, _ *choice) float64 {
	if e.Member.DataCenter == d.dataCenter {
		return 0
	}
	return remoteDataCenterSeconds
}
