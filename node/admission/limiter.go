package admission

import "time"

// limiter admits requests at a rate with a burst, by the generic cell rate
// algorithm (ITU-T I.371): in any window of time it admits at most
// rate*window + burst. It is not safe for concurrent use.
type limiter struct {
	interval           time.Duration // between two requests at the rate
	burst              int
	theoreticalArrival time.Time // when the bucket is empty up to this moment's request
}

// set changes the rate, in requests per second, and the burst. What was
// admitted before still counts.
func (l *limiter) set(rate float64, burst int) {
	l.interval = time.Duration(float64(time.Second) / rate)
	l.burst = max(burst, 1)
}

// take admits a request, or returns how long to wait for the next place.
func (l *limiter) take(now time.Time) (bool, time.Duration) {
	if l.theoreticalArrival.Before(now) {
		l.theoreticalArrival = now
	}
	slack := l.interval * time.Duration(l.burst-1)
	if over := l.theoreticalArrival.Sub(now) - slack; over > 0 {
		return false, over
	}
	l.theoreticalArrival = l.theoreticalArrival.Add(l.interval)
	return true, 0
}
