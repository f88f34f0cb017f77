package ingress

import "time"

const (
	// maxDelay is the delay above which this process is congested. A call crosses its link and its processor some four
	// times, so that it takes 0.1 s longer then: more than a caller needs to connect to another process.
	maxDelay = 25 * time.Millisecond
	// recoveredDelay is the delay below which a congested process may take more calls again.
	recoveredDelay = maxDelay / 2
	// minDecrease and maxDecrease bound the factor by which the limit is lowered: the delay in excess tells how far.
	minDecrease = 0.6
	maxDecrease = 0.9
	// increase is the factor by which the limit grows with each reading below recoveredDelay.
	increase = 1.04
	// minCalls is the lowest limit of calls in progress.
	minCalls = 2
	// minInterval is the longest time for which all new connections are refused. A process that is ready takes some at any
	// time.
	minInterval = 250 * time.Millisecond
	// unlimitedAfter is how long no connection must have been refused until the limit is removed.
	unlimitedAfter = 2 * time.Second
)

// limiter limits the calls in progress of a process whose messages are delayed. Calls differ by orders of magnitude in what
// they cost and how long they last, so neither their number nor their latency tells what the process can serve: the limit
// is lowered while the delay is too long and raised while it is short. It does no I/O and reads no clock.
type limiter struct {
	limit     float64 // calls in progress; zero: no limit
	lastTaken time.Time
	refusedAt time.Time // when a connection was refused last, or the limit was lowered
	raisedAt  time.Time
}

// limited reports whether there is a limit.
func (l *limiter) limited() bool { return l.limit > 0 }

// update applies a reading of the load, and reports whether it lowered the limit. Without room elsewhere there is no limit:
// callers that are turned away would not be served by others either. The limit is lowered again only once the calls in
// progress have come down to it, and raised only while it keeps connections out.
func (l *limiter) update(now time.Time, load load, inProgress int) (lowered bool) {
	calls, delay := float64(inProgress), load.delay()
	switch {
	case delay > maxDelay && !load.roomElsewhere, l.limited() && now.Sub(l.refusedAt) > unlimitedAfter:
		l.limit = 0
	case delay > maxDelay && (!l.limited() || calls <= l.limit):
		factor := float64(maxDelay) / float64(delay)
		l.limit = max(minCalls, calls*min(maxDecrease, max(minDecrease, factor)))
		l.refusedAt = now
		return true
	case l.limited() && load.known && delay < recoveredDelay && l.refusedAt.After(l.raisedAt):
		l.limit = max(l.limit+1, increase*l.limit)
		l.raisedAt = now
	}
	return false
}

// admits reports whether a new connection may be taken beside the calls in progress, and counts it.
func (l *limiter) admits(now time.Time, inProgress int) bool {
	if l.limited() && float64(inProgress) >= l.limit && now.Sub(l.lastTaken) < minInterval {
		l.refusedAt = now
		return false
	}
	l.lastTaken = now
	return true
}
