// Package peer carries typed calls between caperdrum's processes as JSON-RPC 2.0 over TCP. Request bodies and
// token streams use HTTP instead, since JSON-RPC cannot stream with back-pressure.
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

// ErrNotLeader says that the called control process is not the leader. Leader and Address identify the
// leader, if it is known.
type ErrNotLeader struct {
	Leader  wire.MemberID `json:"leader"`
	Address string        `json:"address"`
}

// Error implements error.
func (e *ErrNotLeader) Error() string { return "not the leader; the leader is " + string(e.Leader) }

// ErrUnreachable says that a call was not sent.
const ErrUnreachable = errors.ConstError("peer: unreachable")

// Dialer opens connections. Tests replace it to simulate network partitions.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

const dialTimeout = time.Second

// DialTCP is a Dialer without encryption.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server serves calls. Handlers must be added before Serve is called.
type Server struct {
	handlers map[string]handler

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]struct{}
	closed bool
}

// NewServer returns a server without handlers.
func NewServer() *Server {
	return &Server{handlers: map[string]handler{}, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Handle adds a typed handler. The caller receives an error of type *verdict.Error or *ErrNotLeader with its
// type, and others as their message.
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
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			c.Close()
			continue
		}
		st := newStream(c)
		conn := jsonrpc2.NewConn(context.Background(), st, jsonrpc2.AsyncHandler(responder{s, st}), jsonrpc2.SetLogger(discardLogger{}))
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go s.removeWhenClosed(conn)
	}
}

func (s *Server) removeWhenClosed(conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := s.conns
	s.conns = map[*jsonrpc2.Conn]struct{}{}
	s.mu.Unlock()
	for c := range conns {
		c.Close()
	}
}

func (s *Server) dispatch(ctx context.Context, req *jsonrpc2.Request) (any, error) {
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

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
