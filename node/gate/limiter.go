package gate

import (
	"time"

	"caperdrum.org/api/verdict"
)

// limiter sets how many attempts run at the upstream concurrently.
type limiter interface {
	limit() int
	// runEnded records a finished run: when it ended, how long it took, and how many ran at its end, itself
	// included.
	runEnded(now time.Time, took time.Duration, running int, failure *verdict.Error)
}

// Names of the limiters in the operators' configuration.
const (
	limiterFixed = "fixed"
	limiterClimb = "climb"
)

func newLimiter(name string, maximum int) limiter {
	maximum = max(maximum, 1)
	if name == limiterClimb {
		return &climbLimiter{maximum: float64(maximum), current: max(float64(maximum)/climbStart, 1), factor: climbStep}
	}
	return fixedLimiter(maximum)
}

// fixedLimiter is the concurrency that the operators' configuration gives.
type fixedLimiter int

func (l fixedLimiter) limit() int { return int(l) }

func (l fixedLimiter) runEnded(time.Time, time.Duration, int, *verdict.Error) {}

// climbLimiter searches for the limit with the highest throughput: each round it scales the limit by a
// factor, and inverts the factor when throughput fell (hill climbing, as in Hellerstein, Morrison and
// Eilebrecht, "Applying Control Theory in the Real World", 2009). Runs count only while the limit is reached.
type climbLimiter struct {
	maximum, current float64
	factor           float64 // of the next change
	lastRate         float64 // runs per second in the previous round
	completed        int
	roundStart       time.Time
}

const (
	climbStep   = 1.15
	climbRounds = 3 // length of a round: this many times the limit, in runs
	climbStart  = 8 // the first limit is the maximum divided by this: a thrashing upstream would complete too few runs to learn from
)

func (l *climbLimiter) limit() int { return max(int(l.current), 1) }

func (l *climbLimiter) runEnded(now time.Time, _ time.Duration, running int, failure *verdict.Error) {
	if running < l.limit() || l.roundStart.IsZero() {
		l.roundStart, l.completed = now, 0
		return
	}
	if failure == nil {
		l.completed++
	}
	took := now.Sub(l.roundStart).Seconds()
	if took <= 0 || l.completed < climbRounds*l.limit() {
		return
	}
	rate := float64(l.completed) / took
	if rate < l.lastRate {
		l.factor = 1 / l.factor
	}
	l.current = min(max(l.current*l.factor, 1), l.maximum)
	l.lastRate, l.roundStart, l.completed = rate, now, 0
}
