package stagework

import (
	"math"
	"time"
)

const (
	// initialPrefillRate is the assumed prefill rate of engines in tokens a second until calls are
	// observed: a low rate, so that the first calls are spread over engines.
	initialPrefillRate = 30_000
	// ttftWeight is the weight of one call in the fit: about the last fifty calls determine it.
	ttftWeight = 0.02
	// tokensPerUnit scales tokens to the magnitude of the other terms of the fit.
	tokensPerUnit = 1000
)

// terms are the regressors of the time to a first event: a constant, units of tokensPerUnit
// tokens, and units of pairsPerUnit pairs of tokens.
type terms [3]float64

func termsOf(r prefill) terms {
	return terms{1, float64(r.tokens) / tokensPerUnit, r.pairs}
}

// initialTTFT are the assumed coefficients until calls are observed, in seconds.
var initialTTFT = terms{0, tokensPerUnit / float64(initialPrefillRate), 0}

// initialTrust regularizes the fit towards initialTTFT. It matters where calls say little about
// a term, as calls of equal length do; each value counts as a mean square of its term.
var initialTrust = terms{0.0001, 0.001, 0.01}

// ttftModel predicts the time to the first event of a call from the prefill work until then. It
// is a least-squares fit in which older calls weigh less. The time grows faster than the prompt:
// a linear model would underestimate prompts of 50,000 tokens by a third, and a plain ratio would
// attribute the fixed time of short prompts to the tokens of long ones.
type ttftModel struct {
	products     [3]terms // means of products of terms
	seconds      terms    // means of products of terms and seconds
	coefficients terms    // fitted seconds for each unit of a term
}

// newTTFTModel starts with what calls of 0, 15,000 and 30,000 tokens with the times of
// initialTTFT would give.
func newTTFTModel() ttftModel {
	p := ttftModel{}
	const shown = 3
	for i := range shown {
		r := prefillAfter(0, int64(i)*initialPrefillRate/2)
		p.add(termsOf(r), float64(i)/2, 1.0/float64(i+1)) // plain mean of the samples so far
	}
	p.fit()
	return p
}

// observe records the time to a call's first event, in seconds, behind the given prefill work,
// which includes the call's own prompt.
func (p *ttftModel) observe(r prefill, seconds float64) {
	p.add(termsOf(r), seconds, ttftWeight)
	p.fit()
}

func (p *ttftModel) add(t terms, seconds, weight float64) {
	for i := range t {
		p.seconds[i] += weight * (t[i]*seconds - p.seconds[i])
		for k := range t {
			p.products[i][k] += weight * (t[i]*t[k] - p.products[i][k])
		}
	}
}

// fit computes the coefficients. None may be negative: while one is, the last term is dropped.
func (p *ttftModel) fit() {
	for used := len(initialTTFT); used > 0; used-- {
		if takes, ok := p.solve(used); ok && min(takes[1], takes[2]) >= 0 {
			p.coefficients = takes
			return
		}
	}
}

// solve computes the fit with the first terms only.
func (p *ttftModel) solve(used int) (takes terms, ok bool) {
	var rows [3][4]float64
	for i := range used {
		for k := range used {
			rows[i][k] = p.products[i][k]
		}
		rows[i][i] += initialTrust[i]
		rows[i][3] = p.seconds[i] + initialTrust[i]*initialTTFT[i]
	}
	// The matrix is positive definite due to initialTrust, so elimination needs no pivoting.
	for i := range used {
		for k := i + 1; k < used; k++ {
			f := rows[k][i] / rows[i][i]
			for c := i; c < 4; c++ {
				rows[k][c] -= f * rows[i][c]
			}
		}
	}
	for i := used - 1; i >= 0; i-- {
		sum := rows[i][3]
		for k := i + 1; k < used; k++ {
			sum -= rows[i][k] * takes[k]
		}
		takes[i] = sum / rows[i][i]
		if math.IsNaN(takes[i]) || math.IsInf(takes[i], 0) {
			return takes, false
		}
	}
	return takes, true
}

// timeFor predicts the time to a call's first event behind the given prefill work.
func (p *ttftModel) timeFor(r prefill) time.Duration {
	return toDuration(p.coefficients[0] + p.prefillSeconds(r))
}

// prefillTime is the time that additional prefill work adds to a first event.
func (p *ttftModel) prefillTime(r prefill) time.Duration { return toDuration(p.prefillSeconds(r)) }

func (p *ttftModel) prefillSeconds(r prefill) float64 {
	t := termsOf(r)
	return p.coefficients[1]*t[1] + p.coefficients[2]*t[2]
}

// toDuration converts seconds; negative values become zero.
func toDuration(seconds float64) time.Duration {
	return time.Duration(max(0, seconds) * float64(time.Second))
}

const (
	// relativeWeight is the weight of one call in an engine's relative pace: about the last ten
	// determine it, so that an engine that becomes slow is noticed within ten calls.
	relativeWeight = 0.1
	// relativeTrust is how many seconds of calls at the average pace an engine is assumed to have had
	// at first: three calls of the usual length, as single calls differ by a half.
	relativeTrust = 0.5
	// Bounds of the relative pace: values beyond them are due to the calls, not the engine.
	minRelativePace, maxRelativePace = 0.5, 8
)

// relativePace compares an engine with the model of all engines. Engines of one service differ by
// a third, and one may become several times slower for a while.
type relativePace struct {
	took, expected float64 // seconds of its calls; older ones weigh less
}

func (o *relativePace) observe(took, expected float64) {
	o.took += took - relativeWeight*o.took
	o.expected += expected - relativeWeight*o.expected
}

// factor is the engine's time for a call relative to the average engine's.
func (o *relativePace) factor() float64 {
	return min(max((relativeTrust+o.took)/(relativeTrust+o.expected), minRelativePace), maxRelativePace)
}
