package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// pingAfterCall is how long a connection on which a call was sent may carry nothing before it is checked by a ping.
	pingAfterCall = 150 * time.Millisecond
	// pingInterval is the time between two checks of a connection that carries nothing while its calls are in progress,
	// and the time to the check after a notification, which has no answer.
	pingInterval = 500 * time.Millisecond
	// pingTimeout is how long a connection may carry nothing after a ping before it is considered silent: above a round
	// trip between regions, with the retransmission of a lost packet (200 ms).
	pingTimeout = 300 * time.Millisecond
	// firstAnswerTimeout is pingTimeout for a connection on which nothing was received yet: an overloaded process, or what
	// stands before it, may take long to accept one, and each further one would add to its load.
	firstAnswerTimeout = 2 * time.Second
	// maxTimeoutDoublings bounds the doublings of the time-outs after silences that were not proven.
	maxTimeoutDoublings = 3
	// maxTimerDelay is how late a check may be. A later one starts again, since this process was stopped as well.
	maxTimerDelay = 100 * time.Millisecond
	// minLinkRate is the rate in bytes per second at which a sound connection carries at least what is written: a tenth
	// of a link of 100 Mbit/s.
	minLinkRate = 1.25e6
)

// TransferTime returns the time in which a sound connection carries n bytes.
func TransferTime(n int) time.Duration {
	return time.Duration(float64(n) / minLinkRate * float64(time.Second))
}

// link is one connection of a Client. It detects that the connection is silent: that it carries nothing although an
// answer is owed. The handlers of slow calls owe none, but any process that runs answers a ping at once. Whether the
// connection or the process is at fault is for the Client to find out.
type link struct {
	conn      *jsonrpc2.Conn
	doublings func() int32  // of the time-outs
	onSilent  func(*link)   // called each time the connection falls silent
	silenced  chan struct{} // closed when the connection falls silent for the first time
	closeOnce sync.Once
	closed    chan struct{}

	mu       sync.Mutex
	calls    int       // in progress
	silent   bool      // nothing was received since the connection was considered silent
	received bool      // anything was received, ever
	reading  bool      // the reader waits for bytes, and does not process any
	drained  time.Time // when all that was written has arrived, at minLinkRate
	owedDue  time.Time // when a ping is due for what was sent since the last byte was received; zero for nothing
	callsDue time.Time // when one is due for calls that were in progress at the last byte; zero for none
	replyDue time.Time // when a ping must have been answered; zero while none is unanswered
	timer    *time.Timer
	timerDue time.Time // zero while the timer is not running
}

// newLink starts the protocol on a connection.
func newLink(raw net.Conn, doublings func() int32, onSilent func(*link), received *atomic.Uint64) *link {
	l := &link{doublings: doublings, onSilent: onSilent, silenced: make(chan struct{}), closed: make(chan struct{}), reading: true}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this end only calls"}
	})
	messages := newStream(&observedConn{raw, l, received})
	messages.onWrite = l.beforeWrite
	l.conn = jsonrpc2.NewConn(context.Background(), messages, refuse, jsonrpc2.SetLogger(discardLogger{}))
	return l
}

// observedConn tells a link what its connection receives.
type observedConn struct {
	net.Conn
	link     *link
	received *atomic.Uint64
}

// Read implements io.Reader.
func (c *observedConn) Read(p []byte) (int, error) {
	c.link.beforeRead()
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(n))
	c.link.afterRead(n)
	return n, err
}

func (l *link) beforeRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = true
}

func (l *link) afterRead(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = false
	if n == 0 {
		return
	}
	l.received, l.silent = true, false
	l.owedDue, l.callsDue, l.replyDue = time.Time{}, time.Time{}, time.Time{}
	if l.calls > 0 {
		l.callsDue = time.Now().Add(pingInterval)
		l.schedule(l.callsDue)
	}
}

func (l *link) beforeWrite(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.drained.Before(now) {
		l.drained = now
	}
	l.drained = l.drained.Add(TransferTime(n))
}

// beginCall counts a call, until endCall.
func (l *link) beginCall() { l.beginPoll(0) }

// beginPoll is beginCall for a call that may be held back.
func (l *link) beginPoll(wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	l.owe(wait + pingAfterCall)
}

// endCall reports whether no other call is in progress. What the peer owes to a caller that has given up is still owed.
func (l *link) endCall() (last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	if l.calls > 0 {
		return false
	}
	l.callsDue = time.Time{}
	return true
}

func (l *link) beginNotification() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owe(pingInterval)
}

// beginPing is beginCall for a ping, which does not keep a silent connection open.
func (l *link) beginPing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owe(pingAfterCall)
}

// owe has the connection checked after the given time, unless it is checked before. The caller holds l.mu.
func (l *link) owe(after time.Duration) {
	due := time.Now().Add(after)
	if l.owedDue.IsZero() || due.Before(l.owedDue) {
		l.owedDue = due
	}
	if l.replyDue.IsZero() {
		l.schedule(l.owedDue)
	}
}

// pingDue returns when the next ping is due; zero for never. The caller holds l.mu.
func (l *link) pingDue() time.Time {
	if l.owedDue.IsZero() || !l.callsDue.IsZero() && l.callsDue.Before(l.owedDue) {
		return l.callsDue
	}
	return l.owedDue
}

// schedule runs check at the given time, or sooner. The caller holds l.mu.
func (l *link) schedule(at time.Time) {
	if !l.timerDue.IsZero() && !at.Before(l.timerDue) || l.isClosed() {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timerDue = at
	l.timer = time.AfterFunc(time.Until(at), l.check)
}

// check sends the ping that is due, and finds the connection silent when the one before was not answered in time.
func (l *link) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	late := now.Sub(l.timerDue) > maxTimerDelay
	stopped := l.timerDue.IsZero() || l.isClosed()
	l.timerDue = time.Time{}
	due := l.pingDue()
	switch {
	case stopped || l.silent || due.IsZero() && l.replyDue.IsZero():
	case late || !l.reading:
		l.replyDue, l.owedDue = time.Time{}, now.Add(pingAfterCall)
		l.schedule(l.owedDue)
	case l.replyDue.IsZero() && now.Before(due):
		l.schedule(due)
	case l.replyDue.IsZero():
		l.replyDue = now.Add(max(0, l.drained.Sub(now)) + l.timeout())
		l.schedule(l.replyDue)
		go l.ping(context.Background())
	case now.Before(l.replyDue):
		l.schedule(l.replyDue)
	default:
		l.silent, l.replyDue = true, time.Time{}
		select {
		case <-l.silenced:
		default:
			close(l.silenced)
		}
		go l.onSilent(l)
	}
}

// timeout returns the time-out of a ping. The caller holds l.mu.
func (l *link) timeout() time.Duration {
	if l.received {
		return pingTimeout << l.doublings()
	}
	return firstAnswerTimeout << l.doublings()
}

// ping returns once the peer has answered, or the connection is closed.
func (l *link) ping(ctx context.Context) error {
	err := l.conn.Call(ctx, MethodPing, Empty{}, nil)
	if answered(err) {
		return nil
	}
	return err
}

func (l *link) inUse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls > 0
}

// isSilent reports whether nothing was received since the connection was considered silent.
func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (l *link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// close ends the connection, and with it the calls in progress.
func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}
