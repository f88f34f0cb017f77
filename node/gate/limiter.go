package gate

import (
	"time"

	"caperdrum.org/api/verdict"
)

// limiter sets how many attempts the upstream runs at a time.
type limiter interface {
	limit() int
	// done takes in an ended run: when, how long it took, and how many ran at
	// its end, itself included.
	runEnded(now time.Time, took time.Duration, running int, failure *verdict.Error)
}

// Names of the limiters in the operators' text.
const (
	limiterFixed = "fixed"
	limiterClimb = "climb"
)

func newLimiter(name string, most int) limiter {
	most = max(most, 1)
	if name == limiterClimb {
		return &climbLimiter{maximum: float64(most), current: max(float64(most)/climbStart, 1), factor: climbStep}
	}
	return fixedLimiter(most)
}

// fixedLimiter is the number that the operators' text gives.
type fixedLimiter int

func (l fixedLimiter) limit() int { return int(l) }

func (l fixedLimiter) runEnded(time.Time, time.Duration, int, *verdict.Error) {}

// climbLimiter seeks the limit with the most runs ended per second: it changes
// the limit by a part each round and turns round when the rate fell (hill
// climbing, as in Hellerstein, Morrison and Eilebrecht, "Applying Control
// Theory in the Real World", 2009). A round counts only while the limit binds.
type climbLimiter struct {
	maximum, current float64
	factor           float64 // of the next change
	lastRate         float64 // runs per second of the round before
	completed        int
	roundStart       time.Time
}

const (
	climbStep   = 1.15
	climbRounds = 3 // runs of a round, in limits
	climbStart  = 8 // the first limit is this part of the maximum: a thrashing upstream would answer too seldom to learn from
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
