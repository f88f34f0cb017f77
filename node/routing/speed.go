package routing

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	sizeClasses    = 24
	sizeUnit       = 256  // bytes; classes are powers of two of it
	assumedLatency = 0.05 // seconds, until one was measured
	baseWeight     = 0.05 // of a new sample in the service's average
	slowWeight     = 0.03 // of a new sample in the endpoint's steady ratio
	fastWeight     = 0.3  // of a new sample in the ratio that finds stragglers
	stragglerRatio = 2.5  // from here on the fast ratio counts; below it is mostly the noise of single requests
	maxRatio       = 20
	maxOutlier     = 4               // a sample counts as at most this many averages in the service's average
	ratioFades     = 5 * time.Second // age at which half of a ratio's distance from one is forgotten
	stalled        = 3               // expected times without any progress that count as slow
)

func sizeClass(size int) int {
	return min(bits.Len(uint(max(size, 0)/sizeUnit)), sizeClasses-1)
}

// group is what the endpoints of one service share: the average time of an
// answer by size, and the index of prompt prefixes.
type group struct {
	base      [sizeClasses]atomic.Uint64 // float64 bits, seconds
	prefixes  *prefixIndex
	endpoints atomic.Pointer[[]*Endpoint]
	nextIndex uint16
	next      atomic.Uint64 // of the round robin
	eject     atomic.Bool   // outlier ejection is on
}

func (g *group) learn(class int, sample float64) {
	b := &g.base[class]
	old := math.Float64frombits(b.Load())
	next := sample
	if old > 0 {
		next = old + baseWeight*(min(sample, maxOutlier*old)-old)
	}
	b.Store(math.Float64bits(next))
}

// measured returns the average time of a size class, if there is one.
func (g *group) measured(class int) (seconds float64, ok bool) {
	v := math.Float64frombits(g.base[class].Load())
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
			if v := math.Float64frombits(g.base[c].Load()); v > 0 {
				return v
			}
		}
	}
	return assumedLatency
}

// speed is how an endpoint compares to its service's average: a ratio of
// times, one for average, which fades back to one so that a slow endpoint is
// tried again. A steady average tells lasting differences from the noise of
// single requests; a fast one finds a straggler within a few.
type speed struct {
	steady     atomic.Uint64 // float64 bits; zero is a ratio of one
	fast       atomic.Uint64
	samples    atomic.Int64
	learnedAt  atomic.Int64 // Unix nanoseconds
	progressAt atomic.Int64 // of the last end of an attempt, or of the start of the first one
	waiting    atomic.Int64 // attempts begun and not ended
	awaited    atomic.Int64 // expected time of the last attempt begun, nanoseconds
}

func (s *speed) begin(now time.Time, expected float64) {
	if s.waiting.Add(1) == 1 {
		s.progressAt.Store(now.UnixNano())
	}
	s.awaited.Store(int64(expected * float64(time.Second)))
}

func (s *speed) end() { s.waiting.Add(-1) }

// progress notes that the endpoint answered or refused. An attempt that was
// given up is none.
func (s *speed) progress(now time.Time) { s.progressAt.Store(now.UnixNano()) }

func (s *speed) learn(now time.Time, sample float64) {
	sample = min(sample, maxRatio)
	fade := s.fade(now.UnixNano())
	move(&s.steady, sample, slowWeight, fade)
	move(&s.fast, sample, fastWeight, fade)
	s.learnedAt.Store(now.UnixNano())
	s.samples.Add(1)
}

func move(bits *atomic.Uint64, sample, weight, fade float64) {
	old := faded(bits, fade)
	bits.Store(math.Float64bits(old + weight*(sample-old)))
}

func faded(bits *atomic.Uint64, fade float64) float64 {
	b := bits.Load()
	if b == 0 {
		return 1
	}
	return 1 + (math.Float64frombits(b)-1)*fade
}

// fade is the part of a ratio's distance from one that is left at its age.
func (s *speed) fade(now int64) float64 {
	age := float64(now-s.learnedAt.Load()) / float64(ratioFades)
	return 1 / (1 + age*age)
}

func (s *speed) ratio(now time.Time) float64 { return s.ratioAt(now.UnixNano()) }

func (s *speed) ratioAt(now int64) float64 {
	r := 1.0
	if s.steady.Load() != 0 {
		fade := s.fade(now)
		r = faded(&s.steady, fade)
		if f := faded(&s.fast, fade); f > stragglerRatio {
			r = max(r, f)
		}
	}
	if s.waiting.Load() > 0 {
		r = max(r, s.stall(now))
	}
	return r
}

// stall is the lower bound of the ratio that silence gives: attempts are
// under way and none has ended for much longer than expected.
func (s *speed) stall(now int64) float64 {
	silence, expected := now-s.progressAt.Load(), s.awaited.Load()
	if expected <= 0 || silence < stalled*expected {
		return 0
	}
	return min(float64(silence)/float64(expected), maxRatio)
}
