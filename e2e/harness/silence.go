package harness

import (
	"io"
	"net"
	"sync"
)

// SilentListener is a listener whose open connections can be made silent for good: they stay open and carry nothing more,
// in either direction, while new ones work. It must be kept as long as they are to stay open.
type SilentListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*silentConn]struct{}
}

// NewSilentListener returns a listener that accepts the connections of l.
func NewSilentListener(l net.Listener) *SilentListener {
	return &SilentListener{Listener: l, conns: map[*silentConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *SilentListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: raw, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Silence makes all open connections silent and returns their number.
func (l *SilentListener) Silence() (silenced int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.silent {
			c.silent = true
			silenced++
		}
	}
	return silenced
}

// CloseAll closes all connections in order, also those that a server no longer tracks, but for the silent ones, whose other
// ends must not learn of it.
func (l *SilentListener) CloseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.silent {
			c.Conn.Close()
			delete(l.conns, c)
		}
	}
}

// silentConn is one connection of a SilentListener.
type silentConn struct {
	net.Conn
	listener *SilentListener
	once     sync.Once
	closed   chan struct{}
	silent   bool // guarded by listener.mu
}

func (c *silentConn) isSilent() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.silent
}

// Read implements net.Conn.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isSilent() {
		return n, err
	}
	<-c.closed
	return 0, io.EOF
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The other end of a silent connection does not learn of it.
func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.silent {
		return nil
	}
	delete(c.listener.conns, c)
	return c.Conn.Close()
}

// SetLinger sets how the connection is closed; see net.TCPConn.
func (c *silentConn) SetLinger(seconds int) error { return c.Conn.(*net.TCPConn).SetLinger(seconds) }
