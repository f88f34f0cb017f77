package admission

import "time"

// limiter is a rate limiter with a burst by the generic cell rate algorithm (ITU-T I.371): in any window of
// time it admits at most rate*window + burst requests. It is not safe for concurrent use.
type limiter struct {
	interval           time.Duration // between two requests at the configured rate
	burst              int
	theoreticalArrival time.Time // TAT of the next request
}

// set changes the rate, in requests per second, and the burst. Requests admitted before still count.
func (l *limiter) set(rate float64, burst int) {
	l.interval = time.Duration(float64(time.Second) / rate)
	l.burst = max(burst, 1)
}

// take admits a request, or returns how long to wait until one is admitted.
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
