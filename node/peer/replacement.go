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
	if c.current == old {
		c.current = nil
		c.silences.Add(1)
	}
}

// doublings returns how often the time-outs are doubled: a process that is slow or stopped must not get ever more
// connections.
func (c *Client) doublings() int32 { return min(c.silences.Load(), maxTimeoutDoublings) }

// replace finds out whether a connection that fell silent is dead, and closes it then, or once its calls are over.
func (c *Client) replace(old *link) {
	silentVar.Add("silent", 1)
	c.mu.Lock()
	c.retire(old)
	c.replaced[old] = true
	c.mu.Unlock()
	dead := c.isDead(old)
	if dead {
		c.silences.Store(0)
		silentVar.Add("dead", 1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if dead || !old.inUse() {
		delete(c.replaced, old)
		old.close()
		return
	}
	c.replaced[old] = false
}

// closeUnused closes the current connection if it has no calls in progress: it may have been opened after Close.
func (c *Client) closeUnused(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == l && !l.inUse() {
		c.current = nil
		l.close()
	}
}

// isDead reports whether the process answers on a new connection while the old one stays silent. It tries until the old
// one is closed or carries bytes again; once if that has no calls in progress.
func (c *Client) isDead(old *link) bool {
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
		if err == nil && ctx.Err() != nil {
			c.closeUnused(next)
			return false
		}
		if err == nil && next.ping(ctx) == nil {
			sleep(ctx, silenceGrace)
			return old.isSilent() && ctx.Err() == nil
		}
		if !old.inUse() {
			return false
		}
		sleep(ctx, reconnectInterval)
	}
	return false
}
