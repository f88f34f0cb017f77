package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
)

// pipeListener accepts in-memory connections, each of which can be made silent: it stays open and carries nothing more.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}

	mu     sync.Mutex
	open   []*silentConn
	dialed int
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &silentConn{Conn: near, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, c)
	l.dialed++
	return c, nil
}

// silence makes all open connections silent.
func (l *pipeListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		c.silent.Store(true)
	}
	l.open = nil
}

func (l *pipeListener) dials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialed
}

// silentConn is the caller's end of a connection.
type silentConn struct {
	net.Conn
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.silent.Load() {
		return n, err
	}
	<-c.closed
	return 0, io.EOF
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// silentSystem is a client and a server whose method "echo" answers at once and whose method "hold" answers when released.
type silentSystem struct {
	listener *pipeListener
	client   *Client
	held     chan struct{} // receives a token for each call of "hold"
	release  chan struct{} // closed to answer them
	pong     chan struct{} // pings are answered once it is closed
	pings    atomic.Int32
}

func newSilentSystem(t *testing.T) *silentSystem {
	s := &silentSystem{listener: newPipeListener(), held: make(chan struct{}, 1000), release: make(chan struct{}), pong: make(chan struct{})}
	close(s.pong)
	server := NewServer()
	Handle(server, "echo", func(_ context.Context, m *echoMessage) (*echoMessage, error) { return m, nil })
	Handle(server, "hold", func(_ context.Context, m *echoMessage) (*echoMessage, error) {
		s.held <- struct{}{}
		<-s.release
		return m, nil
	})
	Handle(server, MethodPing, func(context.Context, *Empty) (*Empty, error) {
		s.pings.Add(1)
		<-s.pong
		return &Empty{}, nil
	})
	go server.Serve(s.listener)
	s.client = NewClient("x", s.listener.dial)
	t.Cleanup(func() {
		s.client.Close()
		s.listener.Close()
		server.Close()
		synctest.Wait()
	})
	return s
}

// call calls a method with a deadline, and fails the test unless it is answered.
func (s *silentSystem) call(t *testing.T, call func(context.Context, string, any, any) error, method string, within time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	var got echoMessage
	if err := call(ctx, method, echoMessage{"a"}, &got); err != nil || got.Text != "a" {
		t.Fatalf("%s: %q, %v", method, got.Text, err)
	}
}

// TestShortCallsReplaceASilentConnection guards against calls that all end before they find out that the connection is
// dead, so that none is answered any more.
func TestShortCallsReplaceASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentSystem(t)
		s.call(t, s.client.Call, "echo", time.Second)
		s.listener.silence()
		failed := 0
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			if s.client.Call(ctx, "echo", echoMessage{}, nil) != nil {
				failed++
			}
			cancel()
			time.Sleep(10 * time.Millisecond)
		}
		if failed == 0 || failed > 5 || s.listener.dials() != 2 {
			t.Fatalf("%d of 20 calls failed, %d connections", failed, s.listener.dials())
		}
	})
}

// TestNotificationsReplaceASilentConnection guards against notifications that are sent into a dead connection for ever.
func TestNotificationsReplaceASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentSystem(t)
		s.call(t, s.client.Call, "echo", time.Second)
		s.listener.silence()
		if err := s.client.Notify(t.Context(), "echo", echoMessage{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(pingInterval + pingTimeout + time.Millisecond)
		s.call(t, s.client.Call, "echo", 10*time.Millisecond)
	})
}

// TestIdempotentCallMovesFromASilentConnection guards against an idempotent call that is lost with its connection, once
// and in series.
func TestIdempotentCallMovesFromASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentSystem(t)
		for range 5 {
			s.call(t, s.client.CallIdempotent, "echo", time.Second)
			time.Sleep(time.Second)
			s.listener.silence()
		}
		s.call(t, s.client.CallIdempotent, "echo", time.Second)
	})
}

// TestCallOnADeadConnectionFails guards against a call without a deadline that waits on a dead connection for ever.
func TestCallOnADeadConnectionFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentSystem(t)
		s.call(t, s.client.Call, "echo", time.Second)
		done := make(chan error, 1)
		go func() { done <- s.client.Call(context.Background(), "hold", echoMessage{}, nil) }()
		<-s.held
		s.listener.silence()
		began := time.Now()
		if err := <-done; err == nil || errors.Is(err, ErrUnreachable) {
			t.Fatalf("got %v", err)
		}
		if d := time.Since(began); d > pingInterval+pingTimeout+silenceGrace+time.Millisecond {
			t.Fatalf("failed after %v", d)
		}
		close(s.release)
	})
}

// TestSlowCallKeepsItsConnection guards against a connection that is taken for dead since a call takes long.
func TestSlowCallKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentSystem(t)
		time.AfterFunc(time.Minute, func() { close(s.release) })
		s.call(t, s.client.Call, "hold", 2*time.Minute)
		if n := s.listener.dials(); n != 1 {
			t.Fatalf("%d connections", n)
		}
	})
}

// TestIdlePollSendsNoPings guards against idle processes that exchange pings while their polls are held back.
func TestIdlePollSendsNoPings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentSystem(t)
		defer close(s.release)
		const wait = time.Second
		for range 20 {
			time.AfterFunc(wait, func() { s.release <- struct{}{} })
			var got echoMessage
			if err := s.client.Poll(t.Context(), wait, "hold", echoMessage{"a"}, &got); err != nil || got.Text != "a" || s.pings.Load() > 0 {
				t.Fatalf("%q, %v, %d pings", got.Text, err, s.pings.Load())
			}
		}
	})
}

// TestSlowProcessGetsFewConnections guards against connections that are given up before an overloaded process has answered,
// which add to its load.
func TestSlowProcessGetsFewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentSystem(t)
		s.call(t, s.client.Call, "echo", time.Second)
		s.pong = make(chan struct{})
		stop := time.Now().Add(30 * time.Second)
		for time.Now().Before(stop) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			s.client.Call(ctx, "hold", echoMessage{}, nil)
			cancel()
		}
		n := s.listener.dials()
		close(s.pong)
		close(s.release)
		if n > 6 {
			t.Fatalf("%d connections in 30 s", n)
		}
	})
}

// TestSilentPollMoves guards against a poll that is lost with its connection.
func TestSilentPollMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentSystem(t)
		done := make(chan error, 1)
		go func() { done <- s.client.Poll(t.Context(), time.Second, "hold", echoMessage{}, nil) }()
		<-s.held
		s.listener.silence()
		<-s.held
		close(s.release)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	})
}

// TestStoppedProcessKeepsItsCalls guards against calls that fail, or many new connections, while a process is stopped: it
// answers on no connection.
func TestStoppedProcessKeepsItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentSystem(t)
		s.pong = make(chan struct{})
		time.AfterFunc(10*time.Second, func() {
			close(s.pong)
			close(s.release)
		})
		s.call(t, s.client.Call, "hold", time.Minute)
		if n := s.listener.dials(); n > 5 {
			t.Fatalf("%d connections", n)
		}
	})
}

// TestLongMessageIsNoSilence guards against a connection that is taken for dead while a large message is on its way, before
// the ping.
func TestLongMessageIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentSystem(t)
		s.call(t, s.client.Call, "echo", time.Second)
		s.pong = make(chan struct{})
		defer close(s.pong)
		l, err := s.client.acquire(t.Context(), (*link).beginCall)
		if err != nil {
			t.Fatal(err)
		}
		defer s.client.endCall(l)
		l.beforeWrite(10 * minLinkRate)
		time.Sleep(10 * time.Second)
		if l.isSilent() {
			t.Fatal("silent while a message is sent")
		}
		time.Sleep(time.Second)
		if !l.isSilent() {
			t.Fatal("not silent after the message was sent")
		}
	})
}

// TestResentCallIsNotReportedAsNotAccepted guards against a call that is reported as not accepted, since its second copy is
// refused, although the first one was accepted and its answer was lost.
func TestResentCallIsNotReportedAsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, arrived, release := newPipeListener(), 0, make(chan struct{})
		server := NewServer()
		Handle(server, "echo", func(_ context.Context, m *echoMessage) (*echoMessage, error) { return m, nil })
		Handle(server, "put", func(context.Context, *echoMessage) (*echoMessage, error) {
			if arrived++; arrived == 1 {
				listener.silence()
				<-release
				return &echoMessage{}, nil
			}
			return nil, &ErrNotLeader{}
		})
		Handle(server, MethodPing, Ping)
		go server.Serve(listener)
		c := NewLeaderClient([]string{"x"}, listener.dial)
		defer func() {
			close(release)
			c.Close()
			listener.Close()
			server.Close()
		}()
		if err := c.CallLeader(t.Context(), "echo", echoMessage{}, nil); err != nil {
			t.Fatal(err)
		}
		if err := c.CallLeader(t.Context(), "put", echoMessage{}, nil); err == nil || errors.Is(err, ErrNotAccepted) {
			t.Fatalf("got %v after %d arrivals", err, arrived)
		}
	})
}
