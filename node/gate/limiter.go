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
	done(now time.Time, took time.Duration, running int, failure *verdict.Error)
}

// Names of the limiters in the operators' text.
const (
	limiterFixed = "fixed"
	limiterAIMD  = "aimd"
	limiterVegas = "vegas"
)

func newLimiter(name string, most int) limiter {
	most = max(most, 1)
	switch name {
	case limiterAIMD:
		return &aimdLimiter{most: float64(most), now: float64(most)}
	case limiterVegas:
		return &vegasLimiter{most: float64(most), now: float64(most)}
	default:
		return fixedLimiter(most)
	}
}

// fixedLimiter is the number that the operators' text gives.
type fixedLimiter int

func (l fixedLimiter) limit() int { return int(l) }

func (l fixedLimiter) done(time.Time, time.Duration, int, *verdict.Error) {}

// shortest tracks the shortest run of the last window or two, the time that
// the upstream needs without a queue of its own.
type shortest struct {
	current, previous time.Duration
	since             time.Time
}

const shortestWindow = 30 * time.Second

func (s *shortest) add(now time.Time, took time.Duration) time.Duration {
	if now.Sub(s.since) > shortestWindow {
		s.previous, s.current, s.since = s.current, took, now
	}
	s.current = min(s.current, took)
	if s.previous > 0 {
		return min(s.previous, s.current)
	}
	return s.current
}

// aimdLimiter raises the limit by one a round while runs stay fast and cuts it
// by a part, at most once a run time, when they fail or take much longer than
// the shortest (additive increase, multiplicative decrease; Chiu and Jain,
// 1989).
type aimdLimiter struct {
	most, now float64
	base      shortest
	cutAt     time.Time
}

const (
	aimdCut      = 0.85
	aimdSlowdown = 2.0
)

func (l *aimdLimiter) limit() int { return max(int(l.now), 1) }

func (l *aimdLimiter) done(now time.Time, took time.Duration, running int, failure *verdict.Error) {
	congested := failure != nil && failure.Code != verdict.CodeTooLarge
	if failure == nil {
		base := l.base.add(now, took)
		congested = float64(took) > aimdSlowdown*float64(base)
	}
	if congested {
		if now.Sub(l.cutAt) >= took {
			l.now, l.cutAt = max(l.now*aimdCut, 1), now
		}
		return
	}
	if running >= l.limit() {
		l.now = min(l.now+1/l.now, l.most)
	}
}

// vegasLimiter estimates how many of the running attempts wait inside the
// upstream, limit × (1 − shortest/took), and keeps that number between two
// bounds (after TCP Vegas; Brakmo and Peterson, 1995).
type vegasLimiter struct {
	most, now float64
	base      shortest
	took      ewma // seconds
}

const (
	vegasFew  = 0.35 // parts of the limit
	vegasMany = 0.55
)

func (l *vegasLimiter) limit() int { return max(int(l.now), 1) }

func (l *vegasLimiter) done(now time.Time, took time.Duration, running int, failure *verdict.Error) {
	if failure != nil {
		l.now = max(l.now-1/l.now, 1)
		return
	}
	base := l.base.add(now, took)
	l.took.add(took.Seconds())
	waiting := 1 - base.Seconds()/max(l.took.value, base.Seconds())
	switch {
	case waiting > vegasMany:
		l.now = max(l.now-1/l.now, 1)
	case waiting < vegasFew && running >= l.limit():
		l.now = min(l.now+1/l.now, l.most)
	}
}
