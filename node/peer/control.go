package peer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
)

// Control calls the control processes. It remembers which one leads and finds
// the new leader after a change.
type Control struct {
	mu      sync.Mutex
	clients []*Client
	current int
}

// NewControl returns a Control over the given addresses.
func NewControl(addresses []string, dial Dialer) *Control {
	c := &Control{}
	for _, a := range addresses {
		c.clients = append(c.clients, NewClient(a, dial))
	}
	return c
}

const (
	retryPause = 50 * time.Millisecond
	callLimit  = 2 * time.Second // a control process that does not answer by then is passed over
)

// CallLeader repeats an idempotent call until the leader has answered it or
// ctx has ended.
func (c *Control) CallLeader(ctx context.Context, method string, params, result any) error {
	var last error
	for ctx.Err() == nil {
		client := c.pick()
		last = c.callOnce(ctx, client, method, params, result)
		if last == nil {
			return nil
		}
		var v *verdict.Error
		if errors.As(last, &v) && !leadershipEnded(v) {
			return last
		}
		c.moveOn(client, last)
		sleep(ctx, retryPause)
	}
	return errors.Annotatef(last, "no leader answered %s", method)
}

// leadershipEnded reports whether the called process stopped leading while it
// held the call. The next leader can answer it, since it is idempotent.
func leadershipEnded(v *verdict.Error) bool {
	return v.Code == verdict.CodeShutdown || v.Code == verdict.CodeNoQuorum
}

func (c *Control) callOnce(ctx context.Context, client *Client, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return client.Call(ctx, method, params, result)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *Control) pick() *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clients[c.current]
}

// Next passes over the current control process.
func (c *Control) Next() { c.moveOn(c.pick(), nil) }

// Current returns the client of the control process in use.
func (c *Control) Current() *Client { return c.pick() }

func (c *Control) moveOn(from *Client, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[c.current] != from {
		return // somebody else did
	}
	var nl *ErrNotLeader
	if errors.As(err, &nl) && nl.Address != "" {
		for i, cl := range c.clients {
			if cl.address == nl.Address && cl != from {
				c.current = i
				return
			}
		}
	}
	c.current = (c.current + 1) % len(c.clients)
}

// Close closes all connections.
func (c *Control) Close() {
	for _, cl := range c.clients {
		cl.Close()
	}
}
