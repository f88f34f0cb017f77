// Package peer carries typed calls between caperdrum's processes as JSON-RPC
// 2.0 over TCP. Request bodies and token streams do not travel here: JSON-RPC
// cannot stream under back-pressure, so those use HTTP.
package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// JSON-RPC error codes of this protocol.
const (
	codeVerdict   = -32000
	codeNotLeader = -32001
)

// ErrNotLeader says that the called control process does not lead. Leader and
// Address name the one that does, if it is known.
type ErrNotLeader struct {
	Leader  wire.MemberID `json:"leader"`
	Address string        `json:"address"`
}

// Error implements error.
func (e *ErrNotLeader) Error() string { return "not the leader; the leader is " + string(e.Leader) }

// ErrUnreachable says that a call was never sent.
var ErrUnreachable = errors.New("peer: unreachable")

// Dialer opens connections. Tests replace it to cut links.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

const dialTimeout = time.Second

// DialTCP is the Dialer without encryption.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers calls. Handlers are added before Serve.
type Server struct {
	handlers map[string]handler

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
	done  bool
}

// NewServer returns a server without handlers.
func NewServer() *Server {
	return &Server{handlers: map[string]handler{}, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Handle adds a typed handler. An error of type *verdict.Error or
// *ErrNotLeader reaches the caller as it is; another one as its message.
func Handle[Req, Resp any](s *Server, method string, h func(context.Context, *Req) (*Resp, error)) {
	s.handlers[method] = func(ctx context.Context, params json.RawMessage) (any, error) {
		req := new(Req)
		if err := json.Unmarshal(params, req); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		resp, err := h(ctx, req)
		if err != nil {
			return nil, encodeError(err)
		}
		return resp, nil
	}
}

func encodeError(err error) error {
	out := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	var v *verdict.Error
	var nl *ErrNotLeader
	switch {
	case errors.As(err, &nl):
		out.Code = codeNotLeader
		out.SetError(nl)
	case errors.As(err, &v):
		out.Code = codeVerdict
		out.SetError(v)
	}
	return out
}

func decodeError(err error) error {
	var rpc *jsonrpc2.Error
	if !errors.As(err, &rpc) || rpc.Data == nil {
		return errors.Trace(err)
	}
	switch rpc.Code {
	case codeNotLeader:
		nl := &ErrNotLeader{}
		if json.Unmarshal(*rpc.Data, nl) == nil {
			return nl
		}
	case codeVerdict:
		v := &verdict.Error{}
		if json.Unmarshal(*rpc.Data, v) == nil {
			return v
		}
	}
	return errors.Trace(err)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	h := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.dispatch).SuppressErrClosed())
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		s.mu.Lock()
		if s.done {
			s.mu.Unlock()
			c.Close()
			continue
		}
		conn := jsonrpc2.NewConn(context.Background(), stream(c), h, jsonrpc2.SetLogger(silent{}))
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go s.forget(conn)
	}
}

func (s *Server) forget(conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.done = true
	conns := s.conns
	s.conns = map[*jsonrpc2.Conn]struct{}{}
	s.mu.Unlock()
	for c := range conns {
		c.Close()
	}
}

func (s *Server) dispatch(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	h := s.handlers[req.Method]
	if h == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return h(ctx, params)
}

func stream(c net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewPlainObjectStream(c)
}

type silent struct{}

func (silent) Printf(string, ...any) {}

// Client calls one address over one connection, which it opens when needed
// and again after a failure.
type Client struct {
	address string
	dial    Dialer

	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// NewClient returns a client; it does not connect yet.
func NewClient(address string, dial Dialer) *Client {
	return &Client{address: address, dial: dial}
}

// Address returns the address the client calls.
func (c *Client) Address() string { return c.address }

func (c *Client) connection(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
			c.conn = nil
		default:
			return c.conn, nil
		}
	}
	raw, err := c.dial(ctx, c.address)
	if err != nil {
		return nil, errors.Wrap(err, ErrUnreachable)
	}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this end only calls"}
	})
	c.conn = jsonrpc2.NewConn(context.Background(), stream(raw), refuse, jsonrpc2.SetLogger(silent{}))
	return c.conn, nil
}

// Call sends params and decodes the answer into result. When ctx ends first
// the connection is dropped, since it may be cut silently.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	conn, err := c.connection(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	if ctx.Err() != nil && err != nil {
		c.drop(conn)
	}
	if err != nil {
		return decodeError(err)
	}
	return nil
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
