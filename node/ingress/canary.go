package ingress

import (
	"os"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// canaryInterval is the shortest time between two bytes.
const canaryInterval = 20 * time.Millisecond

// canary measures how long a goroutine of this process waits after its input has arrived, as the goroutines of calls do: it
// writes bytes to a pipe that another goroutine reads. The runtime's histogram of scheduling latencies does not include the
// time until the runtime learns of the input.
type canary struct {
	clock clockwork.Clock
	r, w  *os.File

	mu      sync.Mutex
	written []time.Time // of bytes that have not been read, oldest first
	last    time.Time   // when the last byte was written
	waits   waits
}

func newCanary(clock clockwork.Clock) (*canary, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, errors.Trace(err)
	}
	c := &canary{clock: clock, r: r, w: w}
	go c.run()
	return c, nil
}

func (c *canary) close() {
	c.w.Close()
	c.r.Close()
}

// start begins a measurement unless one began just before.
func (c *canary) start(now time.Time) {
	c.mu.Lock()
	due := now.Sub(c.last) >= canaryInterval
	if due {
		c.last = now
		c.written = append(c.written, now)
	}
	c.mu.Unlock()
	if due {
		c.w.Write([]byte{0}) // an error means that it is closed; the pipe holds far more bytes than can wait
	}
}

func (c *canary) run() {
	var b [64]byte
	for {
		n, err := c.r.Read(b[:])
		if err != nil {
			return
		}
		now := c.clock.Now()
		c.mu.Lock()
		for _, at := range c.written[:n] {
			c.waits.add(now, now.Sub(at))
		}
		c.written = slices.Delete(c.written, 0, n)
		c.mu.Unlock()
	}
}

// median returns the median of the recent waits, see waits. A wait that goes on counts with its time so far if that is long.
func (c *canary) median(now, since time.Time) (m time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var pending []time.Duration
	for _, at := range c.written {
		if took := now.Sub(at); took > maxDelay && !at.Before(since) {
			pending = append(pending, took)
		}
	}
	return c.waits.median(now, since, pending...)
}
