package routing

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	sizeClasses    = 24
	sizeClassBytes = 256  // bytes; classes are powers of two of it
	defaultLatency = 0.05 // seconds, until one was measured
	averageWeight  = 0.05 // of a new sample in the service's average
	steadyWeight   = 0.03 // of a new sample in the endpoint's steady ratio
	fastWeight     = 0.3  // of a new sample in the ratio that finds stragglers
	stragglerRatio = 2.5  // from here on the fast ratio counts; below it is mostly the noise of single requests
	maxRatio       = 20
	outlierFactor  = 4               // a sample counts as at most this many averages in the service's average
	ratioHalfLife  = 5 * time.Second // age at which half of a ratio's distance from one is forgotten
	stallFactor    = 3               // expected times without any progress that count as slow
)

func sizeClass(size int) int {
	return min(bits.Len(uint(max(size, 0)/sizeClassBytes)), sizeClasses-1)
}

// group is what the endpoints of one service share: the average time of an
// answer by size, and the index of prompt prefixes.
type group struct {
	averages        [sizeClasses]atomic.Uint64 // float64 bits, seconds
	prefixes        *prefixIndex
	endpoints       atomic.Pointer[[]*Endpoint]
	nextIndex       uint16
	roundRobinNext  atomic.Uint64 // of the round robin
	ejectionEnabled atomic.Bool   // outlier ejection is on
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

// measured returns the average time of a size class, if there is one.
func (g *group) measured(class int) (seconds float64, ok bool) {
	v := math.Float64frombits(g.averages[class].Load())
	return v, v > 0
}

// expected returns the average time of an answer to a request of a size
// class, in seconds; the nearest class that was measured stands in.
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

// speed is how an endpoint compares to its service's average: a ratio of
// times, one for average, which fades back to one so that a slow endpoint is
// tried again. A steady average tells lasting differences from the noise of
// single requests; a fast one finds a straggler within a few.
type speed struct {
	steady        atomic.Uint64 // float64 bits; zero is a ratio of one
	fast          atomic.Uint64
	samples       atomic.Int64
	learnedAt     atomic.Int64 // Unix nanoseconds
	progressAt    atomic.Int64 // of the last end of an attempt, or of the start of the first one
	pending       atomic.Int64 // attempts begun and not ended
	expectedNanos atomic.Int64 // expected time of the last attempt begun, nanoseconds
}

func (s *speed) begin(now time.Time, expected float64) {
	if s.pending.Add(1) == 1 {
		s.progressAt.Store(now.UnixNano())
	}
	s.expectedNanos.Store(int64(expected * float64(time.Second)))
}

func (s *speed) end() { s.pending.Add(-1) }

// progress notes that the endpoint answered or refused. An attempt that was
// given up is none.
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

// decay is the part of a ratio's distance from one that is left at its age.
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

// stall is the lower bound of the ratio that silence gives: attempts are
// under way and none has ended for much longer than expected.
func (s *speed) stallRatio(now int64) float64 {
	silence, expected := now-s.progressAt.Load(), s.expectedNanos.Load()
	if expected <= 0 || silence < stallFactor*expected {
		return 0
	}
	return min(float64(silence)/float64(expected), maxRatio)
}
