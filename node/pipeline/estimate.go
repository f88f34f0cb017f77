package pipeline

import (
	"math"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

// histogram holds durations in exponential buckets. Old samples lose weight: all counts are halved when there
// are halveAt of them, and every agePeriod while more than minAgedSamples remain, so that a rarely used
// service keeps its estimate.
type histogram struct {
	mu     sync.Mutex
	counts [buckets]float32
	total  float32
	aged   time.Time
}

const (
	buckets          = 168
	bucketsPerOctave = 8
	minDuration      = 100 * time.Microsecond
	halveAt          = 512 // samples at which counts are halved
	minAgedSamples   = 64  // samples that are kept regardless of age
	agePeriod        = 5 * time.Second
	minSamples       = 16 // with fewer there is no estimate
)

func bucketOf(d time.Duration) int {
	if d <= minDuration {
		return 0
	}
	i := int(math.Log2(float64(d)/float64(minDuration))*bucketsPerOctave) + 1
	return min(i, buckets-1)
}

// upperBound returns the upper bound of a bucket.
func upperBound(i int) time.Duration {
	return time.Duration(float64(minDuration) * math.Exp2(float64(i)/bucketsPerOctave))
}

func (h *histogram) add(d time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.total >= halveAt || h.total > minAgedSamples && now.Sub(h.aged) > agePeriod {
		h.halve()
		h.aged = now
	}
	h.counts[bucketOf(d)]++
	h.total++
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// quantile returns the duration that a share q of the samples does not exceed.
func (h *histogram) quantile(q float64) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.total < minSamples {
		return 0, false
	}
	rest := float32(q) * h.total
	for i, n := range h.counts {
		rest -= n
		if rest <= 0 {
			return upperBound(i), true
		}
	}
	return upperBound(buckets - 1), true
}

const sizeClasses = 8

// estimate holds the durations of one kind of work, by the size of its request.
type estimate struct {
	all    histogram
	bySize [sizeClasses]histogram
}

func sizeClass(bytes int) int { return min(bits.Len(uint(bytes)>>10)/2, sizeClasses-1) }

func (e *estimate) add(size int, d time.Duration) {
	now := time.Now()
	e.all.add(d, now)
	e.bySize[sizeClass(size)].add(d, now)
}

func (e *estimate) quantile(size int, q float64) (time.Duration, bool) {
	if d, ok := e.bySize[sizeClass(size)].quantile(q); ok {
		return d, true
	}
	return e.all.quantile(q)
}

// estimates holds an estimate for each name.
type estimates struct{ m sync.Map }

func (e *estimates) get(name string) *estimate {
	if v, ok := e.m.Load(name); ok {
		return v.(*estimate)
	}
	v, _ := e.m.LoadOrStore(name, &estimate{})
	return v.(*estimate)
}

// eventGaps holds the average time between two events of a service's streams.
type eventGaps struct{ m sync.Map }

// movingAverage is an exponential moving average in nanoseconds.
type movingAverage struct{ value atomic.Int64 }

const gapWeight = 16 // reciprocal of the weight of a new sample

func (g *eventGaps) get(service string) *movingAverage {
	if v, ok := g.m.Load(service); ok {
		return v.(*movingAverage)
	}
	v, _ := g.m.LoadOrStore(service, &movingAverage{})
	return v.(*movingAverage)
}

func (g *movingAverage) add(d time.Duration) {
	old := g.value.Load()
	if old == 0 {
		g.value.Store(int64(d))
		return
	}
	g.value.Store(old + (int64(d)-old)/gapWeight)
}
