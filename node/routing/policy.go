package routing

// policy combines scorers, whose costs are added up, with a picker.
type policy struct {
	scorers []scorer
	picker  picker
}

// Names of the policies in the operators' configuration.
const (
	policyPredicted     = "predicted"
	policyLeastInFlight = "least-in-flight"
	policyRoundRobin    = "round-robin"
	policyRandom        = "random"
)

func policies(dataCenter string) map[string]policy {
	return map[string]policy{
		policyPredicted:     {[]scorer{latencyScorer{}, prefixScorer{}, distanceScorer{dataCenter}}, twoChoices{}},
		policyLeastInFlight: {nil, leastInFlight{}},
		policyRoundRobin:    {nil, roundRobin{}},
		policyRandom:        {nil, randomPick{}},
	}
}

func (p *policy) cost(e *Endpoint, r *choice) float64 {
	sum := 0.0
	for _, s := range p.scorers {
		sum += s.score(e, r)
	}
	return sum
}
