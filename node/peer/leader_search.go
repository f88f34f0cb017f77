package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// MethodCheckLeader is the control role's RPC method that succeeds only on a leader that a quorum has recently
// confirmed.
const MethodCheckLeader = "control.lead"

const (
	// SearchTimeout limits the search for a leader. It is slightly above the longest fail-over: after that, it
	// is better to let the caller retry later than to keep it waiting.
	SearchTimeout = 2500 * time.Millisecond
	probeInterval = 200 * time.Millisecond // average pause between two probes
)

// leaderSearch is a search for the leader. Its context ends with DeadlineExceeded after SearchTimeout, and with
// Canceled once there is a leader.
type leaderSearch struct {
	ctx  context.Context
	stop context.CancelFunc
}

func (s *leaderSearch) expired() bool { return errors.Is(s.ctx.Err(), context.DeadlineExceeded) }

// onExpiry calls f if the search expires before stop is called.
func (s *leaderSearch) onExpiry(f func()) (stop func() bool) {
	return context.AfterFunc(s.ctx, func() {
		if s.expired() {
			f()
		}
	})
}

func (c *LeaderClient) currentSearch() *leaderSearch {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.search
}

// searchExpired reports whether the current search has taken SearchTimeout without finding a leader.
func (c *LeaderClient) searchExpired() bool {
	s := c.currentSearch()
	return s != nil && s.expired()
}

// leaderFound ends the search, since a leader has answered.
func (c *LeaderClient) leaderFound() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.search != nil {
		c.search.stop()
		c.search = nil
	}
}

// startSearch starts a search, unless there is one, after a call was not answered by a leader. One goroutine
// probes for the leader until the search ends, so that it ends without any further calls.
func (c *LeaderClient) startSearch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.search != nil || c.ctx.Err() != nil {
		return
	}
	s := &leaderSearch{}
	s.ctx, s.stop = clockwork.WithTimeout(context.Background(), c.clock, SearchTimeout)
	c.search = s
	go c.probe(s)
}

// probe asks the control processes in turn until one is the leader.
func (c *LeaderClient) probe(s *leaderSearch) {
	for c.currentSearch() == s {
		client := c.pick()
		err := c.probeLeader(client)
		if isLeaderAnswer(err) {
			c.leaderFound()
			return
		}
		c.selectNext(client, err)
		sleep(c.ctx, probeInterval/2+rand.N(probeInterval))
	}
}

func (c *LeaderClient) probeLeader(client *Client) error {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	return client.Call(ctx, MethodCheckLeader, struct{}{}, nil)
}
