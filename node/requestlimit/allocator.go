// Package requestlimit divides the request limits that upstreams name among all processes.
//
// A limit holds for the requests of all processes together. Limiters in each process would admit the
// limit times the number of processes, and equal shares waste what processes without requests do not
// use, or are less than one request. So one process, the allocator, hands out a permit for each
// request. A permit expires soon, so that delayed ones do not add up. Who gets none sends nothing.
//
// Another process may become the allocator while the previous one is cut off and does not know yet.
// The previous one stops once its role has not been confirmed for TakeoverTime, and the new one hands
// out reducedShare of each limit for that time. Together they stay below one and a half times the limit.
package requestlimit

import (
	"math"
	"math/rand/v2"
	"time"

	"caperdrum.org/api/wire"
)

const (
	// PermitTTL is how long a permit may be used after the process has asked for it: long enough for the
	// answer and a connection to the upstream.
	PermitTTL = 300 * time.Millisecond
	// TakeoverTime is how long an allocator may go without a confirmation of its role, and how long
	// its successor takes it to be active. It is above the age that confirmations reach between two
	// synchronizations.
	TakeoverTime = 4 * time.Second

	// minRate is the rate in requests per second at which upstreams that name a lower limit are
	// still called: only a response shows that a limit has ended.
	minRate = 1.0 / 60
	// maxRate is the rate above which a limit makes no difference.
	maxRate = 1e6
	// burst and burstTime set how many permits can be saved up: burst plus those of burstTime. They
	// are for requests that come unevenly, and cover the longest wait of Wait.
	burst     = 2
	burstTime = 250 * time.Millisecond
	// reducedShare is the part of a limit that is handed out during TakeoverTime.
	reducedShare = 0.25
	// minWait and maxWait bound how long a process that got no permit waits before it asks again.
	minWait = 50 * time.Millisecond
	maxWait = 2 * time.Second
	// bucketRetention is how long an unused bucket is kept.
	bucketRetention = 2 * time.Minute
)

// Limited is an upstream that names a limit.
type Limited struct {
	Upstream  wire.Start
	PerSecond float64 // zero or more
}

// rate returns the limit within the bounds between which permits are handed out.
func (l Limited) rate() float64 { return min(max(l.PerSecond, minRate), maxRate) }

// Allocator hands out permits. Its zero value is ready to use. It is not safe for concurrent use.
type Allocator struct {
	reducedUntil time.Time
	buckets      map[wire.Start]*bucket
	pruned       time.Time
}

// bucket is the token bucket of one upstream, with a token for each permit.
type bucket struct {
	rate    float64 // tokens per second
	tokens  float64
	updated time.Time
}

// Reset forgets all permits. The process has just become the allocator; takesOver says that there was one
// before it.
func (a *Allocator) Reset(now time.Time, takesOver bool) {
	*a = Allocator{}
	if takesOver {
		a.reducedUntil = now.Add(TakeoverTime)
	}
}

// Available reports whether Take would hand out a permit.
func (a *Allocator) Available(now time.Time, l Limited) bool { return a.bucket(now, l).tokens >= 1 }

// Take hands out a permit for one request, if there is one.
func (a *Allocator) Take(now time.Time, l Limited) bool {
	b := a.bucket(now, l)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NextIn returns the time until Available is true if nothing is taken before.
func (a *Allocator) NextIn(now time.Time, l Limited) time.Duration {
	b := a.bucket(now, l)
	rate := b.rate
	if now.Before(a.reducedUntil) {
		rate *= reducedShare
	}
	seconds := min((1-b.tokens)/rate, maxInterval.Seconds()/reducedShare)
	return max(0, time.Duration(math.Ceil(seconds*float64(time.Second))))
}

// bucket returns the upstream's bucket, filled up to now.
func (a *Allocator) bucket(now time.Time, l Limited) *bucket {
	a.prune(now)
	b := a.buckets[l.Upstream]
	if b == nil {
		b = &bucket{rate: l.rate(), tokens: 1, updated: now}
		if a.buckets == nil {
			a.buckets = map[wire.Start]*bucket{}
		}
		a.buckets[l.Upstream] = b
	}
	if b.updated.Before(a.reducedUntil) {
		b.fill(earlier(now, a.reducedUntil), reducedShare, 1)
	}
	if !now.Before(a.reducedUntil) {
		b.fill(now, 1, capacity(b.rate))
	}
	if b.rate != l.rate() {
		b.rate = l.rate()
		b.tokens = min(b.tokens, capacity(b.rate))
	}
	return b
}

// fill adds the tokens until the given time, at a share of the bucket's rate.
func (b *bucket) fill(until time.Time, share, capacity float64) {
	if passed := until.Sub(b.updated); passed > 0 {
		b.tokens = min(capacity, b.tokens+share*b.rate*passed.Seconds())
		b.updated = until
	}
}

func capacity(rate float64) float64 { return burst + rate*burstTime.Seconds() }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// prune drops buckets that have not been used for long. Their upstreams start with one token again, which
// they would have gained by then.
func (a *Allocator) prune(now time.Time) {
	if now.Sub(a.pruned) < bucketRetention/2 {
		return
	}
	a.pruned = now
	for start, b := range a.buckets {
		if now.Sub(b.updated) > bucketRetention {
			delete(a.buckets, start)
		}
	}
}

// Wait returns how long a process that got a permit for none of the upstreams should wait before it asks
// again: one to one and a half times the interval between their permits. The spread keeps processes from
// asking together.
func Wait(list []Limited) time.Duration {
	interval := min(SumInterval(list), maxWait*2/3)
	return max(minWait, interval+rand.N(interval/2+1))
}

// SumInterval returns the mean time between two requests that the limits of all the upstreams admit. It
// returns maxInterval if there are none.
func SumInterval(list []Limited) time.Duration {
	sum := 0.0
	for _, l := range list {
		sum += l.rate()
	}
	if sum <= 0 {
		return maxInterval
	}
	return time.Duration(min(float64(time.Second)/sum, float64(maxInterval)))
}

// maxInterval bounds the time between two requests that a limit admits.
const maxInterval = time.Duration(float64(time.Second) / minRate)
