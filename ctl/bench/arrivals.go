package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// Segment is a period of constant load. Load 1 is the nominal capacity.
type Segment struct {
	Duration time.Duration
	Load     float64
}

func totalDuration(profile []Segment) time.Duration {
	var d time.Duration
	for _, s := range profile {
		d += s.Duration
	}
	return d
}

// poissonArrivals draws the arrival times of a Poisson process. Its rate per second is the load of each
// segment times unit.
func poissonArrivals(random *rand.Rand, profile []Segment, unit float64) []time.Duration {
	var out []time.Duration
	var start time.Duration
	for _, s := range profile {
		rate := s.Load * unit
		end := start + s.Duration
		for at := start; rate > 0; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= end {
				break // memoryless: the next segment starts anew
			}
			out = append(out, at)
		}
		start = end
	}
	return out
}

// onOffProfile returns a profile that alternates between twice the load for one period and no load for the
// next.
func onOffProfile(profile []Segment, period time.Duration) []Segment {
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

// querySize draws a log-normally distributed size in bytes.
func querySize(random *rand.Rand, f *Flow) int {
	n := float64(f.Median) * math.Exp(random.NormFloat64()*f.Sigma)
	return max(1, min(int(n), f.Max))
}

const (
	letters        = "abcdefghijklmnopqrstuvwxyz "
	textSourceSize = 1 << 16
)

// textSource is pseudo-random text that queries are cut from.
var textSource = func() string {
	random := rand.New(rand.NewPCG(1, 1))
	b := make([]byte, textSourceSize)
	for i := range b {
		b[i] = letters[random.IntN(len(letters))]
	}
	return string(b)
}()

// randomText returns n bytes of text, at most half of textSource.
func randomText(random *rand.Rand, n int) string {
	n = min(n, textSourceSize/2)
	start := random.IntN(textSourceSize - n)
	return textSource[start : start+n]
}
