package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
)

// LeaderClient calls the control processes. It remembers the leader, and finds the new one after a change.
type LeaderClient struct {
	clock     clockwork.Clock
	ctx       context.Context // cancelled by Close
	close     context.CancelFunc
	directory *Directory
	dial      Dialer

	mu         sync.Mutex
	clients    []*Client // never empty
	generation uint64    // of the directory when clients was built
	current    int
	search     *leaderSearch // nil while the leader answers
}

// NewLeaderClient returns a LeaderClient for a fixed list of addresses.
func NewLeaderClient(addresses []string, dial Dialer) *LeaderClient {
	return NewDirectoryLeaderClient(NewDirectory(addresses), dial)
}

// NewDirectoryLeaderClient returns a LeaderClient for the addresses in the directory, which must not be empty.
func NewDirectoryLeaderClient(directory *Directory, dial Dialer) *LeaderClient {
	c := &LeaderClient{clock: clockwork.NewRealClock(), directory: directory, dial: dial}
	c.ctx, c.close = context.WithCancel(context.Background())
	c.refreshClients()
	return c
}

// refreshClients adopts changes of the directory. The caller holds c.mu or has exclusive access to c.
func (c *LeaderClient) refreshClients() {
	addresses, generation := c.directory.Addresses()
	if generation == c.generation {
		return
	}
	var current string
	if len(c.clients) > 0 {
		current = c.clients[c.current].address
	}
	old := c.clients
	c.clients, c.current, c.generation = nil, 0, generation
	for i, a := range addresses {
		c.clients = append(c.clients, c.reuse(&old, a))
		if a == current {
			c.current = i
		}
	}
	for _, cl := range old {
		cl.Close()
	}
}

// reuse removes the client of the address from old, or creates one.
func (c *LeaderClient) reuse(old *[]*Client, address string) *Client {
	for i, cl := range *old {
		if cl.address == address {
			*old = slices.Delete(*old, i, i+1)
			return cl
		}
	}
	return NewClient(address, c.dial)
}

const (
	retryInterval = 50 * time.Millisecond
	callTimeout   = 2 * time.Second // a control process that does not answer within this time is skipped
)

// ErrNoLeader says that no leader answered a call in time. The call may have been received, and may still
// take effect.
const ErrNoLeader = errors.ConstError("peer: no leader answered")

// ErrNotAccepted says, in addition to another error, that no process accepted the call: it has no effect, now or
// later.
const ErrNotAccepted = errors.ConstError("peer: call not accepted")

// CallLeader repeats an idempotent call until the leader answers, ctx ends or SearchTimeout expires. If a
// search for the leader has already taken SearchTimeout, it fails immediately. Without an answer of the
// leader, the error is ErrNoLeader. If no process accepted the call, it is ErrNotAccepted as well.
func (c *LeaderClient) CallLeader(ctx context.Context, method string, params, result any) error {
	caller := ctx
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	defer c.clock.AfterFunc(SearchTimeout, cancel).Stop()
	var last error
	taken := false
	for ctx.Err() == nil && !c.searchExpired() {
		client := c.pick()
		last = c.callOnce(ctx, client, method, params, result)
		if isLeaderAnswer(last) {
			c.leaderFound()
			return withNotAccepted(last, taken)
		}
		taken = taken || !notAccepted(last)
		if errors.Is(caller.Err(), context.Canceled) {
			break // the caller gave up, which says nothing about the leader
		}
		c.startSearch()
		c.selectNext(client, last)
		sleep(ctx, retryInterval)
	}
	if last == nil {
		last = ErrNoLeader
	}
	return withNotAccepted(errors.WithType(errors.Annotate(last, method), ErrNoLeader), taken)
}

// withNotAccepted adds ErrNotAccepted to the error of a call that no process accepted.
func withNotAccepted(err error, taken bool) error {
	if err == nil || taken || !notAccepted(err) && !errors.Is(err, ErrNoLeader) {
		return err
	}
	return errors.WithType(err, ErrNotAccepted)
}

// notAccepted reports whether err proves that the call was not accepted.
func notAccepted(err error) bool {
	if errors.Is(err, ErrSentBefore) {
		return false
	}
	var nl *ErrNotLeader
	var v *verdict.Error
	return errors.As(err, &nl) || errors.Is(err, ErrUnreachable) || errors.As(err, &v) && v.Verdict == verdict.NotRun
}

// isLeaderAnswer reports whether err (or nil) is an answer of the leader.
func isLeaderAnswer(err error) bool {
	if err == nil {
		return true
	}
	var v *verdict.Error
	return errors.As(err, &v) && !leadershipEnded(v)
}

// leadershipEnded reports whether the called process lost leadership during the call. The next leader can
// serve the call, since it is idempotent.
func leadershipEnded(v *verdict.Error) bool {
	return v.Code == verdict.CodeShuttingDown || v.Code == verdict.CodeNoQuorum
}

func (c *LeaderClient) callOnce(ctx context.Context, client *Client, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s := c.currentSearch(); s != nil {
		defer s.onExpiry(cancel)()
	}
	return client.CallIdempotent(ctx, method, params, result)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *LeaderClient) pick() *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshClients()
	return c.clients[c.current]
}

// Next switches to the next control process.
func (c *LeaderClient) Next() { c.selectNext(c.pick(), nil) }

// Current returns the client of the control process in use.
func (c *LeaderClient) Current() *Client { return c.pick() }

func (c *LeaderClient) selectNext(from *Client, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[c.current] != from {
		return // another caller already switched
	}
	var nl *ErrNotLeader
	if errors.As(err, &nl) && nl.Address != "" {
		for i, cl := range c.clients {
			if cl.address == nl.Address && cl != from {
				c.current = i
				return
			}
		}
		if nl.Address != from.address { // it recently became a voter
			c.clients = append(c.clients, NewClient(nl.Address, c.dial))
			c.current = len(c.clients) - 1
			return
		}
	}
	c.current = (c.current + 1) % len(c.clients)
}

// Close closes all connections.
func (c *LeaderClient) Close() {
	c.close()
	c.leaderFound()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range c.clients {
		cl.Close()
	}
}
