package connlimit

import (
	"context"
	"net"
	"net/http"
	"syscall"
)

// Listen opens a listener of the kind at a TCP address. Encrypt wraps it in TLS; nil leaves it in plain text.
func (s *Service) Listen(address string, kind Kind, encrypt func(net.Listener) net.Listener) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if s != nil && s.receiveBuffer > 0 {
		setReceiveBuffer(l, s.receiveBuffer)
	}
	if encrypt != nil {
		l = encrypt(l)
	}
	if s == nil {
		return l, nil
	}
	return &listener{Listener: l, s: s, kind: kind}, nil
}

// setReceiveBuffer sets the receive buffer of the connections that l will accept. An error leaves the kernel's default.
func setReceiveBuffer(l net.Listener, bytes int) {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes) })
}

// Serve runs the server on a listener from Listen, or on one that wraps it.
func (s *Service) Serve(server *http.Server, l net.Listener) error {
	if s == nil {
		return server.Serve(l)
	}
	server.Handler = handler(server.Handler)
	contextOf, stateChanged := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if contextOf != nil {
			ctx = contextOf(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if counted, ok := c.(*Conn); ok {
			counted.stateChanged(state)
		}
		if stateChanged != nil {
			stateChanged(c, state)
		}
	}
	return server.Serve(l)
}

type connKey struct{}

// handler returns a handler that tells a connection which request its server has read.
func handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && !c.beginRequest(r) {
			panic(http.ErrAbortHandler) // closes the connection
		}
		next.ServeHTTP(w, r)
	})
}

type listener struct {
	net.Listener
	s    *Service
	kind Kind
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return c, err
		}
		if counted := l.s.take(c, l.kind); counted != nil {
			return counted, nil
		}
		reset(c)
	}
}

// reset closes a connection below TLS, whose own close may wait for its client, and drops what was not read.
func reset(c net.Conn) {
	c = Unwrap(c)
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0) // an error means that the connection is closed already
	}
	c.Close()
}

// Unwrap returns the connection below TLS and below the counts of this package.
func Unwrap(c net.Conn) net.Conn {
	for {
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = w.NetConn()
	}
}
