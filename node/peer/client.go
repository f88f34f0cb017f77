package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Client calls one address over one connection, which it opens on demand and reopens after a failure. A connection that
// falls silent is replaced for all further calls. Its calls in progress fail once the process has answered on the new
// connection and still sends nothing on the old one; a process that is slow or stopped keeps them.
type Client struct {
	address string
	dial    Dialer
	dialing chan struct{} // semaphore: contains a token during a dial

	mu       sync.Mutex
	current  *link
	replaced map[*link]bool // connections that fell silent; true while it is not known whether they are dead
	silences atomic.Int32   // consecutive ones that were not proven to be of the connection
	received atomic.Uint64
}

// NewClient returns a client. It connects on the first call.
func NewClient(address string, dial Dialer) *Client {
	return &Client{address: address, dial: dial, dialing: make(chan struct{}, 1), replaced: map[*link]bool{}}
}

// BytesReceived returns the number of bytes received from the address so far. It grows while an answer is being
// received.
func (c *Client) BytesReceived() uint64 { return c.received.Load() }

// Address returns the address that the client calls.
func (c *Client) Address() string { return c.address }

// acquire returns the connection for a call, with begin applied to it: a connection in use is not closed.
func (c *Client) acquire(ctx context.Context, begin func(*link)) (*link, error) {
	if l := c.connected(begin); l != nil {
		return l, nil
	}
	select {
	case c.dialing <- struct{}{}:
		defer func() { <-c.dialing }()
	case <-ctx.Done():
		return nil, errors.WithType(errors.Trace(ctx.Err()), ErrUnreachable)
	}
	if l := c.connected(begin); l != nil {
		return l, nil
	}
	raw, err := dialWithRetry(ctx, c.dial, c.address)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrUnreachable)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l := newLink(raw, c.doublings, c.replace, &c.received)
	begin(l)
	c.current = l
	openedVar.Add(1)
	return l, nil
}

// firstDialTimeout limits the first attempt to connect; each further attempt has twice as long. The SYN to a
// VM that is just starting is lost, and the kernel retransmits it only after a second, during which all
// replicas would be without a leader. The value is above a round trip between regions.
const firstDialTimeout = 200 * time.Millisecond

// dialWithRetry connects. It repeats an attempt that gets no answer at all, within dialTimeout in total.
func dialWithRetry(ctx context.Context, dial Dialer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for limit := firstDialTimeout; ; limit *= 2 {
		attempt, cancel := context.WithTimeout(ctx, limit)
		conn, err := dial(attempt, address)
		unanswered := attempt.Err() != nil
		cancel()
		if err == nil || ctx.Err() != nil || !unanswered {
			return conn, err
		}
	}
}

// connected returns the current connection, with begin applied to it, or nil if there is none.
func (c *Client) connected(begin func(*link)) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return nil
	}
	select {
	case <-c.current.conn.DisconnectNotify():
		c.current.close()
		c.current = nil
		return nil
	case <-c.current.silenced:
		c.retire(c.current)
		return nil
	default:
	}
	begin(c.current)
	return c.current
}

// Call sends params, at most once, and decodes the answer into result. The connection is kept for other calls if ctx ends.
// The error is ErrUnreachable if the call was not sent, or *ErrNotLeader or *verdict.Error if the server returned one.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	l, err := c.acquire(ctx, (*link).beginCall)
	if err != nil {
		return err
	}
	defer c.endCall(l)
	if err := l.conn.Call(ctx, method, params, result); err != nil {
		return decodeError(err)
	}
	return nil
}

// maxSends bounds how often CallIdempotent sends a call.
const maxSends = 3

// CallIdempotent is Call for a call that may be received several times: it is sent again, over a new connection, when the
// one that carries it falls silent or breaks. The error is ErrUnreachable only if it was never sent.
func (c *Client) CallIdempotent(ctx context.Context, method string, params, result any) error {
	return c.Poll(ctx, 0, method, params, result)
}

// ErrSentBefore says, in addition to another error, that the call was also sent over a connection that was lost: what the
// error says holds for the last time only.
const ErrSentBefore = errors.ConstError("peer: also sent over a connection that was lost")

// Poll is CallIdempotent for a call whose answer the server may hold back for the given time. The connection is not checked
// during that time, so that idle processes exchange no pings.
func (c *Client) Poll(ctx context.Context, wait time.Duration, method string, params, result any) error {
	for sends := 1; ; sends++ {
		l, err := c.acquire(ctx, func(l *link) { l.beginPoll(wait) })
		if err != nil && sends > 1 {
			return errors.WithType(errors.Errorf("peer: connection lost during a call, then: %v", err), ErrSentBefore)
		}
		if err != nil {
			return err
		}
		err = c.callUntilSilent(ctx, l, method, params, result)
		if answered(err) || ctx.Err() != nil || sends == maxSends {
			switch {
			case err == nil:
				return nil
			case sends > 1:
				return errors.WithType(decodeError(err), ErrSentBefore)
			}
			return decodeError(err)
		}
	}
}

// callUntilSilent calls over one connection and gives up when that falls silent.
func (c *Client) callUntilSilent(ctx context.Context, l *link, method string, params, result any) error {
	defer c.endCall(l)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-l.silenced:
			cancel()
		case <-ctx.Done():
		}
	}()
	return l.conn.Call(ctx, method, params, result)
}

// answered reports whether a call on a connection got an answer, be it an error.
func answered(err error) bool {
	var rpc *jsonrpc2.Error
	return err == nil || errors.As(err, &rpc)
}

// Notify sends params without waiting for an answer.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	l, err := c.acquire(ctx, (*link).beginNotification)
	if err != nil {
		return err
	}
	if err := l.conn.Notify(ctx, method, params); err != nil {
		c.drop(l)
		return errors.Trace(err)
	}
	return nil
}

// endCall closes a connection that is no longer used once its last call is over.
func (c *Client) endCall(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if unproven, replaced := c.replaced[l]; l.endCall() && replaced && !unproven {
		delete(c.replaced, l)
		l.close()
	}
}

// drop closes a connection.
func (c *Client) drop(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == l {
		c.current = nil
	}
	delete(c.replaced, l)
	l.close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.current.close()
		c.current = nil
	}
	for l := range c.replaced {
		l.close()
	}
	clear(c.replaced)
}
