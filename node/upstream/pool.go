package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/node/internal/periodic"
)

const (
	// dialTimeout bounds the wait for an unreachable upstream. It is longer than the retransmission of a lost
	// packet on a link within a region, and far below any deadline.
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged: a peer behind a network partition sends
	// nothing at all.
	userTimeout = 3 * time.Second
	// keepAliveInterval is the time between two probes of the kernel on a connection that carries nothing, also while it
	// is idle.
	keepAliveInterval = time.Second
	// idleMargin is subtracted from the upstream's keep-alive timeout, because its close takes time to
	// arrive.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the upstream states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxStrayResponses is the number of responses to earlier calls that are skipped before the connection is
	// closed.
	maxStrayResponses = 2
	readBuffer        = 4 << 10 // bytes
	trimInterval      = time.Second
)

// keepAlive ends a connection that has gone silent after about userTimeout. A process that is slow or stopped does not
// matter: its kernel answers the probes.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: int(userTimeout / keepAliveInterval)}

// Pool keeps idle connections to upstreams, by address.
type Pool struct {
	protocol Protocol
	notices  *Notices

	healthTimeout time.Duration // tests replace it

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]map[*conn]struct{} // connections by address, including idle ones
}

// NewPool returns an empty pool. What responses announce is recorded in n.
func NewPool(p Protocol, n *Notices) *Pool {
	return &Pool{protocol: p, notices: n, healthTimeout: healthTimeout, idle: map[string][]*conn{}, open: map[string]map[*conn]struct{}{}}
}

type conn struct {
	net.Conn
	pool    *Pool
	address string
	head    headReader    // reads from Conn
	br      *bufio.Reader // reads from head
	expires time.Time     // when it must no longer be used
	reads   reads
	once    sync.Once
}

// Close closes the connection and removes it from the count of open connections.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		err = c.Conn.Close()
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		delete(c.pool.open[c.address], c)
		if len(c.pool.open[c.address]) == 0 {
			delete(c.pool.open, c.address)
		}
	})
	return err
}

// errNoConnection returns the error for an address whose limit of connections is reached.
func errNoConnection(address string) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "all connections to %s are in use", address)
}

// unreachableError is the error of a connection attempt that got no response in time, not even from the
// upstream's VM.
type unreachableError struct{ cause *verdict.Error }

// Error implements error.
func (u unreachableError) Error() string { return u.cause.Error() }

// Unwrap returns the verdict.
func (u unreachableError) Unwrap() error { return u.cause }

// IsUnreachable reports whether a call was not sent because nothing responded at the upstream's address. A VM
// that runs refuses connections if the upstream does not listen.
func IsUnreachable(err error) bool {
	var u unreachableError
	return errors.As(err, &u)
}

// connectError returns the error of a failed connection attempt. If the call's own deadline ended it, the
// wait was too short to call the upstream unreachable.
func connectError(ctx context.Context, address string, err error) error {
	cause := verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "connect to %s: %v", address, err)
	var timed net.Error
	if errors.As(err, &timed) && timed.Timeout() && ctx.Err() == nil {
		return unreachableError{cause}
	}
	return cause
}

// get returns an idle connection or a new one. With fresh it is always new.
func (p *Pool) get(ctx context.Context, address string, limit int, fresh bool) (*conn, error) {
	if !fresh {
		for {
			c := p.takeIdle(address)
			if c == nil {
				break
			}
			if time.Now().Before(c.expires) && c.idleAndEmpty() {
				return c, nil
			}
			c.Close()
		}
	}
	c := &conn{Conn: unconnected{}, pool: p, address: address}
	if !p.reserve(c, limit) {
		return nil, errNoConnection(address)
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		c.Close()
		return nil, connectError(ctx, address, err)
	}
	c.Conn = raw
	c.reads.open()
	c.head.r = c
	c.br = bufio.NewReaderSize(&c.head, readBuffer)
	return c, nil
}

// Probe connects to an address. A nil error means that a process listens there.
func (p *Pool) Probe(address string) error { return probeWithin(address, probeHold) }

// unconnected stands in for a connection that could not be made.
type unconnected struct{ net.Conn }

// Close implements net.Conn.
func (unconnected) Close() error { return nil }

func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	if len(list) == 1 {
		delete(p.idle, address)
	}
	return c
}

// reserve counts a connection before it is made.
func (p *Pool) reserve(c *conn, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && len(p.open[c.address]) >= limit {
		return false
	}
	if p.open[c.address] == nil {
		p.open[c.address] = map[*conn]struct{}{}
	}
	p.open[c.address][c] = struct{}{}
	return true
}

// put keeps an idle connection for later calls.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.expires = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Run closes expired idle connections until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	periodic.Run(ctx, clockwork.NewRealClock(), trimInterval, p.trim)
}

func (p *Pool) trim() {
	now := time.Now()
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// CloseIdle closes the idle connections to an address whose process was restarted. A call on one of them would
// be lost, and might have run.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	lists := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range lists {
		for _, c := range list {
			c.Close()
		}
	}
}

// idleAndEmpty reports whether nothing arrived since the last response: neither stray bytes nor the end of
// the connection.
func (c *conn) idleAndEmpty() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var serr error
	err := raw.Control(func(fd uintptr) {
		serr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return serr
}

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall lacks.
const tcpUserTimeout = 18

// idleTimeoutOf returns how long the connection may stay idle after the response, or zero if it must be
// closed.
func idleTimeoutOf(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return max(0, time.Duration(seconds)*time.Second-idleMargin)
	}
	return defaultIdleTimeout
}
