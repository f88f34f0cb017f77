package ingress

import (
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"caperdrum.org/node/connlimit"
)

// minIdle is how long a connection must have been idle to be closed for another one: a call may be on its way on one that
// has just become idle.
const minIdle = time.Second

// counts are the connections of callers by state.
type counts struct {
	states map[net.Conn]connState
	byKind [http.StateClosed + 1]int
}

// connState is the state of a connection and when it began.
type connState struct {
	http.ConnState
	since time.Time
}

func newCounts() counts { return counts{states: map[net.Conn]connState{}} }

// opened counts a new connection.
func (c *counts) opened(conn net.Conn, now time.Time) { c.set(conn, http.StateNew, now) }

func (c *counts) set(conn net.Conn, state http.ConnState, now time.Time) {
	if old, known := c.states[conn]; known {
		c.byKind[old.ConnState]--
	} else if state != http.StateNew {
		return // not taken here, or closed already
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = connState{state, now}
	c.byKind[state]++
}

// takeIdle removes an idle connection, which the caller must close. It returns nil if none has been idle for minIdle.
func (c *counts) takeIdle(now time.Time) net.Conn {
	if c.byKind[http.StateIdle] == 0 {
		return nil
	}
	for conn, s := range c.states {
		if s.ConnState == http.StateIdle && now.Sub(s.since) >= minIdle {
			c.set(conn, http.StateClosed, now)
			return conn
		}
	}
	return nil
}

// open returns the number of connections.
func (c *counts) open() int { return len(c.states) }

// inProgress returns the number of calls in progress, with the connections that are new: their calls are on the way.
func (c *counts) inProgress() int { return c.byKind[http.StateNew] + c.byKind[http.StateActive] }

// ConnState is the hook of the server for callers whose listener is from Listen.
func (s *Service) ConnState(conn net.Conn, state http.ConnState) {
	now := s.clock.Now()
	s.mu.Lock()
	s.counts.set(conn, state, now)
	inProgressVar.Set(int64(s.counts.inProgress()))
	if state == http.StateActive {
		s.measure(now)
	}
	s.mu.Unlock()
	if state == http.StateActive {
		s.requestProbe()
	}
}

// Listen returns a listener that takes connections from l within the limits of this process and closes the others at once,
// unread. MemoryFull reports whether there is no memory for further bodies.
func (s *Service) Listen(l net.Listener, memoryFull func() bool) net.Listener {
	return &listener{Listener: l, s: s, memoryFull: memoryFull}
}

type listener struct {
	net.Listener
	s          *Service
	memoryFull func() bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.s.take(c, l.memoryFull()) {
			return c, err
		}
		closeUnread(c)
	}
}

// closeUnread resets a connection, so that its caller knows at once that nothing was read.
func closeUnread(c net.Conn) {
	below := connlimit.Unwrap(c)
	if t, ok := below.(*net.TCPConn); ok {
		t.SetLinger(0) // an error means that the connection is closed already
	}
	below.Close() // first: the close of TLS may wait for the caller
	c.Close()
}

// maxCallerConnections returns how many connections callers may have: half of this process's descriptors, as most calls
// need another one for their upstream. Zero means no limit.
func maxCallerConnections() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur / 2)
}
