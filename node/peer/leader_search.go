package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// MethodLead is the control role's method that only a leader answers of which
// a quorum has confirmed lately that it leads.
const MethodLead = "control.lead"

const (
	// SearchLimit bounds the search for a leader. It is a little above the
	// worst fail-over: a caller is better told to come back than held.
	SearchLimit   = 2500 * time.Millisecond
	probeInterval = 200 * time.Millisecond // between two questions for the leader, on average
)

// search is the time since the leader was last heard of. Its context ends with
// DeadlineExceeded after SearchLimit, and with Canceled once there is a leader.
type leaderSearch struct {
	ctx  context.Context
	stop context.CancelFunc
}

func (s *leaderSearch) expired() bool { return errors.Is(s.ctx.Err(), context.DeadlineExceeded) }

// onExpiry calls f if the search expires before the returned function is
// called.
func (s *leaderSearch) onExpiry(f func()) (stop func() bool) {
	return context.AfterFunc(s.ctx, func() {
		if s.expired() {
			f()
		}
	})
}

func (c *Control) currentSearch() *leaderSearch {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.search
}

// givenUp reports whether no leader was found for SearchLimit.
func (c *Control) searchExpired() bool {
	s := c.currentSearch()
	return s != nil && s.expired()
}

// found notes that a leader answered.
func (c *Control) leaderFound() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.search != nil {
		c.search.stop()
		c.search = nil
	}
}

// missed notes that a call was not answered by a leader. From then on one
// goroutine asks for the leader, so that the end of the search is noticed
// without any caller's help.
func (c *Control) startSearch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.search != nil || c.ctx.Err() != nil {
		return
	}
	s := &leaderSearch{}
	s.ctx, s.stop = clockwork.WithTimeout(context.Background(), c.clock, SearchLimit)
	c.search = s
	go c.probe(s)
}

// probe asks for the leader until one was found.
func (c *Control) probe(s *leaderSearch) {
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

func (c *Control) probeLeader(client *Client) error {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	return client.Call(ctx, MethodLead, struct{}{}, nil)
}
