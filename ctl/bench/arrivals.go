package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// Segment is a stretch of time with a constant load. Load 1 is the nominal
// capacity.
type Segment struct {
	Duration time.Duration
	Load     float64
}

func total(profile []Segment) time.Duration {
	var d time.Duration
	for _, s := range profile {
		d += s.Duration
	}
	return d
}

// poisson draws the arrival times of a Poisson process whose rate, per second,
// is each segment's load times unit.
func poisson(random *rand.Rand, profile []Segment, unit float64) []time.Duration {
	var out []time.Duration
	var start time.Duration
	for _, s := range profile {
		rate := s.Load * unit
		end := start + s.Duration
		for at := start; rate > 0; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= end {
				break // memoryless: the next segment starts afresh
			}
			out = append(out, at)
		}
		start = end
	}
	return out
}

// onOff turns a profile into one that is twice as high for a period and zero
// for the next.
func onOff(profile []Segment, period time.Duration) []Segment {
	var out []Segment
	on := true
	left := period
	for _, s := range profile {
		for s.Duration > 0 {
			part := min(left, s.Duration)
			load := 0.0
			if on {
				load = 2 * s.Load
			}
			out = append(out, Segment{part, load})
			s.Duration -= part
			left -= part
			if left == 0 {
				on, left = !on, period
			}
		}
	}
	return out
}

// size draws a log-normal size in bytes.
func size(random *rand.Rand, f *Flow) int {
	n := float64(f.Median) * math.Exp(random.NormFloat64()*f.Sigma)
	return max(1, min(int(n), f.Max))
}

const (
	letters   = "abcdefghijklmnopqrstuvwxyz "
	proseSize = 1 << 16
)

// prose is text to take words from.
var prose = func() string {
	random := rand.New(rand.NewPCG(1, 1))
	b := make([]byte, proseSize)
	for i := range b {
		b[i] = letters[random.IntN(len(letters))]
	}
	return string(b)
}()

// words returns n bytes of text, at most half of the prose.
func words(random *rand.Rand, n int) string {
	n = min(n, proseSize/2)
	start := random.IntN(proseSize - n)
	return prose[start : start+n]
}
