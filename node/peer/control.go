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

// Control calls the control processes. It remembers which one leads and finds
// the new leader after a change.
type Control struct {
	clock     clockwork.Clock
	ctx       context.Context // ends with Close
	close     context.CancelFunc
	directory *Directory
	dial      Dialer

	mu         sync.Mutex
	clients    []*Client // never empty
	generation uint64    // of the directory, as clients were made
	current    int
	search     *search // nil while the leader answers
}

// NewControl returns a Control over the given addresses.
func NewControl(addresses []string, dial Dialer) *Control {
	return NewDirectoryControl(NewDirectory(addresses), dial)
}

// NewDirectoryControl returns a Control that follows the directory, which must
// not be empty.
func NewDirectoryControl(directory *Directory, dial Dialer) *Control {
	c := &Control{clock: clockwork.NewRealClock(), directory: directory, dial: dial}
	c.ctx, c.close = context.WithCancel(context.Background())
	c.follow()
	return c
}

// follow takes over the directory's addresses. The caller holds c.mu or owns c.
func (c *Control) follow() {
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

// reuse takes the client of the address out of old, or makes one.
func (c *Control) reuse(old *[]*Client, address string) *Client {
	for i, cl := range *old {
		if cl.address == address {
			*old = slices.Delete(*old, i, i+1)
			return cl
		}
	}
	return NewClient(address, c.dial)
}

const (
	retryPause = 50 * time.Millisecond
	callLimit  = 2 * time.Second // a control process that does not answer by then is passed over
)

// ErrNoLeader says that no leader answered a call in time. The call may have
// reached one, and may take effect.
const ErrNoLeader = errors.ConstError("peer: no leader answered")

// ErrNotTaken says, beside ErrNoLeader, that no process took the call: it has no
// effect, now or later.
const ErrNotTaken = errors.ConstError("peer: call not taken")

// CallLeader repeats an idempotent call until the leader has answered it, ctx
// has ended or SearchLimit is over. Once no leader has been found for
// SearchLimit it fails at once, with ErrNoLeader as in the other two cases.
func (c *Control) CallLeader(ctx context.Context, method string, params, result any) error {
	caller := ctx
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	defer c.clock.AfterFunc(SearchLimit, cancel).Stop()
	var last error
	taken := false
	for ctx.Err() == nil && !c.givenUp() {
		client := c.pick()
		last = c.callOnce(ctx, client, method, params, result)
		if led(last) {
			c.found()
			return untaken(last, taken)
		}
		taken = taken || !refused(last)
		if errors.Is(caller.Err(), context.Canceled) {
			break // the caller left; that says nothing about the leader
		}
		c.missed()
		c.moveOn(client, last)
		sleep(ctx, retryPause)
	}
	if last == nil {
		last = ErrNoLeader
	}
	return untaken(errors.WithType(errors.Annotate(last, method), ErrNoLeader), taken)
}

// untaken adds ErrNotTaken to a failure of a call that no process took.
func untaken(err error, taken bool) error {
	if err == nil || taken || !refused(err) && !errors.Is(err, ErrNoLeader) {
		return err
	}
	return errors.WithType(err, ErrNotTaken)
}

// refused reports whether err proves that the call was not taken.
func refused(err error) bool {
	var nl *ErrNotLeader
	var v *verdict.Error
	return errors.As(err, &nl) || errors.Is(err, ErrUnreachable) || errors.As(err, &v) && v.Verdict == verdict.NotRun
}

// led reports whether err, or its absence, is a leader's answer.
func led(err error) bool {
	if err == nil {
		return true
	}
	var v *verdict.Error
	return errors.As(err, &v) && !leadershipEnded(v)
}

// leadershipEnded reports whether the called process stopped leading while it
// held the call. The next leader can answer it, since it is idempotent.
func leadershipEnded(v *verdict.Error) bool {
	return v.Code == verdict.CodeShuttingDown || v.Code == verdict.CodeNoQuorum
}

func (c *Control) callOnce(ctx context.Context, client *Client, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if s := c.searching(); s != nil {
		defer s.onExpiry(cancel)()
	}
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
	c.follow()
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
		if nl.Address != from.address { // it became a voter lately
			c.clients = append(c.clients, NewClient(nl.Address, c.dial))
			c.current = len(c.clients) - 1
			return
		}
	}
	c.current = (c.current + 1) % len(c.clients)
}

// Close closes all connections.
func (c *Control) Close() {
	c.close()
	c.found()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range c.clients {
		cl.Close()
	}
}
