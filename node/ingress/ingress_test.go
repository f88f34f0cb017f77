package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// server is a server for callers behind the limits of a service.
type server struct {
	*Service
	clock   *clockwork.FakeClock
	address string
	release chan struct{} // each call waits for a value
	full    atomic.Bool   // there is no memory for bodies
}

func startServer(t *testing.T, maxConnections int) *server {
	t.Helper()
	s := &server{clock: clockwork.NewFakeClock(), release: make(chan struct{})}
	s.Service = newService(logr.Discard(), peer.DialTCP, s.clock, maxConnections)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	h := &http.Server{ConnState: s.ConnState, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
	})}
	go h.Serve(s.Listen(l, s.full.Load))
	t.Cleanup(func() { h.Close(); s.Stop(context.Background()) })
	return s
}

// call begins a call. It returns its connection, and an error if that was closed unread.
func (s *server) call(t *testing.T) (net.Conn, error) {
	t.Helper()
	inProgress := s.inProgress()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { c.Close() })
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil, err
	}
	closed := make(chan error, 1)
	go func() {
		_, err := bufio.NewReader(c).Peek(1)
		closed <- err
	}()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		select {
		case err := <-closed:
			return nil, err
		default:
		}
		if s.inProgress() > inProgress {
			return c, nil
		}
	}
	t.Fatal("the connection is neither taken nor closed")
	return nil, nil
}

func (s *server) inProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.byKind[http.StateActive]
}

func (s *server) limit(calls float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.limit = calls
	s.limiter.refusedAt = s.clock.Now()
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}

// TestConnectionsBeyondTheLimitAreClosedUnread guards against a process that reads the calls of connections that it cannot
// serve, or keeps their callers waiting, and against one that takes no connection at all for some time.
func TestConnectionsBeyondTheLimitAreClosedUnread(t *testing.T) {
	s := startServer(t, 0)
	for range 2 {
		if _, err := s.call(t); err != nil {
			t.Fatal(err)
		}
	}
	s.limit(2)
	if _, err := s.call(t); !isReset(err) {
		t.Errorf("beyond the limit: got error %v, want a reset", err)
	}
	s.clock.Advance(minInterval)
	if _, err := s.call(t); err != nil {
		t.Errorf("%v after the last one that was taken: %v", minInterval, err)
	}
	if _, err := s.call(t); !isReset(err) {
		t.Errorf("right after it: got error %v, want a reset", err)
	}
	s.limit(4)
	if _, err := s.call(t); err != nil {
		t.Errorf("below the limit: %v", err)
	}
}

// TestMemoryAndDescriptorsLimitConnections guards against calls that are read although there is no memory for their bodies,
// and against callers that use up the descriptors that calls to upstreams and to other processes need.
func TestMemoryAndDescriptorsLimitConnections(t *testing.T) {
	s := startServer(t, 2)
	s.full.Store(true)
	if _, err := s.call(t); err != nil {
		t.Fatal(err)
	}
	if _, err := s.call(t); !isReset(err) {
		t.Errorf("without memory: got error %v, want a reset", err)
	}
	s.full.Store(false)
	if _, err := s.call(t); err != nil {
		t.Fatal(err)
	}
	s.clock.Advance(time.Minute)
	if _, err := s.call(t); !isReset(err) {
		t.Errorf("beyond the descriptors: got error %v, want a reset", err)
	}
	if n := refusedVar.Get(string(reasonDescriptors)); n == nil || n.String() == "0" {
		t.Error("the refused connection is not counted")
	}
}

// TestWaitsForConnectionsLimitCalls guards against a process that takes more calls than it may have connections to the
// upstreams of a service, also if calls of other services do not wait.
func TestWaitsForConnectionsLimitCalls(t *testing.T) {
	s := newService(logr.Discard(), peer.DialTCP, clockwork.NewFakeClock(), 0)
	defer s.Stop(context.Background())
	read := func() load {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.evaluated = time.Time{}
		s.evaluate(s.clock.Now())
		return s.last
	}
	for range 2 * minWaits {
		s.NoteConnectionWait("other", 0)
		s.NoteConnectionWait("desk", 4*maxDelay)
	}
	if l := read(); l.delay() != 4*maxDelay {
		t.Errorf("got %+v", l)
	}
	for range 3 * minWaits {
		s.NoteConnectionWait("desk", 0)
	}
	if l := read(); l.delay() != 0 {
		t.Errorf("most calls no longer wait: got %+v", l)
	}
}

// TestIdleConnectionsMakeRoom guards against a process that is ready and takes no connection any more, since callers keep as
// many idle ones as it may have.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	s := startServer(t, 2)
	first, err := s.call(t)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.call(t); err != nil {
		t.Fatal(err)
	}
	s.release <- struct{}{} // ends one of the two calls
	for deadline := time.Now().Add(30 * time.Second); s.inProgress() > 1; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no connection becomes idle")
		}
	}
	if _, err := s.call(t); !isReset(err) {
		t.Errorf("a call may be on its way on a connection that has just become idle: got error %v, want a reset", err)
	}
	s.clock.Advance(minIdle)
	if _, err := s.call(t); err != nil {
		t.Errorf("an idle connection does not make room: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.counts.open(); n != 2 {
		t.Errorf("%d connections are open, %v among them", n, first.LocalAddr())
	}
}

// TestProbeTellsOfCongestion guards against callers that are sent from one congested process to the next.
func TestProbeTellsOfCongestion(t *testing.T) {
	other := startServer(t, 0)
	peers := peer.NewServer()
	other.register(peers)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go peers.Serve(l)
	t.Cleanup(peers.Close)
	s := startServer(t, 0)
	self, there := wire.Member{ID: "self", DataCenter: "dc"}, wire.Member{ID: "there", DataCenter: "dc", Peer: l.Addr().String(), Incarnation: 1}
	s.setProcesses(self, []wire.Member{self, there})
	room := func() bool {
		for _, probed := range s.nextTargets() {
			s.probe(probed)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.congestion.load(s.clock.Now(), time.Time{}).roomElsewhere
	}
	if !room() {
		t.Error("the other process is free")
	}
	other.limit(5)
	other.evaluated = other.clock.Now()
	s.clock.Advance(retryInterval)
	if room() {
		t.Error("the other process limits its connections")
	}
	other.clock.Advance(unlimitedAfter + time.Millisecond)
	if !room() {
		t.Error("no calls have come to the other process since it limited its connections")
	}
	other.limit(0)
	if !room() {
		t.Error("the other process is free again")
	}
	peers.Close()
	l.Close()
	s.clock.Advance(retryInterval)
	if room() {
		t.Error("the other process is out of reach")
	}
}

// TestCanary guards against a canary whose readings do not arrive, or include waits from before the limit was lowered.
func TestCanary(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c, err := newCanary(clock)
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	for range minWaits {
		clock.Advance(canaryInterval)
		c.start(clock.Now())
		c.start(clock.Now()) // too early, does nothing
	}
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		c.mu.Lock()
		done := len(c.waits) == minWaits && len(c.written) == 0
		c.mu.Unlock()
		if done {
			break
		}
		time.Sleep(time.Millisecond)
	}
	c.mu.Lock()
	if len(c.waits) != minWaits {
		t.Errorf("%d waits, want %d", len(c.waits), minWaits)
	}
	for i := range c.waits {
		c.waits[i].took = time.Duration(i+1) * time.Millisecond
	}
	c.mu.Unlock()
	if got, _ := c.median(clock.Now(), time.Time{}); got != 2*time.Millisecond {
		t.Errorf("median of 1, 2 and 3 ms: got %v", got)
	}
	if got, known := c.median(clock.Now(), clock.Now().Add(time.Millisecond)); known {
		t.Errorf("waits that began before: got %v", got)
	}
	if got, known := c.median(clock.Now().Add(waitMemory+time.Millisecond), time.Time{}); known {
		t.Errorf("old waits: got %v", got)
	}
}
