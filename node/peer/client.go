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

// Client calls one address over one connection, which it opens on demand and reopens after a failure.
type Client struct {
	address string
	dial    Dialer
	dialing chan struct{} // semaphore: contains a token during a dial

	mu       sync.Mutex
	conn     *jsonrpc2.Conn
	received atomic.Uint64
}

// NewClient returns a client. It connects on the first call.
func NewClient(address string, dial Dialer) *Client {
	return &Client{address: address, dial: dial, dialing: make(chan struct{}, 1)}
}

// BytesReceived returns the number of bytes received from the address so far. It grows while an answer is being
// received.
func (c *Client) BytesReceived() uint64 { return c.received.Load() }

// countingConn counts received bytes.
type countingConn struct {
	net.Conn
	received *atomic.Uint64
}

// Read implements io.Reader.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(n))
	return n, err
}

// Address returns the address that the client calls.
func (c *Client) Address() string { return c.address }

func (c *Client) connection(ctx context.Context) (*jsonrpc2.Conn, error) {
	if conn := c.connected(); conn != nil {
		return conn, nil
	}
	select {
	case c.dialing <- struct{}{}:
		defer func() { <-c.dialing }()
	case <-ctx.Done():
		return nil, errors.WithType(errors.Trace(ctx.Err()), ErrUnreachable)
	}
	if conn := c.connected(); conn != nil {
		return conn, nil
	}
	raw, err := dialWithRetry(ctx, c.dial, c.address)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrUnreachable)
	}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this end only calls"}
	})
	conn := jsonrpc2.NewConn(context.Background(), newStream(countingConn{raw, &c.received}), refuse, jsonrpc2.SetLogger(discardLogger{}))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	return conn, nil
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

func (c *Client) connected() *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return nil
	}
	select {
	case <-c.conn.DisconnectNotify():
		c.conn = nil
	default:
	}
	return c.conn
}

// Call sends params and decodes the answer into result. If ctx's deadline expires, the connection is closed,
// since it may be dead. If ctx is cancelled, it is kept for other calls. The error is ErrUnreachable if the
// call was not sent, or *ErrNotLeader or *verdict.Error if the server returned one.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	conn, err := c.connection(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.drop(conn)
	}
	if err != nil {
		return decodeError(err)
	}
	return nil
}

// CallWithin is Call, except that the connection is kept for other calls if ctx's deadline expires: the process may be
// slow, and the call is of use only until then.
func (c *Client) CallWithin(ctx context.Context, method string, params, result any) error {
	call, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	return c.Call(call, method, params, result)
}

// Notify sends params without waiting for an answer.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	conn, err := c.connection(ctx)
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, method, params); err != nil {
		c.drop(conn)
		return errors.Trace(err)
	}
	return nil
}

func (c *Client) drop(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.Close()
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
