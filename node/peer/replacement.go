package peer

import (
	"context"
	"time"
)

const (
	// silenceGrace is how long a silent connection has after the process has answered on another one: its own answers,
	// which were owed before, may be on their way.
	silenceGrace = 200 * time.Millisecond
	// reconnectInterval is the time between two attempts to reach a process whose connection is silent.
	reconnectInterval = 200 * time.Millisecond
)

// retire takes a connection that fell silent out of use. The caller holds c.mu.
func (c *Client) retire(old *link) {
	if c.current != old {
		return
	}
	c.current = nil
	c.unheard++
	if old.everReceived() {
		c.unheard = 0
	}
}

// replace opens a connection in place of one that fell silent and has calls in progress. Without any it is closed at once.
func (c *Client) replace(old *link) {
	c.mu.Lock()
	c.retire(old)
	inUse := old.inUse()
	if inUse {
		c.replaced[old] = struct{}{}
	}
	c.mu.Unlock()
	silentVar.Add("silent", 1)
	if !inUse {
		c.drop(old)
		return
	}
	c.awaitProof(old)
}

// awaitProof closes a silent connection once the process has answered on a new one. It returns when the connection is
// closed or carries bytes again.
func (c *Client) awaitProof(old *link) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-old.closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	for old.isSilent() && ctx.Err() == nil {
		next, err := c.acquire(ctx, (*link).beginPing)
		if err == nil && next.ping(ctx) == nil {
			sleep(ctx, silenceGrace)
			if old.isSilent() && ctx.Err() == nil {
				silentVar.Add("dead", 1)
				c.drop(old)
			}
			return
		}
		sleep(ctx, reconnectInterval)
	}
}
