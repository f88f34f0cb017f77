package routing

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	sizeClasses    = 24
	sizeClassBytes = 256  // bytes; size classes are powers of two of it
	defaultLatency = 0.05 // seconds, until there is a measurement
	averageWeight  = 0.05 // weight of a new sample in the service's average
	steadyWeight   = 0.03 // weight of a new sample in the endpoint's steady ratio
	fastWeight     = 0.3  // weight of a new sample in the ratio that detects stragglers
	stragglerRatio = 2.5  // the fast ratio counts from here on; below it is mostly noise of single requests
	maxRatio       = 20
	outlierFactor  = 4               // a sample is capped at this multiple of the service's average before it enters the average
	ratioHalfLife  = 5 * time.Second // age at which a ratio's distance from one has decayed to half
	stallFactor    = 3               // multiple of the expected time without any progress that counts as slow
)

func sizeClass(size int) int {
	return min(bits.Len(uint(max(size, 0)/sizeClassBytes)), sizeClasses-1)
}

// group is the state shared by the endpoints of one service: average latencies by size
// class, and the index of cached prompt prefixes.
type group struct {
	averages        [sizeClasses]atomic.Uint64 // float64 bits, seconds
	prefixes        *prefixIndex
	endpoints       atomic.Pointer[[]*Endpoint]
	nextIndex       uint16
	roundRobinNext  atomic.Uint64 // counter of the round-robin policy
	ejectionEnabled atomic.Bool   // outlier ejection is configured
}

func (g *group) learn(class int, sample float64) {
	b := &g.averages[class]
	old := math.Float64frombits(b.Load())
	next := sample
	if old > 0 {
		next = old + averageWeight*(min(sample, outlierFactor*old)-old)
	}
	b.Store(math.Float64bits(next))
}

// measured returns the average latency of a size class, if there is one.
func (g *group) measured(class int) (seconds float64, ok bool) {
	v := math.Float64frombits(g.averages[class].Load())
	return v, v > 0
}

// expected returns the average latency of a size class in seconds, or that of the nearest
// class with a measurement.
func (g *group) expected(class int) float64 {
	for d := range sizeClasses {
		for _, c := range [2]int{class - d, class + d} {
			if c < 0 || c >= sizeClasses {
				continue
			}
			if v := math.Float64frombits(g.averages[c].Load()); v > 0 {
				return v
			}
		}
	}
	return defaultLatency
}

// speed compares an endpoint's latency to its service's average as a ratio, where one is
// average. The ratio decays towards one, so that a slow endpoint is tried again. A slowly
// moving average separates lasting differences from the noise of single requests; a fast
// one detects a straggler within a few requests.
type speed struct {
	steady        atomic.Uint64 // float64 bits; zero means a ratio of one
	fast          atomic.Uint64
	samples       atomic.Int64
	learnedAt     atomic.Int64 // Unix nanoseconds
	progressAt    atomic.Int64 // Unix nanoseconds of the last end of an attempt, or of the start of the first pending one
	pending       atomic.Int64 // attempts begun and not ended
	expectedNanos atomic.Int64 // expected time of the last attempt begun
}

func (s *speed) begin(now time.Time, expected float64) {
	if s.pending.Add(1) == 1 {
		s.progressAt.Store(now.UnixNano())
	}
	s.expectedNanos.Store(int64(expected * float64(time.Second)))
}

func (s *speed) end() { s.pending.Add(-1) }

// progress records that the endpoint answered or refused. An abandoned attempt is no
// progress.
func (s *speed) progress(now time.Time) { s.progressAt.Store(now.UnixNano()) }

func (s *speed) learn(now time.Time, sample float64) {
	sample = min(sample, maxRatio)
	decay := s.decay(now.UnixNano())
	updateRatio(&s.steady, sample, steadyWeight, decay)
	updateRatio(&s.fast, sample, fastWeight, decay)
	s.learnedAt.Store(now.UnixNano())
	s.samples.Add(1)
}

func updateRatio(bits *atomic.Uint64, sample, weight, decay float64) {
	old := decayedRatio(bits, decay)
	bits.Store(math.Float64bits(old + weight*(sample-old)))
}

func decayedRatio(bits *atomic.Uint64, decay float64) float64 {
	b := bits.Load()
	if b == 0 {
		return 1
	}
	return 1 + (math.Float64frombits(b)-1)*decay
}

// decay returns the fraction of a ratio's distance from one that is left at its age.
func (s *speed) decay(now int64) float64 {
	age := float64(now-s.learnedAt.Load()) / float64(ratioHalfLife)
	return 1 / (1 + age*age)
}

func (s *speed) ratio(now time.Time) float64 { return s.ratioAt(now.UnixNano()) }

func (s *speed) ratioAt(now int64) float64 {
	r := 1.0
	if s.steady.Load() != 0 {
		decay := s.decay(now)
		r = decayedRatio(&s.steady, decay)
		if f := decayedRatio(&s.fast, decay); f > stragglerRatio {
			r = max(r, f)
		}
	}
	if s.pending.Load() > 0 {
		r = max(r, s.stallRatio(now))
	}
	return r
}

// stallRatio returns the lower bound of the ratio that follows from silence: attempts are
// pending and none has ended for much longer than expected.
func (s *speed) stallRatio(now int64) float64 {
	silence, expected := now-s.progressAt.Load(), s.expectedNanos.Load()
	if expected <= 0 || silence < stallFactor*expected {
		return 0
	}
	return min(float64(silence)/float64(expected), maxRatio)
}
