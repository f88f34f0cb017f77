package stagework

import "time"

const (
	// firstRate is how many tokens engines are expected to read in a second before any was
	// seen: somewhat under that of the slowest that users describe, 36,000 a second.
	firstRate = 30_000
	// paceWeight is the weight of a call in what engines take: that of the last fifty.
	paceWeight = 0.02
)

// pace is how long engines take to the first event of a call, by the tokens that they
// read until then: a line through what was observed, by least squares in which older
// calls count less. A plain ratio would charge the fixed time of short prompts to the
// tokens of long ones, and take engines for three times as slow as they are.
type pace struct {
	x, y, xx, xy float64 // means of tokens, seconds, and their products
}

// newPace expects firstRate, as calls of no tokens and of a second's would show.
func newPace() pace {
	return pace{x: firstRate / 2, y: 0.5, xx: firstRate * firstRate / 2, xy: firstRate / 2}
}

// observe takes in that a call's first event took so long behind so many tokens, its own
// included.
func (p *pace) observe(tokens int64, took time.Duration) {
	x, y := float64(tokens), took.Seconds()
	p.x += paceWeight * (x - p.x)
	p.y += paceWeight * (y - p.y)
	p.xx += paceWeight * (x*x - p.xx)
	p.xy += paceWeight * (x*y - p.xy)
}

// timeFor is how long a call's first event should take behind so many tokens.
func (p *pace) timeFor(tokens int64) time.Duration {
	seconds := p.y + p.perToken()*(float64(tokens)-p.x)
	return time.Duration(max(0, seconds) * float64(time.Second))
}

// tokensIn is how many tokens engines read in a span.
func (p *pace) tokensIn(d time.Duration) int64 {
	return int64(d.Seconds() / max(p.perToken(), fastest))
}

// fastest bounds the rate that is read off the line: a million tokens a second, ten times
// what users describe.
const fastest = 1e-6

// perToken is the line's slope, in seconds.
func (p *pace) perToken() float64 {
	if spread := p.xx - p.x*p.x; spread > 1 {
		return max(0, (p.xy-p.x*p.y)/spread)
	}
	return p.y / max(p.x, 1)
}
