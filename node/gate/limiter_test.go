package gate

import (
	"math/rand/v2"
	"testing"
	"time"
)

// batchEngine simulates an engine with continuous batching under closed-loop load. A step gives every running
// call one token and takes longer the more calls run; past the cache capacity the engine recomputes what it
// evicted.
type batchEngine struct {
	limiter  limiter
	capacity int
	now      time.Time
	random   *rand.Rand
	tokens   int
	running  []*batchCall
}

type batchCall struct {
	left    int
	started time.Time
}

const (
	stepBase    = 10 * time.Millisecond
	stepPerCall = 200 * time.Microsecond
	callers     = 64
)

func (e *batchEngine) step() {
	for len(e.running) < min(e.limiter.limit(), callers) {
		e.running = append(e.running, &batchCall{left: 20 + e.random.IntN(41), started: e.now})
	}
	took := stepBase + time.Duration(len(e.running))*stepPerCall
	if over := float64(len(e.running)) / float64(e.capacity); over > 1 {
		took = time.Duration(float64(took) * over * over * over)
	}
	e.now = e.now.Add(took)
	e.tokens += len(e.running)
	n := len(e.running)
	kept := e.running[:0]
	for _, c := range e.running {
		c.left--
		if c.left == 0 {
			e.limiter.runEnded(e.now, e.now.Sub(c.started), n, nil)
			continue
		}
		kept = append(kept, c)
	}
	e.running = kept
}

// rate returns tokens per second over the second half of the simulation.
func rate(l limiter, capacity int) float64 {
	start := time.Unix(1_700_000_000, 0)
	e := &batchEngine{limiter: l, capacity: capacity, now: start, random: rand.New(rand.NewPCG(1, 2))}
	const length = 20 * time.Minute
	at, half := 0, time.Time{}
	for e.now.Sub(start) < length {
		if half.IsZero() && e.now.Sub(start) > length/2 {
			at, half = e.tokens, e.now
		}
		e.step()
	}
	return float64(e.tokens-at) / e.now.Sub(half).Seconds()
}

// A limiter whose configured maximum is too high must stay close to the best fixed limit, and close to the
// maximum where that is the best limit.
func TestLimitersOnABatchingEngine(t *testing.T) {
	for _, capacity := range []int{12, 24, 64} {
		best := 0.0
		for n := 1; n <= callers; n++ {
			best = max(best, rate(fixedLimiter(n), capacity))
		}
		fixed := rate(newLimiter(limiterFixed, callers), capacity) / best
		climb := rate(newLimiter(limiterClimb, callers), capacity) / best
		t.Logf("capacity %d calls, maximum %d, share of the best fixed limit's tokens/s: fixed %.2f climb %.2f", capacity, callers, fixed, climb)
		if climb < 0.75 {
			t.Errorf("capacity %d calls: %.2f of the best fixed limit", capacity, climb)
		}
	}
}
